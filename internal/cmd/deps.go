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
)

const (
	platformReadsPerSecond  = 50 // calls a second that one command may make
	platformWritesPerSecond = 10
)

// World gives the dependencies of a command run from a shell.
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

// newPlatform gives a client whose budget leaves the platform to the routers.
func newPlatformClient(url string, h *http.Client) plat.Platform {
	reads := plat.Rate{PerSecond: platformReadsPerSecond, Burst: 4 * platformReadsPerSecond}
	writes := plat.Rate{PerSecond: platformWritesPerSecond, Burst: 4 * platformWritesPerSecond}
	budget := plat.NewBudget(reads, writes, time.Now)
	return plat.NewClient(url, h, budget, plat.DefaultRetryPolicy(), metrics.NewRegistry())
}

// newHTTP gives a client that shows and checks certificates as settings say.
func newHTTPClient(s Settings) (*http.Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS13}
	if s.CA != "" {
		text, err := os.ReadFile(s.CA)
		if err != nil {
			return nil, fmt.Errorf("certificates of the authority: %w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("file %q holds no PEM certificate", s.CA)
		}
		transport.TLSClientConfig.RootCAs = pool
	}
	if s.Cert != "" || s.Key != "" {
		pair, err := tls.LoadX509KeyPair(s.Cert, s.Key)
		if err != nil {
			return nil, fmt.Errorf("certificate and key: %w", err)
		}
		transport.TLSClientConfig.Certificates = []tls.Certificate{pair}
	}
	return &http.Client{Transport: transport}, nil
}

func sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// operator names who runs the command, as recorded with each change.
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
