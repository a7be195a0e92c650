package entry

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/inlet"
	"github.com/marigoldscale/marigoldscale/internal/metric"
	"github.com/marigoldscale/marigoldscale/internal/setup"
)

// idleLimitFactor times the configured limit is how long a caller's connection
// stays open while idle, since callers may reuse it until the limit.
const idleLimitFactor = 1.25

const (
	// callerMemoryFraction is the fraction of limits.memory that callers may make the
	// router hold. With 0.35 the garbage collector did not keep up with stalled bodies of
	// 4 MB, and a router with 134 MB used 144.
	callerMemoryFraction = 0.25
	// connFraction is the fraction of the descriptors that connections of callers and other
	// routers may use. A request needs one or two more to endpoints; the feeds and the
	// store need some.
	connFraction = 0.4
	// feedMemoryFraction and feedConnFraction are the fractions of the memory and of the
	// descriptors that callers of the feed may use. They are apart from those of callers,
	// which could otherwise keep the router from its feeds. 90 routers follow one at most.
	feedMemoryFraction = 0.125
	feedConnFraction   = 0.1
	// reservedDescriptors are descriptors kept for files.
	reservedDescriptors = 200
	// maxProbeConns is the number of connections for probes, and for metrics.
	maxProbeConns = 32
	// maxProbeHeadBytes bounds the head of a probe.
	maxProbeHeadBytes = 8 << 10
	// limitLogInterval is the time between two log lines on callers that hit the same
	// limit. The counter has all.
	limitLogInterval = time.Second
)

// callerBudget returns the budget for all that callers make the router hold.
func callerBudget(l setup.RelayLimits) *inlet.Budget {
	return inlet.NewBudget(int64(l.Memory*callerMemoryFraction*(1<<20)), int((l.Descriptors-reservedDescriptors)*connFraction), l.Share)
}

// feedBudget returns the budget for what callers of the feed make the router hold.
func feedBudget(l setup.RelayLimits) *inlet.Budget {
	return inlet.NewBudget(int64(l.Memory*feedMemoryFraction*(1<<20)), int((l.Descriptors-reservedDescriptors)*feedConnFraction), l.Share)
}

// headLimits returns the limits of the configuration in force.
func (r *Router) headLimits() inlet.Limits {
	c := r.controller.View().Config
	if c == nil {
		return inlet.Limits{}
	}
	return inlet.Limits{HeadBytes: c.Limits.MaxHeaderBytes, HeadTimeout: c.Limits.HeaderTimeout}
}

// reportLimit returns a function that counts and logs callers that hit a limit.
func (r *Router) reportLimit(listener string) func(inlet.Event, net.Addr) {
	var lock sync.Mutex
	logged := map[inlet.Event]time.Time{}
	return func(e inlet.Event, caller net.Addr) {
		r.metrics.Count("callers_limited_total", 1, metric.Label{Name: "limit", Value: string(e)}, metric.Label{Name: "listener", Value: listener})
		lock.Lock()
		defer lock.Unlock()
		if now := r.clock(); now.Sub(logged[e]) >= limitLogInterval {
			logged[e] = now
			r.log.Warn("caller limited", zap.String("limit", string(e)), zap.String("listener", listener), zap.Stringer("caller", caller))
		}
	}
}

// service is an address at which the router serves.
type service struct {
	name     string
	address  string
	server   *http.Server
	traffic  bool // serves callers' requests, which may complete when the router stops
	listener *inlet.Listener
}

// services returns the router's HTTP services, not yet listening.
func (r *Router) services(s *setup.Relay) []*service {
	return []*service{
		{name: "callers", address: s.Listen, traffic: true, server: &http.Server{
			Handler: r.server, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(r.log.Named("callers")),
		}},
		{name: "handoffs", address: s.Handoff, traffic: true, server: &http.Server{
			Handler: r.server.Handoffs(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(r.log.Named("handoffs")),
		}},
		{name: "readiness", address: s.Ready, server: &http.Server{
			Handler: inlet.Bodiless(r.readinessHandler()), ReadTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxProbeHeadBytes,
		}},
		{name: "metrics", address: s.Admin, server: &http.Server{
			Handler: inlet.Bodiless(r.adminHandler()), ReadTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxProbeHeadBytes,
		}},
	}
}

// listen opens the address of a service. Callers and other routers share a budget; probes
// have a number of connections, of which the oldest is closed for a new one.
func (r *Router) listen(x *service) error {
	l, err := net.Listen("tcp4", x.address)
	if err != nil {
		return fmt.Errorf("listen for %s on %q: %w", x.name, x.address, err)
	}
	s := inlet.Settings{Limits: r.headLimits, Report: r.reportLimit(x.name)}
	if x.traffic {
		s.Budget = r.budget
	} else {
		s.MaxConns = maxProbeConns
	}
	x.listener = inlet.New(l, s, r.clock)
	x.server.ConnState, x.server.ConnContext = x.listener.StateChanged, inlet.ConnContext
	return nil
}

// closeIdle closes callers' connections that have been idle for longer than the limit
// times idleLimitFactor.
func (r *Router) closeIdle(now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	for _, x := range r.listeners {
		if x.name == "callers" {
			x.listener.CloseIdle(now, time.Duration(float64(limit)*idleLimitFactor))
		}
	}
}
