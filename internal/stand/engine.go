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

// The reasons for which an engine runs nothing.
var (
	errDown       = errors.New("engine is down")
	errOverloaded = errors.New("engine is overloaded")
	errLeaving    = errors.New("engine is leaving")
	errNotLoaded  = errors.New("release is not loaded")
)

// Engine is a model engine stand-in that computes in real time. It is an
// http.Handler, and is safe for concurrent use.
type Engine struct {
	spec    EngineSpec
	handler http.Handler
	wake    chan struct{} // tells the batch loop of new work
	stop    chan struct{}
	stopped sync.WaitGroup

	mutex    sync.Mutex
	faults   EngineFaults
	batch    *Batch
	streams  map[*Job]*stream
	cache    *blockCache
	releases []ident.Release
	boots    int
	booted   time.Time // start of the present cold start
	downTill time.Time
	whole    int // answers since booted
	order    Order
	samples  []sample
	record   EngineRecord
	shares   engineShares
}

// engineShares spread the faults that hit a share of the runs.
type engineShares struct {
	errors spread
	empty  spread
}

// NewEngine starts an engine; Close stops it.
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
	go e.loop()
	return e
}

// ServeHTTP serves the engine protocol and the admin paths.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.handler.ServeHTTP(w, r)
}

// Close stops the batch and cuts what runs.
func (e *Engine) Close() {
	close(e.stop)
	e.stopped.Wait()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cutAll()
}

// Faults gives the faults now in force.
func (e *Engine) Faults() EngineFaults {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.faults
}

// SetFaults replaces the faults. Crash and Cold take effect once.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	if faults.Crash {
		e.crash(now)
	}
	if faults.ColdStart {
		e.booted = now
		e.whole = 0
	}
	faults.Crash = false
	faults.ColdStart = false
	e.faults = faults
}

// Record gives the runs and counters so far.
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

// submit starts a run, or fails with the reason for which nothing runs.
func (e *Engine) submit(now time.Time, request chatRequest) (*stream, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if err := e.admit(now, request); err != nil {
		return nil, err
	}
	if e.faults.poisons(request.prompt) {
		e.crash(now)
		return nil, errDown
	}
	s := e.newStream(now, request)
	e.streams[s.job] = s
	e.batch.Add(s.job)
	if s.run.Cold {
		e.record.ColdPeak = max(e.record.ColdPeak, e.batch.InFlight())
	}
	e.sample(now)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s, nil
}

// admit checks whether the engine takes a run; in cold start one too many
// makes it fall over.
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
	cached := e.cache.use(now, prompt.BlockHashes()) * BlockBytes / bytesPerToken
	s := &stream{
		request: request,
		faults:  faults,
		empty:   e.shares.empty.next(faults.EmptyShare),
		fail:    e.shares.errors.next(faults.ErrorShare),
		total:   prompt.AnswerTokens(),
		quality: prompt.Quality(e.spec.quality(prompt.Release)) - ident.Quality(faults.QualityLoss),
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
		AnswerLeft: max(1, s.total-request.resume),
		Slowdown:   faults.Slowdown,
	}
	s.tokens = make(chan struct{}, s.job.AnswerLeft)
	s.cut = make(chan struct{})
	return s
}

// runFaults gives the faults of a new run, and counts it against their limit.
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

// finish records the end of a run, unless a crash has done so.
func (e *Engine) finish(now time.Time, s *stream, outcome Outcome) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if _, ok := e.streams[s.job]; !ok {
		return
	}
	if outcome == OutcomeComplete {
		e.whole++
	}
	e.close(now, s, outcome)
	e.sample(now)
}

func (e *Engine) close(now time.Time, s *stream, outcome Outcome) {
	delete(e.streams, s.job)
	e.batch.Remove(s.job)
	s.run.Finished = now
	s.run.Outcome = outcome
	e.record.Runs = append(e.record.Runs, s.run)
	if len(e.record.Runs) > runsKept {
		e.record.Runs = append([]EngineRun(nil), e.record.Runs[runsKept/2:]...)
	}
}

// crash cuts all runs and leaves the engine away for a while, then cold.
func (e *Engine) crash(now time.Time) {
	e.record.Crashes++
	e.cutAll()
	e.cache.clear()
	e.downTill = now.Add(e.spec.Outage)
	e.boot(e.downTill)
}

func (e *Engine) cutAll() {
	now := time.Now()
	for _, s := range e.streams {
		close(s.cut)
		e.close(now, s, OutcomeInterrupted)
	}
}

// boot begins a cold start at the time, under a new boot id.
func (e *Engine) boot(at time.Time) {
	e.boots++
	e.record.Name = e.spec.Name
	e.record.Boot = fmt.Sprintf("%s-%d", e.spec.Name, e.boots)
	e.booted = at
	e.whole = 0
	e.samples = nil
}

func (e *Engine) down(now time.Time) bool {
	return now.Before(e.downTill)
}

func (e *Engine) warm(now time.Time) bool {
	switch {
	case now.Before(e.booted):
		return false
	case e.spec.WarmRuns > 0 && e.whole >= e.spec.WarmRuns:
		return true
	case e.spec.WarmTime > 0:
		return now.Sub(e.booted) >= e.spec.WarmTime
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
