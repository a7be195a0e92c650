package stand

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Reasons for which an engine does not run a request.
var (
	errDown       = errors.New("engine is down")
	errOverloaded = errors.New("engine is overloaded")
	errLeaving    = errors.New("engine is leaving")
	errNotLoaded  = errors.New("release is not loaded")
)

// Engine simulates a model engine, which generates tokens in real time. It is an
// http.Handler and is safe for concurrent use.
type Engine struct {
	spec    EngineSpec
	handler http.Handler
	wake    chan struct{} // signals new requests to runBatch
	stop    chan struct{}
	stopped sync.WaitGroup

	mutex        sync.Mutex
	faults       EngineFaults
	batch        *Batch
	streams      map[*Job]*stream
	cache        *blockCache
	releases     []ident.Release
	boots        int
	coldSince    time.Time // start of the current cold start
	downUntil    time.Time
	completeRuns int // complete answers since coldSince
	order        Order
	samples      []loadSample
	record       EngineRecord
	selectors    runSelectors
}

// runSelectors select the runs for faults that affect a share of them.
type runSelectors struct {
	failed shareSelector
	empty  shareSelector
}

// NewEngine starts an engine, which runs until Close.
func NewEngine(spec EngineSpec) *Engine {
	e := &Engine{
		spec:     spec,
		wake:     make(chan struct{}, 1),
		stop:     make(chan struct{}),
		batch:    NewBatch(spec.Timing, spec.Slots),
		streams:  make(map[*Job]*stream),
		cache:    newBlockCache(spec.CacheBlocks, spec.CacheLossInterval),
		releases: append([]ident.Release(nil), spec.Releases...),
	}
	e.boot(time.Now())
	e.handler = e.routes()
	e.stopped.Add(1)
	go e.runBatch()
	return e
}

// ServeHTTP serves the engine protocol and the admin routes.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.handler.ServeHTTP(w, r)
}

// Close stops the batch and interrupts all runs.
func (e *Engine) Close() {
	close(e.stop)
	e.stopped.Wait()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.interruptAll()
}

// Faults returns the current faults.
func (e *Engine) Faults() EngineFaults {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.faults
}

// SetFaults replaces the faults. Crash and ColdStart take effect once.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	if faults.Crash {
		e.crash(now)
	}
	if faults.ColdStart {
		e.coldSince = now
		e.completeRuns = 0
	}
	faults.Crash = false
	faults.ColdStart = false
	e.faults = faults
}

// Record returns the runs, finished and in progress, and the counters so far.
func (e *Engine) Record() EngineRecord {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	record := e.record
	record.Runs = append([]EngineRun{}, e.record.Runs...)
	record.Orders = append([]Order{}, e.record.Orders...)
	for _, s := range e.streams {
		record.Runs = append(record.Runs, s.run)
	}
	return record
}

// submit starts a run, or returns the reason for which it does not run.
func (e *Engine) submit(now time.Time, request chatRequest) (*stream, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if err := e.admit(now, request); err != nil {
		return nil, err
	}
	if e.faults.crashes(request.prompt) {
		e.crash(now)
		return nil, errDown
	}
	s := e.newStream(now, request)
	e.streams[s.job] = s
	e.batch.Add(s.job)
	if s.run.Cold {
		e.record.ColdPeak = max(e.record.ColdPeak, e.batch.InFlight())
	}
	e.recordLoad(now)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s, nil
}

// admit returns an error if the engine does not accept a run. A run beyond
// EngineSpec.ColdSlots in cold start crashes the engine.
func (e *Engine) admit(now time.Time, request chatRequest) error {
	switch {
	case e.down(now):
		return errDown
	case e.faults.Leaving:
		return errLeaving
	case !e.loaded(request.prompt.Release):
		return errNotLoaded
	case e.faults.Refuse || e.batch.InFlight() >= e.spec.Slots+e.spec.MaxQueued:
		e.record.Refused++
		return errOverloaded
	case !e.warm(now) && e.batch.InFlight() >= e.spec.ColdSlots:
		e.record.ColdPeak = max(e.record.ColdPeak, e.batch.InFlight()+1)
		e.record.ColdCrashes++
		e.crash(now)
		return errDown
	}
	return nil
}

func (e *Engine) newStream(now time.Time, request chatRequest) *stream {
	prompt := request.prompt
	faults := e.runFaults(request)
	cached := e.cache.access(now, prompt.BlockHashes()) * BlockBytes / bytesPerToken
	s := &stream{
		request:      request,
		faults:       faults,
		empty:        e.selectors.empty.next(faults.EmptyShare),
		failed:       e.selectors.failed.next(faults.ErrorShare),
		answerTokens: prompt.AnswerTokens(),
		quality:      prompt.Quality(e.spec.quality(prompt.Release)) - ident.Quality(faults.QualityLoss),
		run: EngineRun{
			Request: request.request,
			Attempt: request.attempt,
			Release: prompt.Release,
			Boot:    e.record.Boot,
			Cold:    !e.warm(now),
			Resume:  request.resume,
			Started: now,
			Outcome: OutcomeRunning,
		},
	}
	s.job = &Job{
		Priority:   request.priority,
		PromptLeft: max(0, prompt.Tokens()+request.resume-cached),
		AnswerLeft: max(1, s.answerTokens-request.resume),
		Slowdown:   faults.Slowdown,
	}
	s.tokens = make(chan struct{}, s.job.AnswerLeft)
	s.interrupted = make(chan struct{})
	return s
}

// runFaults returns the faults of a new run and counts it against
// EngineFaults.MaxRuns.
func (e *Engine) runFaults(request chatRequest) EngineFaults {
	faults := e.faults
	if !faults.matches(request) {
		return faults.withoutRunFaults()
	}
	if faults.MaxRuns > 0 {
		e.faults.MaxRuns--
		if e.faults.MaxRuns == 0 {
			e.faults.StallAfter = 0
			e.faults.CutAfter = 0
		}
	}
	return faults
}

// finish records the end of a run, unless a crash has already done so.
func (e *Engine) finish(now time.Time, s *stream, outcome Outcome) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if _, ok := e.streams[s.job]; !ok {
		return
	}
	if outcome == OutcomeComplete {
		e.completeRuns++
	}
	e.endRun(now, s, outcome)
	e.recordLoad(now)
}

func (e *Engine) endRun(now time.Time, s *stream, outcome Outcome) {
	delete(e.streams, s.job)
	e.batch.Remove(s.job)
	s.run.Finished = now
	s.run.Outcome = outcome
	e.record.Runs = append(e.record.Runs, s.run)
	if len(e.record.Runs) > maxRecordedRuns {
		e.record.Runs = append([]EngineRun(nil), e.record.Runs[maxRecordedRuns/2:]...)
	}
}

// crash interrupts all runs and makes the engine unavailable for
// EngineSpec.Outage, followed by a cold start.
func (e *Engine) crash(now time.Time) {
	e.record.Crashes++
	e.interruptAll()
	e.cache.clear()
	e.downUntil = now.Add(e.spec.Outage)
	e.boot(e.downUntil)
}

func (e *Engine) interruptAll() {
	now := time.Now()
	for _, s := range e.streams {
		close(s.interrupted)
		e.endRun(now, s, OutcomeInterrupted)
	}
}

// boot begins a cold start at the given time, with a new boot ID.
func (e *Engine) boot(at time.Time) {
	e.boots++
	e.record.Name = e.spec.Name
	e.record.Boot = fmt.Sprintf("%s-%d", e.spec.Name, e.boots)
	e.coldSince = at
	e.completeRuns = 0
	e.samples = nil
}

func (e *Engine) down(now time.Time) bool {
	return now.Before(e.downUntil)
}

func (e *Engine) warm(now time.Time) bool {
	switch {
	case now.Before(e.coldSince):
		return false
	case e.spec.WarmRuns > 0 && e.completeRuns >= e.spec.WarmRuns:
		return true
	case e.spec.WarmTime > 0:
		return now.Sub(e.coldSince) >= e.spec.WarmTime
	}
	return e.spec.WarmRuns == 0
}

func (e *Engine) loaded(release ident.Release) bool {
	for _, r := range e.releases {
		if r == release {
			return true
		}
	}
	return false
}

func (e *Engine) report(now time.Time) fleet.Report {
	return fleet.Report{
		Boot:    e.record.Boot,
		Running: e.batch.Running(),
		Waiting: e.batch.Waiting(),
		Warm:    e.warm(now),
		Rate:    e.batch.TokenRate(),
		Cache:   e.cache.tokens(),
	}
}
