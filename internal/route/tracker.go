package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Outcome is how an attempt on an endpoint ended.
type Outcome int

// The outcomes.
const (
	OutcomeDone        Outcome = iota // complete answer
	OutcomeCancelled                  // cancelled by this router or the caller
	OutcomeOverloaded                 // refused by the endpoint because of overload
	OutcomeFailed                     // broken off or answered with an error
	OutcomeUnreachable                // the service does not listen at the endpoint's address
)

// LoadTracker tracks this router's own view of each endpoint's load: attempts in
// flight, an adaptive limit for them, and by which factor first tokens are later
// than expected. It is safe for concurrent use.
type LoadTracker struct {
	lock  sync.RWMutex
	loads map[ident.EndpointID]*endpointLoad
	index atomic.Pointer[endpointIndex]
}

// Load is the load of one endpoint as tracked by a LoadTracker.
type Load struct {
	Running            int           `json:"running"` // own attempts in flight
	Limit              float64       `json:"limit"`   // own attempts allowed, 0 for no limit yet
	Correction         float64       `json:"factor"`  // observed time to the first token over the expected one, smoothed
	Backoff            time.Duration `json:"backoff"` // time until the next attempt may be sent
	ServiceTime        time.Duration `json:"service"` // mean time that an attempt stays in flight
	StartedSinceReport int           `json:"added"`   // own attempts in flight less those at the time of the report
}

// NewLoadTracker returns a LoadTracker without attempts.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{loads: make(map[ident.EndpointID]*endpointLoad)}
}

// Start records that an attempt was sent to the endpoint.
func (t *LoadTracker) Start(now time.Time, endpoint ident.EndpointID) {
	l := t.load(endpoint)
	l.lock.Lock()
	defer l.lock.Unlock()
	l.start(now)
}

// FirstToken records the first token of an attempt: expected is Send.Expected
// and latency the time since sending.
func (t *LoadTracker) FirstToken(now time.Time, endpoint ident.EndpointID, expected, latency time.Duration) {
	l := t.load(endpoint)
	l.lock.Lock()
	defer l.lock.Unlock()
	l.firstToken(now, expected, latency)
}

// End records that an attempt is no longer in flight.
func (t *LoadTracker) End(now time.Time, endpoint ident.EndpointID, outcome Outcome) {
	l := t.load(endpoint)
	l.lock.Lock()
	defer l.lock.Unlock()
	l.end(now, outcome)
}

// Load returns the load of an endpoint, where reported is the time of the
// endpoint's latest load report, or the zero time if there is none.
func (t *LoadTracker) Load(now time.Time, endpoint ident.EndpointID, reported time.Time) Load {
	t.lock.RLock()
	l := t.loads[endpoint]
	t.lock.RUnlock()
	if l == nil {
		return Load{Correction: 1, ServiceTime: defaultServiceTime}
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	return Load{
		Running:            l.running,
		Limit:              l.limit,
		Correction:         l.decayedFactor(now),
		Backoff:            max(0, l.backoffUntil.Sub(now)),
		ServiceTime:        l.serviceTime(),
		StartedSinceReport: l.running - l.runningAt(reported),
	}
}

// Retain removes every endpoint that is not in the snapshot and on which nothing
// is in flight.
func (t *LoadTracker) Retain(s *fleet.Snapshot) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for id, l := range t.loads {
		l.lock.Lock()
		idle := l.running == 0
		l.lock.Unlock()
		if _, ok := s.Endpoints[id]; !ok && idle {
			delete(t.loads, id)
		}
	}
}

func (t *LoadTracker) load(endpoint ident.EndpointID) *endpointLoad {
	t.lock.RLock()
	l := t.loads[endpoint]
	t.lock.RUnlock()
	if l != nil {
		return l
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	if l = t.loads[endpoint]; l == nil {
		l = newEndpointLoad()
		t.loads[endpoint] = l
	}
	return l
}

// indexOf returns the index of a snapshot's endpoints, built once for each
// snapshot.
func (t *LoadTracker) indexOf(s *fleet.Snapshot) *endpointIndex {
	x := t.index.Load()
	if x == nil || x.snapshot != s {
		x = newEndpointIndex(s)
		t.index.Store(x)
	}
	return x
}
