package route

import (
	"math"
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// reachMemory is how long an attempt without contact counts.
	reachMemory = 3 * time.Second
	// reachEndpoints is the number of endpoints without contact from which the links
	// to a service count as lost, if it has as many.
	reachEndpoints = 3
	// closedFraction is the fraction of the endpoints from which the links count as lost
	// if they have closed or refused connections. A crash of a quarter of the endpoints
	// looks the same, so that three of them show nothing.
	closedFraction = 0.5
	// reachProbeInterval is the time between two attempts to reach a service again.
	reachProbeInterval = 400 * time.Millisecond
	// trialProbes is the number of successive connections to a lost service after which
	// a request that must not run twice is sent to it. One that may is sent after each.
	trialProbes = 3
)

// Reach decides whether this router has lost its links to a service: attempts at several
// of its endpoints, or of any services', have ended without contact since the last contact
// with any. It answers
// partitions in which a router reaches callers, the store and other routers, but no
// endpoint. It is safe for concurrent use.
type Reach struct {
	lock     sync.Mutex
	services map[ident.ServiceID]*serviceReach
	failed   map[ident.EndpointID]failure // of all services, since the last contact with any
}

// failure is the latest attempt without contact at an endpoint.
type failure struct {
	at     time.Time
	closed bool // the connection was closed or refused, so that something answered
}

type serviceReach struct {
	count  int                          // number of endpoints, as of the latest failure
	failed map[ident.EndpointID]failure // since the last contact with any
	// unconnected holds the endpoints to which the latest new connection failed. Others
	// may be open.
	unconnected map[ident.EndpointID]time.Time
	lost        bool
	since       time.Time // if lost
	probed      time.Time
	probes      int // connections that came about since it was lost, or since the last trial
}

// NewReach returns a Reach by which all services are reached.
func NewReach() *Reach {
	return &Reach{services: map[ident.ServiceID]*serviceReach{}, failed: map[ident.EndpointID]failure{}}
}

func (r *Reach) service(id ident.ServiceID) *serviceReach {
	s := r.services[id]
	if s == nil {
		s = &serviceReach{failed: map[ident.EndpointID]failure{}, unconnected: map[ident.EndpointID]time.Time{}}
		r.services[id] = s
	}
	return s
}

// Contact records that an endpoint of a service was reached. It reports whether the links
// to the service counted as lost.
func (r *Reach) Contact(id ident.ServiceID) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	s := r.service(id)
	lost := s.lost
	s.lost = false
	clear(s.failed)
	clear(r.failed)
	return lost
}

// Connected records that a new connection to an endpoint of a service has come about.
func (r *Reach) Connected(id ident.ServiceID, endpoint ident.EndpointID) {
	r.lock.Lock()
	defer r.lock.Unlock()
	delete(r.service(id).unconnected, endpoint)
}

// Unconnected records that a new connection to an endpoint of a service has failed.
func (r *Reach) Unconnected(now time.Time, id ident.ServiceID, endpoint ident.EndpointID) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.service(id).unconnected[endpoint] = now
}

// Refused reports whether new connections to a service, of which there are count
// endpoints, are likely to fail although answers may come over those that are open.
func (r *Reach) Refused(now time.Time, id ident.ServiceID, count int) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	s := r.service(id)
	forget(now, s.unconnected)
	return len(s.unconnected) >= min(reachEndpoints, max(1, count))
}

// forgetFailures drops what is older than reachMemory.
func forgetFailures(now time.Time, failed map[ident.EndpointID]failure) {
	for e, f := range failed {
		if now.Sub(f.at) >= reachMemory {
			delete(failed, e)
		}
	}
}

// showLoss reports whether the failures at some of count endpoints show that the links
// are lost.
func showLoss(failed map[ident.EndpointID]failure, count int) bool {
	need, silent := min(reachEndpoints, max(1, count)), 0
	for _, f := range failed {
		if !f.closed {
			silent++
		}
	}
	return silent >= need || len(failed) >= max(need, int(math.Ceil(closedFraction*float64(count))))
}

// forget drops what is older than reachMemory.
func forget(now time.Time, times map[ident.EndpointID]time.Time) {
	for e, at := range times {
		if now.Sub(at) >= reachMemory {
			delete(times, e)
		}
	}
}

// Fail records an attempt without contact at one of the endpoints of a service, of which
// there are count. It reports whether the links to the service count as lost from now on.
func (r *Reach) Fail(now time.Time, id ident.ServiceID, endpoint ident.EndpointID, count int) bool {
	return r.fail(id, endpoint, count, failure{at: now})
}

// FailClosed is Fail for an attempt whose connection was closed or refused.
func (r *Reach) FailClosed(now time.Time, id ident.ServiceID, endpoint ident.EndpointID, count int) bool {
	return r.fail(id, endpoint, count, failure{at: now, closed: true})
}

func (r *Reach) fail(id ident.ServiceID, endpoint ident.EndpointID, count int, f failure) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	s := r.service(id)
	before := s.lost
	s.count = count
	s.failed[endpoint], r.failed[endpoint] = f, f
	forgetFailures(f.at, s.failed)
	forgetFailures(f.at, r.failed)
	all := 0
	for _, other := range r.services {
		all += other.count
	}
	if showLoss(r.failed, max(all, reachEndpoints)) {
		for _, other := range r.services {
			other.lose(f.at)
		}
	}
	if showLoss(s.failed, count) {
		s.lose(f.at)
	}
	return s.lost && !before
}

// lose records that the links are lost, if they were not before.
func (s *serviceReach) lose(now time.Time) {
	if !s.lost {
		s.lost, s.since, s.probed, s.probes = true, now, now, 0
	}
}

// Lost reports whether the links to a service are lost, and for how long they have been.
func (r *Reach) Lost(now time.Time, id ident.ServiceID) (time.Duration, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	s := r.service(id)
	if !s.lost {
		return 0, false
	}
	return now.Sub(s.since), true
}

// ProbeDue reports whether to try to reach a lost service again, and counts that as done.
func (r *Reach) ProbeDue(now time.Time, id ident.ServiceID) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	s := r.service(id)
	if !s.lost || now.Sub(s.probed) < reachProbeInterval {
		return false
	}
	s.probed = now
	return true
}

// Probed records that a connection to a lost service has come about.
func (r *Reach) Probed(id ident.ServiceID) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.service(id).probes++
}

// TakeTrial reports whether a request is to be sent to a lost service, since connections
// come about again. Its answer shows whether the service is reached.
func (r *Reach) TakeTrial(id ident.ServiceID, repeatable bool) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	s := r.service(id)
	if !s.lost || s.probes == 0 || !repeatable && s.probes < trialProbes {
		return false
	}
	s.probes = 0
	return true
}
