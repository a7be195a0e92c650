package feed

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// Link is a stream from the router that is followed.
type Stream struct {
	Peer   Peer
	conn   *grpc.ClientConn
	stream grpc.ClientStream
	cancel context.CancelFunc
	lock   sync.Mutex // a stream takes one message at a time
}

// Follow opens a stream from a peer, within a time.
func Follow(ctx context.Context, peer Peer, within time.Duration) (*Stream, error) {
	conn, err := grpc.NewClient("passthrough:///"+peer.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(codecName), grpc.MaxCallRecvMsgSize(maxFrameBytes)),
		grpc.WithDisableServiceConfig(), grpc.WithNoProxy())
	if err != nil {
		return nil, fmt.Errorf("following router %q at %s: %w", peer.Router, peer.Address, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(within, cancel)
	stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}, followMethod)
	if err != nil || !timer.Stop() {
		cancel()
		_ = conn.Close() // was never used
		return nil, fmt.Errorf("following router %q at %s: no stream: %w", peer.Router, peer.Address, err)
	}
	return &Stream{Peer: peer, conn: conn, stream: stream, cancel: cancel}, nil
}

// Receive waits for the next frame.
func (l *Stream) Receive() (Frame, error) {
	var f Frame
	if err := l.stream.RecvMsg(&f); err != nil {
		return Frame{}, fmt.Errorf("hearing router %q: %w", l.Peer.Router, err)
	}
	return f, nil
}

// Send passes a frame to the router that is followed. It is safe for use by
// many goroutines.
func (l *Stream) Send(f Frame) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	if err := l.stream.SendMsg(&f); err != nil {
		return fmt.Errorf("telling router %q: %w", l.Peer.Router, err)
	}
	return nil
}

// Close ends the stream.
func (l *Stream) Close() {
	l.cancel()
	_ = l.conn.Close() // nothing is in flight that matters
}
