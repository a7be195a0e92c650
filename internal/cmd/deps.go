package cmd

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"os/user"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/internal/strict"
)

const (
	platformReadsPerSecond  = 50 // limits of one command
	platformWritesPerSecond = 10
)

// DefaultDeps returns the dependencies of a command that is run from a shell.
func DefaultDeps(version string) Deps {
	return Deps{
		Version:  version,
		Out:      os.Stdout,
		Err:      os.Stderr,
		In:       os.Stdin,
		Random:   rand.Reader,
		User:     operatorName(),
		Now:      time.Now,
		Sleep:    sleep,
		HTTP:     newHTTPClient,
		Platform: newPlatformClient,
		Bills:    shard.ReadBills,
	}
}

// newPlatformClient returns a client of the platform with a low rate limit, which
// leaves most of the platform's capacity to the routers.
func newPlatformClient(url string, h *http.Client) plat.Platform {
	reads := plat.Rate{PerSecond: platformReadsPerSecond, Burst: 4 * platformReadsPerSecond}
	writes := plat.Rate{PerSecond: platformWritesPerSecond, Burst: 4 * platformWritesPerSecond}
	budget := plat.NewBudget(reads, writes, time.Now)
	return plat.NewClient(url, h, budget, plat.DefaultRetryPolicy(), metrics.NewRegistry())
}

// newHTTPClient returns a client with the TLS certificates of the settings.
func newHTTPClient(s Settings) (*http.Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS13}
	if s.CA != "" {
		text, err := os.ReadFile(s.CA)
		if err != nil {
			return nil, fmt.Errorf("reading the CA certificates: %w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("file %q contains no PEM certificate", s.CA)
		}
		transport.TLSClientConfig.RootCAs = pool
	}
	if s.Cert != "" || s.Key != "" {
		pair, err := tls.LoadX509KeyPair(s.Cert, s.Key)
		if err != nil {
			return nil, fmt.Errorf("loading the certificate and key: %w", err)
		}
		transport.TLSClientConfig.Certificates = []tls.Certificate{pair}
	}
	return strict.NewClient(&http.Client{Transport: transport}), nil
}

func sleep(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// operatorName returns the operator recorded with each change, as user@host.
func operatorName() string {
	name := "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	host, err := os.Hostname()
	if err != nil {
		return name
	}
	return name + "@" + host
}
