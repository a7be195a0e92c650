package route

import (
	"math"
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// tempoStart is the time to read a token before any was measured.
	tempoStart = 30 * time.Microsecond
	// tempoBase is the time to a first event apart from reading the prompt,
	// before any was measured.
	tempoBase = 30 * time.Millisecond
	// tempoGain is the weight of a new measurement.
	tempoGain = 0.1
	// tempoTokens is the least uncached prompt that shows the time for a token.
	tempoTokens ident.Tokens = 1000
	// tempoLow and tempoHigh bound what one measurement may say of a token.
	tempoLow, tempoHigh = 2 * time.Microsecond, 2 * time.Millisecond
	// failureGain is the weight of one outcome in an endpoint's failure share.
	failureGain = 0.2
	// failureHalf is the half-life of a failure share without new outcomes.
	failureHalf = 8 * time.Second
)

// Tempo learns how fast models read prompts, what waits to be read at each
// endpoint, and which endpoints fail more than others. It is safe for use by
// many goroutines.
type Tempo struct {
	lock    sync.Mutex
	models  map[ident.ModelID]*pace
	waiting map[ident.EndpointID]*queue
	health  map[ident.EndpointID]*share
	overall share
}

type pace struct {
	base  float64 // seconds
	token float64 // seconds
}

type queue struct {
	pending time.Duration // expected work of own requests without a first event
	count   int
}

type share struct {
	value float64
	at    time.Time
}

// NewTempo gives a Tempo that has measured nothing.
func NewTempo() *Tempo {
	return &Tempo{
		models:  map[ident.ModelID]*pace{},
		waiting: map[ident.EndpointID]*queue{},
		health:  map[ident.EndpointID]*share{},
	}
}

// Start notes that a request with an expected work until its first event was
// sent to the endpoint.
func (t *Tempo) Start(endpoint ident.EndpointID, work time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	q := t.waiting[endpoint]
	if q == nil {
		q = &queue{}
		t.waiting[endpoint] = q
	}
	q.pending += work
	q.count++
}

// Settle notes that the request's first event came, or that none will.
func (t *Tempo) Settle(endpoint ident.EndpointID, work time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	q := t.waiting[endpoint]
	if q == nil {
		return
	}
	q.pending -= work
	if q.count--; q.count <= 0 {
		delete(t.waiting, endpoint)
	}
}

// Waiting gives the expected work of own requests without a first event, in
// milliseconds.
func (t *Tempo) Waiting() map[ident.EndpointID]int64 {
	t.lock.Lock()
	defer t.lock.Unlock()
	work := make(map[ident.EndpointID]int64, len(t.waiting))
	for id, q := range t.waiting {
		if ms := q.pending.Milliseconds(); ms > 0 {
			work[id] = ms
		}
	}
	return work
}

// Measure takes in the time to a first event after reading uncached tokens.
func (t *Tempo) Measure(model ident.ModelID, uncached ident.Tokens, first time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	p := t.pace(model)
	if uncached < tempoTokens {
		p.base += tempoGain * (min(first.Seconds(), 1) - p.base)
		return
	}
	token := max(0, first.Seconds()-p.base) / float64(uncached)
	token = min(max(token, tempoLow.Seconds()), tempoHigh.Seconds())
	p.token += tempoGain * (token - p.token)
}

// Outcome takes in whether the endpoint failed a request that it ran.
func (t *Tempo) Outcome(now time.Time, endpoint ident.EndpointID, failed bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	h := t.health[endpoint]
	if h == nil {
		h = &share{}
		t.health[endpoint] = h
	}
	h.add(now, failed)
	t.overall.add(now, failed)
}

// Retain forgets all endpoints for which keep is false.
func (t *Tempo) Retain(keep func(ident.EndpointID) bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for id := range t.health {
		if !keep(id) {
			delete(t.health, id)
		}
	}
}

func (t *Tempo) pace(model ident.ModelID) *pace {
	p := t.models[model]
	if p == nil {
		p = &pace{base: tempoBase.Seconds(), token: tempoStart.Seconds()}
		t.models[model] = p
	}
	return p
}

// first is the expected time to a first event on an idle endpoint.
func (t *Tempo) first(model ident.ModelID, uncached ident.Tokens) time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	p := t.pace(model)
	return time.Duration((p.base + p.token*float64(uncached)) * float64(time.Second))
}

func (t *Tempo) backlog(endpoint ident.EndpointID) time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	if q := t.waiting[endpoint]; q != nil {
		return max(0, q.pending)
	}
	return 0
}

// failures is by how much the endpoint's share of failures exceeds that of all.
func (t *Tempo) failures(now time.Time, endpoint ident.EndpointID) float64 {
	t.lock.Lock()
	defer t.lock.Unlock()
	h := t.health[endpoint]
	if h == nil {
		return 0
	}
	return max(0, h.now(now)-t.overall.now(now))
}

func (s *share) add(now time.Time, hit bool) {
	v := s.now(now)
	if hit {
		v += failureGain * (1 - v)
	} else {
		v -= failureGain * v
	}
	s.value, s.at = v, now
}

func (s *share) now(now time.Time) float64 {
	age := now.Sub(s.at)
	if age <= 0 {
		return s.value
	}
	return s.value * math.Exp2(-age.Seconds()/failureHalf.Seconds())
}
