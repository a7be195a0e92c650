package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	headerTimeout   = 10 * time.Second
	shutdownTimeout = 2 * time.Second
)

// listenFlag is the flag that all simulators share.
type listenFlag struct {
	Listen string `default:"127.0.0.1:0" help:"Listen address; port 0 for any free port." placeholder:"HOST:PORT"`
}

// startNotice is the JSON line that a simulator prints when it listens.
type startNotice struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// serve runs a simulator until SIGTERM or SIGINT.
func (f listenFlag) serve(name string, handler http.Handler) error {
	listener, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return fmt.Errorf("listening on %q: %w", f.Listen, err)
	}
	notice := startNotice{Name: name, Address: listener.Addr().String()}
	if err := json.NewEncoder(os.Stdout).Encode(notice); err != nil {
		return fmt.Errorf("printing the listen address: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serving %s: %w", name, err)
	case <-ctx.Done():
		return shutdown(server)
	}
}

// shutdown waits up to shutdownTimeout for open requests and then closes their
// connections.
func shutdown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	if err != nil {
		return fmt.Errorf("shutting down the server: %w", err)
	}
	return nil
}
