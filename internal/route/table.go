package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Outcome says how an attempt on an endpoint ended.
type Outcome int

// The outcomes.
const (
	OutcomeDone       Outcome = iota // answered whole
	OutcomeCancelled                 // given up by this router or its caller
	OutcomeOverloaded                // refused by the endpoint as too much
	OutcomeFailed                    // broken or in error
	OutcomeUnreachable                      // nothing of the service listens at the address
)

// Table holds this router's own view of each endpoint's load: attempts in
// flight, an adaptive limit for them, and how far first tokens came later than
// expected. It is safe for use by many goroutines.
type LoadTracker struct {
	lock  sync.RWMutex
	loads map[ident.EndpointID]*load
	index atomic.Pointer[index]
}

// Load is a copy of what a Table knows of one endpoint.
type Load struct {
	Running int           `json:"running"` // own attempts in flight
	Limit   float64       `json:"limit"`   // own attempts allowed, 0 before the first attempt
	Correction  float64       `json:"factor"`  // observed time to the first token over the expected one
	Backoff time.Duration `json:"backoff"` // time left in which nothing is sent after a refusal
	ServiceTime time.Duration `json:"service"` // mean time that an attempt stays in flight
	StartedSinceReport   int           `json:"added"`   // own attempts in flight beyond those at the time of the report
}

// NewTable gives a table that knows of no load.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{loads: make(map[ident.EndpointID]*load)}
}

// Start records that an attempt was sent to the endpoint.
func (t *LoadTracker) Start(now time.Time, endpoint ident.EndpointID) {
	l := t.load(endpoint)
	l.lock.Lock()
	defer l.lock.Unlock()
	l.start(now)
}

// First records the first token of an attempt: expected is Send.Expected and
// latency the time since sending.
func (t *LoadTracker) FirstToken(now time.Time, endpoint ident.EndpointID, expected, latency time.Duration) {
	l := t.load(endpoint)
	l.lock.Lock()
	defer l.lock.Unlock()
	l.first(now, expected, latency)
}

// End records that an attempt is no longer in flight.
func (t *LoadTracker) End(now time.Time, endpoint ident.EndpointID, outcome Outcome) {
	l := t.load(endpoint)
	l.lock.Lock()
	defer l.lock.Unlock()
	l.end(now, outcome)
}

// Load gives what is known of an endpoint whose newest report tells of the
// time reported; the zero time if there is none.
func (t *LoadTracker) Load(now time.Time, endpoint ident.EndpointID, reported time.Time) Load {
	t.lock.RLock()
	l := t.loads[endpoint]
	t.lock.RUnlock()
	if l == nil {
		return Load{Correction: 1, ServiceTime: assumedService}
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	return Load{
		Running: l.running,
		Limit:   l.limit,
		Correction:  l.correction(now),
		Backoff: max(0, l.backoff.Sub(now)),
		ServiceTime: l.service(),
		StartedSinceReport:   l.running - l.before(reported),
	}
}

// Retain forgets every endpoint that the snapshot does not hold and on which
// nothing is in flight.
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

func (t *LoadTracker) load(endpoint ident.EndpointID) *load {
	t.lock.RLock()
	l := t.loads[endpoint]
	t.lock.RUnlock()
	if l != nil {
		return l
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	if l = t.loads[endpoint]; l == nil {
		l = newLoad()
		t.loads[endpoint] = l
	}
	return l
}

// lookup gives the endpoint lists of a snapshot, built once for each snapshot.
func (t *LoadTracker) lookup(s *fleet.Snapshot) *index {
	x := t.index.Load()
	if x == nil || x.snapshot != s {
		x = newIndex(s)
		t.index.Store(x)
	}
	return x
}
