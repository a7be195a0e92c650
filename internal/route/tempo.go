package route

import (
	"maps"
	"math"
	"slices"
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
	// tempoKept is the number of latest measurements of which one is taken.
	tempoKept = 24
	// tempoRank is the part of them that is lower than the one taken: a first
	// event may wait behind others, which says nothing of its own reading.
	tempoRank = 0.25
	// writtenRank is the same for the time that answers take, of which as many
	// are slower as are faster.
	writtenRank = 0.5
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
type Estimator struct {
	lock    sync.Mutex
	models  map[ident.ModelID]*pace
	waiting EndpointBacklogs
	health  map[ident.EndpointID]*share
	overall share
}

// pace is how fast a model reads, and how fast it writes.
type pace struct {
	base, token ranked // to the first event, and for each token read
	written     ranked // for each token that the answer may have
}

// ranked is one of the latest measurements, by rank.
type ranked struct {
	value  float64 // seconds
	latest [tempoKept]float64
	count  int
}

// add takes in a measurement. Rank is the part of the latest ones that is lower
// than the one taken.
func (r *ranked) add(seconds, rank float64) {
	r.latest[r.count%tempoKept] = seconds
	r.count++
	sorted := slices.Clone(r.latest[:min(r.count, tempoKept)])
	slices.Sort(sorted)
	r.value = sorted[int(float64(len(sorted)-1)*rank)]
}

type share struct {
	value float64
	at    time.Time
}

// NewTempo gives a Tempo that has measured nothing.
func NewEstimator() *Estimator {
	return &Estimator{
		models:  map[ident.ModelID]*pace{},
		waiting: EndpointBacklogs{},
		health:  map[ident.EndpointID]*share{},
	}
}

// Start notes that a request with an expected work until its first event was
// sent to the endpoint.
func (t *Estimator) AddPending(endpoint ident.EndpointID, model ident.ModelID, work time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.waiting.Add(endpoint, model, Backlog{Count: 1, Work: work})
}

// Settle notes that the request's first event came, or that none will.
func (t *Estimator) RemovePending(endpoint ident.EndpointID, model ident.ModelID, work time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	piles := t.waiting[endpoint]
	left := piles[model].Sub(Backlog{Count: 1, Work: work})
	switch {
	case left.Count > 0:
		piles[model] = left
	case len(piles) > 1:
		delete(piles, model)
	default:
		delete(t.waiting, endpoint)
	}
}

// Waiting gives what waits of this router's own requests.
func (t *Estimator) Backlogs() EndpointBacklogs {
	t.lock.Lock()
	defer t.lock.Unlock()
	all := make(EndpointBacklogs, len(t.waiting))
	for id, piles := range t.waiting {
		all[id] = maps.Clone(piles)
	}
	return all
}

// Measure takes in the time to a first event after reading uncached tokens.
func (t *Estimator) RecordFirstEvent(model ident.ModelID, uncached ident.Tokens, first time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	p := t.pace(model)
	if uncached < tempoTokens {
		p.base.add(first.Seconds(), tempoRank)
		return
	}
	token := max(0, first.Seconds()-p.base.value) / float64(uncached)
	p.token.add(min(max(token, tempoLow.Seconds()), tempoHigh.Seconds()), tempoRank)
}

// Written takes in the time from the first to the last event of an answer that
// may have had so many tokens.
func (t *Estimator) RecordGeneration(model ident.ModelID, output ident.Tokens, took time.Duration) {
	if output <= 0 {
		return
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.pace(model).written.add(took.Seconds()/float64(output), writtenRank)
}

// Writing is the time that a model is expected to take from the first to the
// last event of an answer, 0 if none was measured.
func (t *Estimator) GenerationTime(model ident.ModelID, output ident.Tokens) time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	return time.Duration(t.pace(model).written.value * float64(output) * float64(time.Second))
}

// Outcome takes in whether the endpoint failed a request that it ran.
func (t *Estimator) RecordOutcome(now time.Time, endpoint ident.EndpointID, failed bool) {
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
func (t *Estimator) Retain(keep func(ident.EndpointID) bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for id := range t.health {
		if !keep(id) {
			delete(t.health, id)
		}
	}
}

func (t *Estimator) pace(model ident.ModelID) *pace {
	p := t.models[model]
	if p == nil {
		p = &pace{base: ranked{value: tempoBase.Seconds()}, token: ranked{value: tempoStart.Seconds()}}
		t.models[model] = p
	}
	return p
}

// first is the expected time to a first event on an idle endpoint.
func (t *Estimator) first(model ident.ModelID, uncached ident.Tokens) time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	p := t.pace(model)
	return time.Duration((p.base.value + p.token.value*float64(uncached)) * float64(time.Second))
}

// reading is the time to read tokens without what comes before and after.
func (t *Estimator) reading(model ident.ModelID, tokens ident.Tokens) time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	p := t.pace(model)
	return time.Duration(p.token.value * float64(tokens) * float64(time.Second))
}

// backlog gives what waits at an endpoint: of this router's own requests, and
// what others tell of theirs.
func (t *Estimator) backlog(endpoint ident.EndpointID, others ModelBacklogs) ModelBacklogs {
	t.lock.Lock()
	defer t.lock.Unlock()
	sum := maps.Clone(others)
	for model, p := range t.waiting[endpoint] {
		if sum == nil {
			sum = ModelBacklogs{}
		}
		sum[model] = sum[model].Add(p)
	}
	return sum
}

// failures is by how much the endpoint's share of failures exceeds that of all.
func (t *Estimator) failures(now time.Time, endpoint ident.EndpointID) float64 {
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
