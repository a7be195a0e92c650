// Package peers links the routers with each other over gRPC.
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
	// pingInterval and pingTimeout find a dead link.
	pingInterval = 10 * time.Second
	pingTimeout  = 3 * time.Second
	// maxMessage bounds a message in bytes.
	maxMessage = 4 << 20
)

// Links holds one gRPC connection to each peer that was called.
type Links struct {
	security credentials.TransportCredentials
	mu       sync.Mutex
	conns    map[string]*grpc.ClientConn // by peer address
}

// New makes links that dial with the given credentials.
func New(security credentials.TransportCredentials) *Links {
	return &Links{security: security, conns: map[string]*grpc.ClientConn{}}
}

// Peer gives a client of the router at address.
func (l *Links) Peer(address string) (wire.PeerClient, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn, ok := l.conns[address]; ok {
		return wire.NewPeerClient(conn), nil
	}
	conn, err := grpc.NewClient(address,
		grpc.WithTransportCredentials(l.security),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)))
	if err != nil {
		return nil, fmt.Errorf("linking to peer %q: %w", address, err)
	}
	l.conns[address] = conn
	return wire.NewPeerClient(conn), nil
}

// Keep closes the links to all addresses but the given ones.
func (l *Links) Keep(addresses []string) {
	wanted := make(map[string]struct{}, len(addresses))
	for _, a := range addresses {
		wanted[a] = struct{}{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, conn := range l.conns {
		if _, ok := wanted[address]; ok {
			continue
		}
		delete(l.conns, address)
		_ = conn.Close()
	}
}

// Close closes all links.
func (l *Links) Close() {
	l.Keep(nil)
}

// Server makes the gRPC server that answers peers with handler.
func Server(security credentials.TransportCredentials, handler wire.PeerServer) *grpc.Server {
	s := grpc.NewServer(
		grpc.Creds(security),
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2, PermitWithoutStream: true}))
	wire.RegisterPeerServer(s, handler)
	return s
}

// Call runs one unary call to a peer within timeout.
func Call[T any](ctx context.Context, timeout time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := call(ctx)
	if err != nil {
		return answer, fmt.Errorf("calling peer: %w", err)
	}
	return answer, nil
}
