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
	headerTimeout = 10 * time.Second
	stopTimeout   = 2 * time.Second
)

// listenFlag is the flag that all stand-ins share.
type listenFlag struct {
	Listen string `default:"127.0.0.1:0" help:"Address to serve on; port 0 takes a free one." placeholder:"HOST:PORT"`
}

// started is the line that a stand-in prints once it serves.
type startNotice struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// serve runs a stand-in until SIGTERM or SIGINT.
func (f listenFlag) serve(name string, handler http.Handler) error {
	listener, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return fmt.Errorf("listening on %q: %w", f.Listen, err)
	}
	line := startNotice{Name: name, Address: listener.Addr().String()}
	if err := json.NewEncoder(os.Stdout).Encode(line); err != nil {
		return fmt.Errorf("printing address: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer release()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serving %s: %w", name, err)
	case <-ctx.Done():
		return shutdown(server)
	}
}

// stop waits a little for what is under way, and cuts the rest.
func shutdown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	if err != nil {
		return fmt.Errorf("stopping server: %w", err)
	}
	return nil
}
