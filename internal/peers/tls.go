package peers

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// Files names the PEM files of a router's certificate, its key and the
// authority that signs all routers' certificates.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// TLS reads the files into a configuration by which both ends check each
// other, or gives nil if no files are named.
func TLS(files Files) (*tls.Config, error) {
	if files == (Files{}) {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, fmt.Errorf("reading certificate %q: %w", files.Cert, err)
	}
	authority, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, fmt.Errorf("reading authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.Errorf("file %q holds no PEM certificate", files.CA)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}

// Credentials gives gRPC credentials for a TLS configuration, or plain ones
// for nil.
func Credentials(config *tls.Config) credentials.TransportCredentials {
	if config == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(config)
}
