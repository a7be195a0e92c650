package route

import (
	"slices"
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// unreachedBackoff is how long a router that reaches no endpoint of a service is
	// handed no request to it.
	unreachedBackoff = time.Second
	// unconnectedBackoff is how long a router that could not be connected to is handed
	// no request. Entries of routers that are gone stay.
	unconnectedBackoff = 5 * time.Second
)

// Peer is another router to which this one may hand requests over.
type Peer struct {
	Router  ident.RouterID
	Zone    ident.ZoneID
	Address string // host:port
}

// Handoffs chooses the router to which a request is handed over. Requests are spread over
// all that have not said lately that they reach no endpoint of the service either. It is
// safe for concurrent use.
type Handoffs struct {
	lock  sync.Mutex
	until map[handoffKey]time.Time // no request before then
}

type handoffKey struct {
	router  ident.RouterID
	service ident.ServiceID
}

// NewHandoffs returns Handoffs by which every router may be chosen.
func NewHandoffs() *Handoffs { return &Handoffs{until: map[handoffKey]time.Time{}} }

// Unreached records that a router reaches no endpoint of a service.
func (h *Handoffs) Unreached(now time.Time, router ident.RouterID, service ident.ServiceID) {
	h.backOff(now, handoffKey{router, service}, unreachedBackoff)
}

// Unconnected records that a router could not be connected to.
func (h *Handoffs) Unconnected(now time.Time, router ident.RouterID) {
	h.backOff(now, handoffKey{router: router}, unconnectedBackoff)
}

func (h *Handoffs) backOff(now time.Time, key handoffKey, wait time.Duration) {
	h.lock.Lock()
	defer h.lock.Unlock()
	for k, until := range h.until {
		if !now.Before(until) {
			delete(h.until, k)
		}
	}
	h.until[key] = now.Add(wait)
}

// Choose returns the router to which a request is handed over, or false if there is none.
// It never chooses one of exclude.
func (h *Handoffs) Choose(now time.Time, service ident.ServiceID, seed uint64, peers []Peer, exclude []ident.RouterID) (Peer, bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	var best Peer
	var weight uint64
	for _, p := range peers {
		if now.Before(h.until[handoffKey{p.Router, service}]) || now.Before(h.until[handoffKey{router: p.Router}]) || slices.Contains(exclude, p.Router) {
			continue
		}
		if w := mixHash(seed, ident.EndpointID(p.Router)); best.Router == "" || w > weight {
			best, weight = p, w
		}
	}
	return best, best.Router != ""
}
