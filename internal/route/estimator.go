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
	// defaultTokenTime is the prefill time of a token until one is measured.
	defaultTokenTime = 30 * time.Microsecond
	// defaultBaseTime is the time to the first event without prefill until one
	// is measured.
	defaultBaseTime = 30 * time.Millisecond
	// quantileWindowSize is the number of latest measurements that a quantile is
	// taken over.
	quantileWindowSize = 24
	// prefillQuantile is the quantile used for prefill times. It is low because
	// a first event may also wait in the endpoint's queue, which says nothing
	// about prefill.
	prefillQuantile = 0.25
	// generationQuantile is the quantile used for generation times, the median.
	generationQuantile = 0.5
	// minTimedTokens is the shortest uncached prompt from which the prefill time
	// of a token is derived.
	minTimedTokens ident.Tokens = 1000
	// minTokenTime and maxTokenTime bound the prefill time of a token that one
	// measurement may give.
	minTokenTime, maxTokenTime = 2 * time.Microsecond, 2 * time.Millisecond
	// failureGain is the weight of one outcome in a failure rate.
	failureGain = 0.2
	// failureHalfLife is the half-life of a failure rate without new outcomes.
	failureHalfLife = 8 * time.Second
)

// Estimator estimates the prefill and generation speed of models, the pending
// prefill work at each endpoint and the failure rates of endpoints. It is safe
// for concurrent use.
type Estimator struct {
	lock               sync.Mutex
	models             map[ident.ModelID]*modelSpeed
	pending            EndpointBacklogs
	failureRates       map[ident.EndpointID]*failureRate
	overallFailureRate failureRate
}

// modelSpeed is the prefill and generation speed of a model.
type modelSpeed struct {
	base, token quantileWindow // time to the first event without prefill, and prefill time of a token
	generation  quantileWindow // time of a token of the largest possible answer
}

// quantileWindow is a quantile over the latest measurements of this router, and what the
// routers have measured together.
type quantileWindow struct {
	initial float64 // seconds, before any measurement
	own     float64 // seconds
	fleet   Speed
	latest  [quantileWindowSize]float64
	count   int
}

// add records a measurement and updates the quantile, a number from 0 to 1.
func (w *quantileWindow) add(seconds, quantile float64) {
	w.latest[w.count%quantileWindowSize] = seconds
	w.count++
	sorted := slices.Clone(w.latest[:min(w.count, quantileWindowSize)])
	slices.Sort(sorted)
	w.own = sorted[int(float64(len(sorted)-1)*quantile)]
}

// failureRate is an exponentially decayed share of failed requests.
type failureRate struct {
	value     float64
	updatedAt time.Time
}

// NewEstimator returns an Estimator without measurements.
func NewEstimator() *Estimator {
	return &Estimator{
		models:       map[ident.ModelID]*modelSpeed{},
		pending:      EndpointBacklogs{},
		failureRates: map[ident.EndpointID]*failureRate{},
	}
}

// AddPending records that a request was sent to the endpoint, where work is the
// time that the endpoint is expected to spend on it until its first event.
func (e *Estimator) AddPending(endpoint ident.EndpointID, model ident.ModelID, work time.Duration) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.pending.Add(endpoint, model, Backlog{Count: 1, Work: work})
}

// RemovePending undoes AddPending once the request's first event has arrived or
// none is expected any more.
func (e *Estimator) RemovePending(endpoint ident.EndpointID, model ident.ModelID, work time.Duration) {
	e.lock.Lock()
	defer e.lock.Unlock()
	backlogs := e.pending[endpoint]
	left := backlogs[model].Sub(Backlog{Count: 1, Work: work})
	switch {
	case left.Count > 0:
		backlogs[model] = left
	case len(backlogs) > 1:
		delete(backlogs, model)
	default:
		delete(e.pending, endpoint)
	}
}

// Backlogs returns a copy of the backlogs of this router's own requests.
func (e *Estimator) Backlogs() EndpointBacklogs {
	e.lock.Lock()
	defer e.lock.Unlock()
	all := make(EndpointBacklogs, len(e.pending))
	for id, backlogs := range e.pending {
		all[id] = maps.Clone(backlogs)
	}
	return all
}

// RecordFirstEvent records the time to the first event of a request whose prompt
// had the given number of uncached tokens.
func (e *Estimator) RecordFirstEvent(model ident.ModelID, uncached ident.Tokens, first time.Duration) {
	e.lock.Lock()
	defer e.lock.Unlock()
	s := e.speed(model)
	if uncached < minTimedTokens {
		s.base.add(first.Seconds(), prefillQuantile)
		return
	}
	token := max(0, first.Seconds()-s.base.value()) / float64(uncached)
	s.token.add(min(max(token, minTokenTime.Seconds()), maxTokenTime.Seconds()), prefillQuantile)
}

// RecordGeneration records the time from the first to the last event of an
// answer that was limited to output tokens.
func (e *Estimator) RecordGeneration(model ident.ModelID, output ident.Tokens, took time.Duration) {
	if output <= 0 {
		return
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	e.speed(model).generation.add(took.Seconds()/float64(output), generationQuantile)
}

// GenerationTime returns the expected time from the first to the last event of
// an answer that is limited to output tokens, or 0 if none was measured.
func (e *Estimator) GenerationTime(model ident.ModelID, output ident.Tokens) time.Duration {
	e.lock.Lock()
	defer e.lock.Unlock()
	return time.Duration(e.speed(model).generation.value() * float64(output) * float64(time.Second))
}

// RecordOutcome records whether the endpoint failed a request that it ran.
func (e *Estimator) RecordOutcome(now time.Time, endpoint ident.EndpointID, failed bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	r := e.failureRates[endpoint]
	if r == nil {
		r = &failureRate{}
		e.failureRates[endpoint] = r
	}
	r.add(now, failed)
	e.overallFailureRate.add(now, failed)
}

// Retain removes the failure rates of all endpoints for which keep is false.
func (e *Estimator) Retain(keep func(ident.EndpointID) bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	for id := range e.failureRates {
		if !keep(id) {
			delete(e.failureRates, id)
		}
	}
}

func (e *Estimator) speed(model ident.ModelID) *modelSpeed {
	s := e.models[model]
	if s == nil {
		s = &modelSpeed{base: quantileWindow{initial: defaultBaseTime.Seconds()}, token: quantileWindow{initial: defaultTokenTime.Seconds()}}
		e.models[model] = s
	}
	return s
}

// firstEventTime returns the expected time to the first event on an idle
// endpoint.
func (e *Estimator) firstEventTime(model ident.ModelID, uncached ident.Tokens) time.Duration {
	e.lock.Lock()
	defer e.lock.Unlock()
	s := e.speed(model)
	return time.Duration((s.base.value() + s.token.value()*float64(uncached)) * float64(time.Second))
}

// prefillTime returns the expected time of prefill alone.
func (e *Estimator) prefillTime(model ident.ModelID, tokens ident.Tokens) time.Duration {
	e.lock.Lock()
	defer e.lock.Unlock()
	s := e.speed(model)
	return time.Duration(s.token.value() * float64(tokens) * float64(time.Second))
}

// totalBacklog returns an endpoint's backlog: that of this router's own requests
// plus the one reported by other routers.
func (e *Estimator) totalBacklog(endpoint ident.EndpointID, others ModelBacklogs) ModelBacklogs {
	e.lock.Lock()
	defer e.lock.Unlock()
	sum := maps.Clone(others)
	for model, b := range e.pending[endpoint] {
		if sum == nil {
			sum = ModelBacklogs{}
		}
		sum[model] = sum[model].Add(b)
	}
	return sum
}

// excessFailureRate returns by how much the endpoint's failure rate exceeds that
// of all endpoints together, at least 0.
func (e *Estimator) excessFailureRate(now time.Time, endpoint ident.EndpointID) float64 {
	e.lock.Lock()
	defer e.lock.Unlock()
	r := e.failureRates[endpoint]
	if r == nil {
		return 0
	}
	return max(0, r.now(now)-e.overallFailureRate.now(now))
}

func (r *failureRate) add(now time.Time, failed bool) {
	v := r.now(now)
	if failed {
		v += failureGain * (1 - v)
	} else {
		v -= failureGain * v
	}
	r.value, r.updatedAt = v, now
}

// now returns the rate after decay.
func (r *failureRate) now(now time.Time) float64 {
	age := now.Sub(r.updatedAt)
	if age <= 0 {
		return r.value
	}
	return r.value * math.Exp2(-age.Seconds()/failureHalfLife.Seconds())
}
