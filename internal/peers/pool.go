// Package peers connects routers with each other over gRPC.
package peers

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/marigoldscale/marigoldscale/internal/wire"
)

const (
	// pingInterval and pingTimeout are the keepalive settings that detect a dead
	// connection.
	pingInterval = 10 * time.Second
	pingTimeout  = 3 * time.Second
	// maxMessageBytes bounds the size of a message.
	maxMessageBytes = 4 << 20
)

// Pool holds one gRPC connection per called peer. It is safe for concurrent use.
type Pool struct {
	credentials credentials.TransportCredentials
	mu          sync.Mutex
	conns       map[string]*grpc.ClientConn // by peer address
}

// NewPool returns an empty pool that dials with the given credentials.
func NewPool(security credentials.TransportCredentials) *Pool {
	return &Pool{credentials: security, conns: map[string]*grpc.ClientConn{}}
}

// Client returns a client of the router at address, on a pooled connection.
func (p *Pool) Client(address string) (wire.PeerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		return wire.NewPeerClient(conn), nil
	}
	conn, err := grpc.NewClient(address,
		grpc.WithTransportCredentials(p.credentials),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		return nil, fmt.Errorf("connecting to peer %q: %w", address, err)
	}
	p.conns[address] = conn
	return wire.NewPeerClient(conn), nil
}

// Retain closes the connections to all addresses except the given ones.
func (p *Pool) Retain(addresses []string) {
	wanted := make(map[string]struct{}, len(addresses))
	for _, a := range addresses {
		wanted[a] = struct{}{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		if _, ok := wanted[address]; ok {
			continue
		}
		delete(p.conns, address)
		_ = conn.Close()
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.Retain(nil)
}

// NewServer returns a gRPC server that serves peers with handler, with further options.
func NewServer(security credentials.TransportCredentials, handler wire.PeerServer, options ...grpc.ServerOption) *grpc.Server {
	s := grpc.NewServer(append(options,
		grpc.Creds(security),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2, PermitWithoutStream: true}))...)
	wire.RegisterPeerServer(s, handler)
	return s
}

// Call runs one unary call to a peer within timeout.
func Call[T any](ctx context.Context, timeout time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := call(ctx)
	if err != nil {
		return reply, fmt.Errorf("calling peer: %w", err)
	}
	return reply, nil
}
