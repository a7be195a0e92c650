package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/proxy"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// headerAttempts tells the router to which a request is handed over how many
	// endpoints may still get it.
	headerAttempts = "Router-Attempts"
	// headerGeneration tells it the configuration that the request is to be decided by at
	// least.
	headerGeneration = "Router-Generation"
	// headerUnreached marks the refusal of a request that was handed over to a router
	// which reaches no endpoint either.
	headerUnreached = "Router-Unreached"
	// headerUsed tells with a refusal how many endpoints have got the request.
	headerUsed = "Router-Used"
	// routerPrefix precedes the name of a router in place of an endpoint's id.
	routerPrefix = "router/"
	// maxHandoffs is the number of routers that a request is handed over to at most.
	maxHandoffs = 4
	// maxUnreached is the number of endpoints that a request was not able to reach from
	// which it is handed over.
	maxUnreached = 2
	// lostSettle is how long the links to a service must have been lost until requests
	// that others hand over are refused without an attempt.
	lostSettle = 2 * time.Second
	// probeTimeout bounds an attempt to reach an endpoint again.
	probeTimeout = 400 * time.Millisecond
	// probeSettle is how long a connection must stay open to count as a contact.
	probeSettle = 60 * time.Millisecond
)

// Handoffs returns the handler for requests that other routers hand over since they reach
// no endpoint.
func (s *Server) Handoffs() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, true) })
}

// isRouter reports whether an endpoint stands for a router.
func isRouter(id ident.EndpointID) bool { return strings.HasPrefix(string(id), routerPrefix) }

// routerOf returns the router that an endpoint stands for.
func routerOf(id ident.EndpointID) ident.RouterID {
	return ident.RouterID(strings.TrimPrefix(string(id), routerPrefix))
}

// handOver hands the request over to another router that may reach an endpoint. It
// reports false if there is none.
func (c *call) handOver(now time.Time, n proxy.Attempt) bool {
	if c.handedOver || len(c.handoffs) >= maxHandoffs {
		return false
	}
	peers := make([]route.Peer, 0, 8)
	for _, p := range c.server.control.Peers() {
		if c.regionAllowed(p.Zone) && c.server.settings.Regions[p.Zone] == c.server.settings.Regions[c.server.settings.Zone] {
			peers = append(peers, p)
		}
	}
	p, ok := c.server.handoffs.Choose(now, c.request.Service, c.request.Seed, peers, c.handoffs)
	if !ok {
		return false
	}
	c.handoffs = append(c.handoffs, p.Router)
	id := ident.EndpointID(routerPrefix + string(p.Router))
	c.log("handed over", zap.Int("attempt", int(n)), zap.String("router", string(p.Router)), zap.Int("unreached", c.unreached))
	c.placements = append(c.placements, placement{endpoint: id})
	c.step(proxy.EndpointSelected{Attempt: n, Endpoint: &world.Endpoint{ID: id, Service: c.request.Service, Address: p.Address, Zone: p.Zone}, Handoff: true})
	return true
}

// serveElsewhere leaves an attempt to another router if this one reaches no endpoint of
// the service: by handing the request over, or by refusing one that was handed over. It
// reports whether it did.
func (c *call) serveElsewhere(now time.Time, n proxy.Attempt) bool {
	since, lost := c.server.reach.Lost(now, c.request.Service)
	if !lost && c.unreached < maxUnreached {
		return false
	}
	c.probe(now)
	if c.unreached == 0 && c.server.reach.TakeTrial(c.request.Service, c.route.Repeatable()) {
		return false
	}
	if c.handOver(now, n) {
		return true
	}
	if !c.handedOver || !lost || since < lostSettle {
		return false // an attempt of its own may still succeed
	}
	c.markUnreached()
	c.step(proxy.NoEndpoint{Attempt: n})
	return true
}

// setHandoffHeaders sets the headers of a request that is handed over.
func (c *call) setHandoffHeaders(h http.Header, d proxy.Dispatch, remaining time.Duration) {
	c.server.codec.SetHandoffHeaders(h, HandoffHead{Remaining: remaining, LastEventID: d.LastEventID})
	h.Set(headerAttempts, strconv.Itoa(d.Grant))
	h.Set(headerGeneration, strconv.FormatUint(uint64(c.server.control.View().Config.Generation), 10))
}

// isBehind reports whether the router that handed the request over has a newer
// configuration than this one, and removes its header. Callers of that router must not see
// an older one.
func (c *call) isBehind(g ident.Generation) bool {
	n, err := strconv.ParseUint(c.r.Header.Get(headerGeneration), 10, 64)
	c.r.Header.Del(headerGeneration)
	return err == nil && ident.Generation(n) > g
}

// markUnreached marks the refusal that follows, if the request was handed over, as one
// that another router may not have to make.
func (c *call) markUnreached() {
	if c.handedOver {
		c.w.Header().Set(headerUnreached, "1")
	}
}

// limitAttempts applies what the router that handed the request over has left of its
// attempts, and removes its header.
func (c *call) limitAttempts(q *proxy.Request) {
	if n, err := strconv.Atoi(c.r.Header.Get(headerAttempts)); err == nil && n < q.Route.MaxAttempts {
		limited := *q.Route
		limited.MaxAttempts = max(1, n)
		q.Route = &limited
	}
	c.r.Header.Del(headerAttempts)
}

// handoffResponse interprets the head of a response from a router to which the request
// was handed over.
func (c *call) handoffResponse(n proxy.Attempt, h proxy.ResponseHead) proxy.ResponseHead {
	if h.Signed {
		return h
	}
	response := c.exchanges[n].response
	h.WrongEndpoint = false
	switch h.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		h.NotRun = true
	}
	if n, err := strconv.Atoi(response.Header.Get(headerUsed)); err == nil {
		h.Used = n // an older router tells nothing
	}
	if h.NotRun && response.Header.Get(headerUnreached) != "" {
		h.Unreached = true
		c.server.handoffs.Unreached(c.server.clock(), routerOf(c.exchanges[n].endpoint.ID), c.request.Service)
	}
	return h
}

// interpretHandoff interprets the response of a router to which the request was handed
// over. It returns other events unchanged.
func (c *call) interpretHandoff(e proxy.Event) proxy.Event {
	switch x := e.(type) {
	case proxy.HeadReceived:
		if isRouter(c.exchanges[x.Attempt].endpoint.ID) {
			x.Head = c.handoffResponse(x.Attempt, x.Head)
		}
		return x
	case proxy.ResponseReceived:
		if isRouter(c.exchanges[x.Attempt].endpoint.ID) {
			x.Head = c.handoffResponse(x.Attempt, x.Head)
		}
		return x
	}
	return e
}

// recordContact records whether an attempt has reached its endpoint. If not, cause is why
// its connection ended, or nil if it was given up.
func (c *call) recordContact(n proxy.Attempt, reached bool, cause error) {
	e, s := c.exchanges[n].endpoint, c.server
	if isRouter(e.ID) {
		if !reached {
			s.handoffs.Unconnected(s.clock(), routerOf(e.ID))
		}
		return
	}
	now := s.clock()
	if reached {
		if c.exchanges[n].fresh {
			s.reach.Connected(e.Service, e.ID)
		}
		if s.reach.Contact(e.Service) {
			s.log.Info("endpoints reached again", zap.String("service", string(e.Service)))
		}
		return
	}
	c.unreached++
	fail := s.reach.Fail
	if isClosed(cause) {
		fail = s.reach.FailClosed
	}
	if fail(now, e.Service, e.ID, len(s.control.View().Candidates(now, e.Service, ""))) {
		s.log.Warn("endpoints not reached", zap.String("service", string(e.Service)))
	}
}

// isClosed reports whether the other side, or a machine on the way to it, closed or refused
// a connection. Otherwise it was silent.
func isClosed(cause error) bool {
	for _, e := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF} {
		if errors.Is(cause, e) {
			return true
		}
	}
	return false
}

// probe tries, now and then, to reach a service again whose links are lost, by a
// connection to one of its endpoints.
func (c *call) probe(now time.Time) {
	s, service := c.server, c.request.Service
	if !s.reach.ProbeDue(now, service) {
		return
	}
	candidates := s.control.View().Candidates(now, service, "")
	if len(candidates) == 0 {
		return
	}
	e := candidates[c.request.Seed%uint64(len(candidates))]
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if s.pool.probe(ctx, e) {
			s.reach.Probed(service)
		}
	}()
}
