package inlet

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"
)

// FrameRefused is the event of a connection that is closed since its messages do not come
// whole, or there is no memory for them.
const FrameRefused Event = "frame refused"

const (
	// frameSlack is the number of bytes of an unfinished message for which its time is not
	// bounded: those of HTTP/2's own frames.
	frameSlack = 16 << 10
	// frameTimeout bounds the time for a message beyond frameSlack. The largest takes 3.4 s
	// at 10 Mbit/s.
	frameTimeout = 10 * time.Second
	// controlRate is the number of bytes per second that are forgotten, since answers to
	// pings and window updates belong to no message.
	controlRate = 1 << 10
	// messageOverhead is what a message takes beside its bytes: HTTP/2 headers.
	messageOverhead = 512
	// rpcConnectTimeout bounds the time for the handshakes of TLS and HTTP/2. A busy router
	// opens a feed within 2 s.
	rpcConnectTimeout = 5 * time.Second
	// rpcIdleTimeout is how long a connection may be open without a call.
	rpcIdleTimeout = 30 * time.Second
	// rpcPingInterval and rpcPingTimeout find callers that have gone.
	rpcPingInterval = 10 * time.Second
	rpcPingTimeout  = 5 * time.Second
	// rpcWindow is the part of a message that is taken before it is asked for. Setting it
	// keeps grpc from growing it to 16 MB by its own estimate.
	rpcWindow = 64 << 10
	// rpcBuffer is the size of the read and write buffers. grpc's own are 32 KB each.
	rpcBuffer = 4 << 10
	// rpcHeaderBytes bounds the header of a call. A router's has 300 bytes.
	rpcHeaderBytes = 8 << 10
)

// meter takes the memory of bytes that belong to no whole message yet. The lock is held.
func (c *Conn) meter(n int) *headRefusal {
	if c.closed {
		return nil
	}
	now := c.listener.clock()
	c.forget(int64(now.Sub(c.meteredAt).Seconds() * controlRate))
	c.meteredAt = now
	if !c.account.Take(int64(n), Small) {
		return refusedFrame
	}
	c.headHeld += int64(n)
	if c.headHeld > frameSlack && !c.timed {
		c.timed = true
		_ = c.Conn.SetReadDeadline(now.Add(frameTimeout)) // fails only if the connection is closed
	}
	return nil
}

// forget gives memory of bytes back. The lock is held.
func (c *Conn) forget(n int64) {
	n = min(n, c.headHeld)
	c.account.Give(n)
	c.headHeld -= n
	if c.timed && c.headHeld <= frameSlack {
		c.timed = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	}
}

// Settle records that a message of n bytes has come whole.
func (c *Conn) Settle(n int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.forget(int64(n) + int64(n)/16 + messageOverhead)
}

func (c *Conn) markUsed() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.used = true
}

// Find returns the connection of a caller, nil for none.
func (l *Listener) Find(caller net.Addr) *Conn {
	for _, c := range l.all() {
		if c.RemoteAddr().String() == caller.String() {
			return c
		}
	}
	return nil
}

// RPC bounds what the callers of a gRPC server make it hold.
type RPC struct{ listener atomic.Pointer[Listener] }

// Options returns the options of a server that takes a number of calls at once on each
// connection.
func (r *RPC) Options(calls uint32) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxConcurrentStreams(calls),
		grpc.MaxHeaderListSize(rpcHeaderBytes),
		grpc.ConnectionTimeout(rpcConnectTimeout),
		grpc.InitialWindowSize(rpcWindow),
		grpc.InitialConnWindowSize(rpcWindow),
		grpc.ReadBufferSize(rpcBuffer),
		grpc.WriteBufferSize(rpcBuffer),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: rpcIdleTimeout, Time: rpcPingInterval, Timeout: rpcPingTimeout}),
		grpc.StatsHandler(r),
	}
}

// Listen returns a Listener for the server, which accepts from l.
func (r *RPC) Listen(l net.Listener, s Settings, clock func() time.Time) *Listener {
	s.Opaque = true
	out := New(l, s, clock)
	r.listener.Store(out)
	return out
}

// Conn returns the connection of a call, nil if no Listener has accepted it.
func (r *RPC) Conn(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// TagConn implements stats.Handler.
func (r *RPC) TagConn(ctx context.Context, i *stats.ConnTagInfo) context.Context {
	if l := r.listener.Load(); l != nil {
		if c := l.Find(i.RemoteAddr); c != nil {
			return context.WithValue(ctx, connKey{}, c)
		}
	}
	return ctx
}

// TagRPC implements stats.Handler.
func (r *RPC) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (r *RPC) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC implements stats.Handler.
func (r *RPC) HandleRPC(ctx context.Context, s stats.RPCStats) {
	c := r.Conn(ctx)
	if c == nil {
		return
	}
	switch x := s.(type) {
	case *stats.InHeader:
		c.markUsed()
	case *stats.InPayload:
		c.Settle(x.WireLength)
	}
}

// Elements returns the number of values in a JSON text beyond the first: its commas
// outside of strings. Decoding takes memory for each, however short it is.
func Elements(text []byte) int {
	n, quoted := 0, false
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			quoted = !quoted
		case '\\':
			i++
		case ',':
			if !quoted {
				n++
			}
		}
	}
	return n
}
