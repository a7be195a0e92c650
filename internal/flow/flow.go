package flow

import (
	"strconv"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/retry"
	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// window is the number of frames held ahead of a missing one.
	window = 64
	// lackPause is the time between looks for an endpoint that may be back, and
	// lackPatience bounds them all.
	lackPause    = 250 * time.Millisecond
	lackPatience = 5 * time.Second
	// comeBack is the pause after which a refused caller is asked to return
	// when nothing better is known.
	comeBack = time.Second
)

// Pricer gives the price of an answer.
type Pricer func(release ident.Release, usage engine.Usage) ident.Micros

// Flow is the machine of one request. It belongs to one goroutine.
type Machine struct {
	request   Request
	prefix    string // of attempt ids, unique over the fleet
	budget    *retry.Budget
	price     Pricer
	stage     stage
	rungs     []CascadeStep
	rung      int
	meta      Meta
	assembler *retry.Assembler
	attempts  map[ident.AttemptID]*attempt
	made      int // attempts, over all rungs
	tried     int // attempts of this rung
	exclude   []ident.EndpointID
	alone     bool
	lacking   time.Time // since when no endpoint could be had, zero if one could
	hedging   bool      // a Place for a hedge is open
	held      []string  // pieces of an answer that is not yet passed on
	empty     bool      // no text was received
	open      bool      // pieces were passed on
	delivered int       // frames passed on
	usage     engine.Usage
	finish    string
	claimed   bool
	ran       RunState
	broken    int // attempts that broke after something was sent
	replied   bool
	answer    *engine.Answer
}

// stage is what a flow waits for.
type stage int

const (
	stageAdmit stage = iota
	stagePlan
	stageBind
	stageClaim
	stageGuard
	stagePlace
	stageRun
	stageRate
	stageSettle
	stageOver
)

// attempt is one that was dispatched and has not ended.
type attempt struct {
	endpoint *fleet.Endpoint
	started  time.Time
	expected time.Duration
	lost     bool // cancelled
}

// New makes the flow of a request. Attempt ids begin with prefix.
func New(request Request, prefix string, budget *retry.Budget, price Pricer) *Machine {
	return &Machine{
		request:  request,
		prefix:   prefix,
		budget:   budget,
		price:    price,
		attempts: map[ident.AttemptID]*attempt{},
		ran:      RanNo,
		empty:    true,
	}
}

// Over tells whether nothing is left to do. It may come after the reply, while
// the outcome of a claimed request is still awaited.
func (f *Machine) Done() bool {
	return f.stage == stageOver && len(f.attempts) == 0
}

// Step takes an event and gives what to do about it.
func (f *Machine) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case FrameReceived:
		return f.received(now, e.Frame)
	case AttemptEnded:
		return f.ended(now, e)
	case DeadlineExceeded:
		return f.expired(now)
	case CallerGone:
		return f.left()
	}
	if f.stage == stageOver {
		return f.late(e)
	}
	switch e := e.(type) {
	case Start:
		return []Action{RequestAdmission{}}
	case Admitted:
		return f.admitted()
	case Denied:
		return f.refuse(e.Refusal)
	case ModelsPlanned:
		f.rungs = e.Steps
		return f.bind()
	case VersionResolved:
		f.meta = e.Meta
		return f.guard()
	case KeyClaimed:
		return f.granted(e.Result)
	case BodyChecked:
		return f.guarded(now, e)
	case EndpointSelected:
		return f.placed(now, e)
	case EndpointsBusy:
		return f.full(now, e)
	case NoEndpoint:
		return f.barren(now, e)
	case AnswerRated:
		return f.judged(e)
	case BillRecorded:
		return f.settled()
	case TimerFired:
		return f.woken(now, e.Timer)
	default:
		return nil
	}
}

// late gives back what was asked for before the flow ended.
func (f *Machine) late(e Event) []Action {
	switch e := e.(type) {
	case KeyClaimed:
		if _, granted := e.Result.(shard.Granted); granted {
			return []Action{ReleaseKey{}}
		}
		return nil
	case EndpointSelected:
		return f.forgo(e)
	default:
		return nil
	}
}

// forgo gives the slot on a cold endpoint back, unused.
func (f *Machine) forgo(e EndpointSelected) []Action {
	if !e.Cold {
		return nil
	}
	return []Action{ReleaseSlot{Attempt: f.nextAttempt(), Endpoint: e.Endpoint}}
}

func (f *Machine) admitted() []Action {
	if f.request.Service == "" {
		f.stage = stagePlan
		return []Action{PlanModels{}}
	}
	if f.request.Idempotent {
		return f.guard()
	}
	f.stage = stageClaim
	return []Action{ClaimKey{}}
}

// bind starts the present rung afresh.
func (f *Machine) bind() []Action {
	f.stage = stageBind
	f.assembler = retry.NewAssembler(f.request.Key.Request, window)
	f.tried, f.exclude, f.held = 0, nil, nil
	f.empty, f.usage, f.finish = true, engine.Usage{}, ""
	return []Action{ResolveVersion{Model: f.rungs[f.rung].Model}}
}

// granted goes on with a claimed request, or answers a repeat of it.
func (f *Machine) granted(result shard.Result) []Action {
	switch r := result.(type) {
	case shard.Granted:
		f.claimed = true
		return f.guard()
	case shard.Taken:
		return f.repeat(r)
	case shard.Unavailable:
		return f.refuse(f.unclaimed(r.After))
	default:
		return f.refuse(f.unclaimed(comeBack))
	}
}

// unclaimed refuses a request whose claim could not be had. Nothing was sent
// for it, but an earlier request with its key may have run.
func (f *Machine) unclaimed(after time.Duration) Refusal {
	return Refusal{
		Code:       CodePlatformUnavailable,
		Message:    "the request was not sent, as its key cannot be claimed now; whether an earlier one with the key ran is not known",
		Ran:        RanUnknown,
		RetryAfter: max(after, comeBack),
	}
}

// repeat answers from the record of an earlier request with the same key.
func (f *Machine) repeat(taken shard.Taken) []Action {
	if taken.By.Fingerprint != f.request.Fingerprint {
		return f.refuse(Refusal{Code: CodeInvalid, Message: "the key was used for another body", Ran: RanUnknown})
	}
	if taken.Outcome == nil {
		message := "an earlier request with the key is running or its outcome was lost"
		return f.refuse(Refusal{Code: CodeOutcomeUnknown, Message: message, Ran: RanUnknown, RetryAfter: comeBack})
	}
	answer := engine.Answer{Status: taken.Outcome.Status, Type: jsonType, Body: taken.Outcome.Body}
	return f.reply(Result{Meta: f.meta, Answer: answer, Replayed: true})
}

// guard asks the home of the body's fingerprint before each run, so that a body
// that crashes endpoints is stopped over the whole fleet.
func (f *Machine) guard() []Action {
	f.stage = stageGuard
	return []Action{CheckBody{Attempt: f.nextAttempt()}}
}

func (f *Machine) guarded(now time.Time, g BodyChecked) []Action {
	switch {
	case f.stage != stageGuard:
		return nil
	case g.Refused:
		message := "endpoints have crashed while they ran this body; it will not be run again"
		return f.refuse(Refusal{Code: CodeCrashesEndpoints, Message: message, Ran: f.ran})
	case g.Allowed:
		f.alone = g.Isolated
		return f.place()
	case now.Add(g.RetryAfter).Before(f.request.Deadline):
		return []Action{SetTimer{Timer: TimerCheck, After: g.RetryAfter}}
	default:
		message := "the body is suspected of crashing endpoints and waits to run alone"
		return f.refuse(Refusal{Code: CodeOverloaded, Message: message, Ran: f.ran, RetryAfter: g.RetryAfter})
	}
}

func (f *Machine) place() []Action {
	f.stage = stagePlace
	return []Action{f.newPlace(false)}
}

func (f *Machine) newPlace(hedge bool) SelectEndpoint {
	return SelectEndpoint{
		Attempt:  f.nextAttempt(),
		Release:  f.meta.Release,
		Exclude:  f.exclude,
		Isolated: f.alone,
		Hedge:    hedge,
	}
}

func (f *Machine) nextAttempt() ident.AttemptID {
	return ident.AttemptID(f.prefix + strconv.Itoa(f.made))
}

// full waits for room, unless another model has some or time is too short.
func (f *Machine) full(now time.Time, e EndpointsBusy) []Action {
	if f.hedging && f.stage == stageRun {
		f.hedging = false
		return nil
	}
	f.hedging = false
	if actions, ok := f.next(true); ok {
		return actions
	}
	if now.Add(e.RetryAfter).Before(f.request.Deadline) {
		return []Action{SetTimer{Timer: TimerSelect, After: e.RetryAfter}}
	}
	message := "every endpoint is busy until after the deadline"
	return f.refuse(Refusal{Code: CodeOverloaded, Message: message, Ran: f.ran, RetryAfter: max(e.RetryAfter, comeBack)})
}

func (f *Machine) barren(now time.Time, e NoEndpoint) []Action {
	if f.hedging && f.stage == stageRun {
		f.hedging = false
		return nil
	}
	f.hedging = false
	if actions, ok := f.next(true); ok {
		return actions
	}
	if e.Withdrawn {
		message := "version " + f.meta.Release.String() + " was withdrawn"
		return f.refuse(Refusal{Code: CodeWithdrawn, Message: message, Ran: f.ran, RetryAfter: e.RetryAfter})
	}
	if f.lacking.IsZero() {
		f.lacking = now
	}
	if e.MayReturn && now.Sub(f.lacking) < lackPatience && now.Add(lackPause).Before(f.request.Deadline) {
		f.exclude = nil // the endpoint that failed may be the only one
		return []Action{SetTimer{Timer: TimerSelect, After: lackPause}}
	}
	message := "no endpoint can take the request now"
	return f.refuse(Refusal{Code: CodeNoCapacity, Message: message, Ran: f.ran, RetryAfter: max(e.RetryAfter, comeBack)})
}

// next goes on to another model, if there is one and no piece of an answer was
// passed on; fallbacks only count when capacity is what lacks.
func (f *Machine) next(capacity bool) ([]Action, bool) {
	if f.open || f.request.Service != "" {
		return nil, false
	}
	for i := f.rung + 1; i < len(f.rungs); i++ {
		if f.rungs[i].Fallback && !capacity {
			continue
		}
		f.rung = i
		return f.bind(), true
	}
	return nil, false
}

func (f *Machine) woken(now time.Time, t Timer) []Action {
	switch {
	case t == TimerSelect && f.stage == stagePlace:
		return f.place()
	case t == TimerCheck && f.stage == stageGuard:
		return f.guard()
	case t == TimerHedge && f.stage == stageRun:
		return f.hedge(now)
	default:
		return nil
	}
}
