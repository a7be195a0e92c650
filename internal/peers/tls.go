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

// TLSFiles are the paths of the PEM files with a router's certificate, its key and
// the authority that signs the certificates of all routers.
type TLSFiles struct {
	Cert string
	Key  string
	CA   string
}

// TLS returns a configuration for mutual TLS 1.3 from the files, or nil if no
// files are set.
func TLS(files TLSFiles) (*tls.Config, error) {
	if files == (TLSFiles{}) {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, fmt.Errorf("reading certificate %q: %w", files.Cert, err)
	}
	authority, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, fmt.Errorf("reading certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.Errorf("certificate authority file %q contains no PEM certificate", files.CA)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}

// Credentials returns gRPC credentials for a TLS configuration, or insecure ones
// for nil.
func Credentials(config *tls.Config) credentials.TransportCredentials {
	if config == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(config)
}
