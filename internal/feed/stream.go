package feed

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// Stream is the client side of a stream to the parent router.
type Stream struct {
	Peer   Peer
	conn   *grpc.ClientConn
	stream grpc.ClientStream
	cancel context.CancelFunc
	lock   sync.Mutex // serializes SendMsg, which is not safe for concurrent use
}

// Dialer connects to the address of a peer.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Follow opens a stream to a peer, over TCP if dial is nil. It fails if that takes longer
// than timeout.
func Follow(ctx context.Context, dial Dialer, peer Peer, timeout time.Duration) (*Stream, error) {
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(codecName), grpc.MaxCallRecvMsgSize(maxFrameBytes)),
		grpc.WithDisableServiceConfig(),
	}
	if dial == nil {
		dial = dialPeer
	}
	conn, err := grpc.NewClient("passthrough:///"+peer.Address, append(options, grpc.WithContextDialer(dial))...)
	if err != nil {
		return nil, fmt.Errorf("following router %q at %s: %w", peer.Router, peer.Address, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(timeout, cancel)
	stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}, followMethod)
	if err != nil || !timer.Stop() {
		cancel()
		_ = conn.Close() // no message was sent on it
		return nil, fmt.Errorf("following router %q at %s: opening the stream: %w", peer.Router, peer.Address, err)
	}
	return &Stream{Peer: peer, conn: conn, stream: stream, cancel: cancel}, nil
}

func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	dial := func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	conn, err := DialAgain(ctx, dial, address, redialPause)
	if err != nil {
		return nil, fmt.Errorf("connecting to %s: %w", address, err)
	}
	return conn, nil
}

// Receive blocks until the next frame arrives and returns it.
func (s *Stream) Receive() (Frame, error) {
	var f Frame
	if err := s.stream.RecvMsg(&f); err != nil {
		return Frame{}, fmt.Errorf("receiving from router %q: %w", s.Peer.Router, err)
	}
	return f, nil
}

// Send sends a frame to the parent router. It is safe for concurrent use.
func (s *Stream) Send(f Frame) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	if err := s.stream.SendMsg(&f); err != nil {
		return fmt.Errorf("sending to router %q: %w", s.Peer.Router, err)
	}
	return nil
}

// Close ends the stream.
func (s *Stream) Close() {
	s.cancel()
	_ = s.conn.Close() // frames in flight may be lost
}
