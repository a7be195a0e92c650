package router

import (
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/inlet"
	"github.com/marigoldscale/marigoldscale/internal/metric"
	"github.com/marigoldscale/marigoldscale/internal/setup"
)

const (
	// callerMemoryFraction is the fraction of limits.memory that callers may make the router
	// hold, as on pass-through routes.
	callerMemoryFraction = 0.25
	// callerConnFraction is the fraction of the descriptors that callers' connections may
	// use. A request needs one or two more to endpoints.
	callerConnFraction = 0.4
	// peerMemoryFraction and peerConnFraction are the fractions that callers of the peer
	// address may use. They are apart from those of callers, which could otherwise keep the
	// router from its peers.
	peerMemoryFraction = 0.125
	peerConnFraction   = 0.1
	// reservedDescriptors are descriptors kept for files.
	reservedDescriptors = 200
	// maxAdminConns is the number of connections to the admin address, of which the oldest
	// is closed for a new one.
	maxAdminConns = 32
	// maxAdminHeadBytes and maxAdminBodyBytes bound an operator's request. The longest holds
	// the reason of a withdrawal.
	maxAdminHeadBytes = 8 << 10
	maxAdminBodyBytes = 64 << 10
	// limitLogInterval is the time between two log lines on callers that hit the same
	// limit. The counter has all.
	limitLogInterval = time.Second
)

// bounds are the bounds on what callers and peers can make the router hold. A nil bounds
// bounds nothing.
type bounds struct {
	router  *Router
	callers *inlet.Budget
	peers   *inlet.Budget
}

// newBounds returns nil if the settings give no memory.
func newBounds(r *Router, l setup.Limits) *bounds {
	if l.Memory <= 0 {
		return nil
	}
	budget := func(memory, conns float64) *inlet.Budget {
		return inlet.NewBudget(int64(l.Memory*memory*(1<<20)), int((l.Descriptors-reservedDescriptors)*conns), l.Share)
	}
	return &bounds{router: r, callers: budget(callerMemoryFraction, callerConnFraction), peers: budget(peerMemoryFraction, peerConnFraction)}
}

// wrap makes a server accept from a listener within bounds. The Listener that it returns
// is nil if there are none.
func (b *bounds) wrap(l net.Listener, server *http.Server, s inlet.Settings, name string) (net.Listener, *inlet.Listener) {
	if b == nil {
		return l, nil
	}
	s.Report = b.report(name)
	bounded := inlet.New(l, s, time.Now)
	server.ConnState, server.ConnContext = bounded.StateChanged, inlet.ConnContext
	return bounded, bounded
}

// wrapCallers bounds the callers' address.
func (b *bounds) wrapCallers(l net.Listener, server *http.Server) (net.Listener, *inlet.Listener) {
	if b == nil {
		return l, nil
	}
	limits := inlet.Limits{HeadBytes: server.MaxHeaderBytes, HeadTimeout: server.ReadHeaderTimeout}
	return b.wrap(l, server, inlet.Settings{Budget: b.callers, Limits: func() inlet.Limits { return limits }}, "callers")
}

// wrapAdmin bounds the admin address.
func (b *bounds) wrapAdmin(l net.Listener, server *http.Server) net.Listener {
	if b == nil {
		return l
	}
	server.MaxHeaderBytes = maxAdminHeadBytes
	server.Handler = inlet.ShortBodies(server.Handler, maxAdminBodyBytes)
	limits := inlet.Limits{HeadBytes: maxAdminHeadBytes, HeadTimeout: adminTimeout}
	bounded, _ := b.wrap(l, server, inlet.Settings{MaxConns: maxAdminConns, Limits: func() inlet.Limits { return limits }}, "admin")
	return bounded
}

// wrapPeers bounds the peer address.
func (b *bounds) wrapPeers(l net.Listener, rpc *inlet.RPC) net.Listener {
	if b == nil {
		return l
	}
	return rpc.Listen(l, inlet.Settings{Budget: b.peers, Report: b.report("peers")}, time.Now)
}

// report returns a function that counts and logs callers that hit a limit.
func (b *bounds) report(listener string) func(inlet.Event, net.Addr) {
	var lock sync.Mutex
	logged := map[inlet.Event]time.Time{}
	return func(e inlet.Event, caller net.Addr) {
		b.router.metrics.Count("callers_limited_total", 1, metric.Label{Name: "limit", Value: string(e)}, metric.Label{Name: "listener", Value: listener})
		lock.Lock()
		defer lock.Unlock()
		if now := time.Now(); now.Sub(logged[e]) >= limitLogInterval {
			logged[e] = now
			b.router.log.Warn("caller limited", zap.String("limit", string(e)), zap.String("listener", listener), zap.Stringer("caller", caller))
		}
	}
}

// export writes what callers hold into the metrics.
func (b *bounds) export() {
	if b == nil {
		return
	}
	bytes, conns := b.callers.Used()
	b.router.metrics.Gauge("callers_bytes", bytes)
	b.router.metrics.Gauge("callers_connections", int64(conns))
}
