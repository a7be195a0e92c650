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
	// frameWindow is the maximum number of frames buffered after a gap.
	frameWindow = 64
	// noEndpointRetryInterval is the time between selections while no endpoint is
	// available but one may return.
	noEndpointRetryInterval = 250 * time.Millisecond
	// noEndpointTimeout limits the wait for an endpoint to return.
	noEndpointTimeout = 5 * time.Second
	// defaultRetryAfter is the retry delay for a refused caller if no estimate is
	// available.
	defaultRetryAfter = time.Second
)

// Pricer returns the price of an answer.
type Pricer func(release ident.Release, usage engine.Usage) ident.Micros

// Machine is the state machine of one request. It is not safe for concurrent use.
type Machine struct {
	request         Request
	prefix          string // of attempt ids, unique across all routers
	budget          *retry.Budget
	price           Pricer
	stage           stage
	steps           []CascadeStep
	stepIndex       int
	meta            Meta
	assembler       *retry.Assembler
	attempts        map[ident.AttemptID]*attempt
	attemptCount    int // attempts dispatched for all models
	stepAttempts    int // attempts dispatched for the current model
	exclude         []ident.EndpointID
	isolated        bool      // the body must be the endpoint's only suspect of crashes
	noEndpointSince time.Time // since when no endpoint is available, zero if one is
	hedging         bool      // a selection for a hedged attempt is pending
	heldText        []string  // text of an answer that is to be rated
	empty           bool      // no text was received
	opened          bool      // text was forwarded
	delivered       int       // frames delivered in sequence
	usage           engine.Usage
	finishReason    string
	claimed         bool
	runState        RunState
	brokenAttempts  int // ended attempts that may have run
	replied         bool
	answer          *engine.Answer
}

// stage is the state of a Machine, by what it waits for.
type stage int

const (
	stageAdmit stage = iota
	stagePlan
	stageResolve
	stageClaim
	stageCheck
	stageSelect
	stageRun
	stageRate
	stageBill
	stageDone
)

// attempt is a dispatched attempt that has not ended.
type attempt struct {
	endpoint  *fleet.Endpoint
	started   time.Time
	expected  time.Duration
	cancelled bool
	began     bool // a frame of its answer has come
}

// New returns the state machine of a request. Attempt ids begin with prefix.
func New(request Request, prefix string, budget *retry.Budget, price Pricer) *Machine {
	return &Machine{
		request:  request,
		prefix:   prefix,
		budget:   budget,
		price:    price,
		attempts: map[ident.AttemptID]*attempt{},
		runState: RanNo,
		empty:    true,
	}
}

// Done reports whether nothing is left to do. After the reply, it may still return
// false while the outcome of a claimed request is pending.
func (m *Machine) Done() bool {
	return m.stage == stageDone && len(m.attempts) == 0
}

// Step applies an event and returns the resulting actions, in order.
func (m *Machine) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case FrameReceived:
		return m.handleFrame(now, e.Frame)
	case AttemptEnded:
		return m.handleAttemptEnd(now, e)
	case DeadlineExceeded:
		return m.handleDeadline(now)
	case CallerGone:
		return m.handleCallerGone()
	}
	if m.stage == stageDone {
		return m.handleLate(e)
	}
	switch e := e.(type) {
	case Start:
		return []Action{RequestAdmission{}}
	case Admitted:
		return m.handleAdmitted()
	case Denied:
		return m.refuse(e.Refusal)
	case ModelsPlanned:
		m.steps = e.Steps
		return m.startStep()
	case VersionResolved:
		m.meta = e.Meta
		return m.checkBody()
	case KeyClaimed:
		return m.handleClaim(e.Result)
	case BodyChecked:
		return m.handleBodyCheck(now, e)
	case EndpointSelected:
		return m.dispatch(now, e)
	case EndpointsBusy:
		return m.handleEndpointsBusy(now, e)
	case NoEndpoint:
		return m.handleNoEndpoint(now, e)
	case AnswerRated:
		return m.handleRating(e)
	case BillRecorded:
		return m.handleBillRecorded()
	case TimerFired:
		return m.handleTimer(now, e.Timer)
	default:
		return nil
	}
}

// handleLate releases what was requested before the machine was done.
func (m *Machine) handleLate(e Event) []Action {
	switch e := e.(type) {
	case KeyClaimed:
		if _, granted := e.Result.(shard.Granted); granted {
			return []Action{ReleaseKey{}}
		}
		return nil
	case EndpointSelected:
		return m.releaseSlot(e)
	default:
		return nil
	}
}

// releaseSlot returns the unused slot of an attempt on a cold endpoint.
func (m *Machine) releaseSlot(e EndpointSelected) []Action {
	if !e.Cold {
		return nil
	}
	return []Action{ReleaseSlot{Attempt: m.nextAttempt(), Endpoint: e.Endpoint}}
}

// handleAdmitted plans the models, or continues with a service that is not a model.
func (m *Machine) handleAdmitted() []Action {
	if m.request.Service == "" {
		m.stage = stagePlan
		return []Action{PlanModels{}}
	}
	if m.request.Idempotent {
		return m.checkBody()
	}
	m.stage = stageClaim
	return []Action{ClaimKey{}}
}

// startStep starts the current model and resets the state of the one before.
func (m *Machine) startStep() []Action {
	m.stage = stageResolve
	m.assembler = retry.NewAssembler(m.request.Key.Request, frameWindow)
	m.stepAttempts, m.exclude, m.heldText = 0, nil, nil
	m.empty, m.usage, m.finishReason = true, engine.Usage{}, ""
	return []Action{ResolveVersion{Model: m.steps[m.stepIndex].Model}}
}

// handleClaim continues a claimed request, or replays the outcome of an earlier
// one with the same key.
func (m *Machine) handleClaim(result shard.Result) []Action {
	switch r := result.(type) {
	case shard.Granted:
		m.claimed = true
		return m.checkBody()
	case shard.Taken:
		return m.replay(r)
	case shard.Unavailable:
		return m.refuse(m.claimUnavailable(r.After))
	default:
		return m.refuse(m.claimUnavailable(defaultRetryAfter))
	}
}

// claimUnavailable returns the refusal of a request whose key could not be
// claimed. Nothing was sent for it, but an earlier request with the same key may
// have run.
func (m *Machine) claimUnavailable(after time.Duration) Refusal {
	return Refusal{
		Code:       CodePlatformUnavailable,
		Message:    "the request was not sent, as its key cannot be claimed now; whether an earlier one with the key ran is not known",
		Ran:        RanUnknown,
		RetryAfter: max(after, defaultRetryAfter),
	}
}

// replay replies with the stored outcome of an earlier request with the same key.
func (m *Machine) replay(taken shard.Taken) []Action {
	if taken.By.Fingerprint != m.request.Fingerprint {
		return m.refuse(Refusal{Code: CodeInvalid, Message: "the key was used for another body", Ran: RanUnknown})
	}
	if taken.Outcome == nil {
		message := "an earlier request with the key is running or its outcome was lost"
		return m.refuse(Refusal{Code: CodeOutcomeUnknown, Message: message, Ran: RanUnknown, RetryAfter: defaultRetryAfter})
	}
	answer := engine.Answer{Status: taken.Outcome.Status, ContentType: jsonType, Body: taken.Outcome.Body}
	return m.reply(Result{Meta: m.meta, Answer: answer, Replayed: true})
}

// checkBody asks the router that owns the body's fingerprint before each attempt,
// so that a body that crashes endpoints is blocked on all routers.
func (m *Machine) checkBody() []Action {
	m.stage = stageCheck
	return []Action{CheckBody{Attempt: m.nextAttempt()}}
}

// handleBodyCheck selects an endpoint if the body may run, else waits or refuses.
func (m *Machine) handleBodyCheck(now time.Time, e BodyChecked) []Action {
	switch {
	case m.stage != stageCheck:
		return nil
	case e.Refused:
		message := "endpoints have crashed while they ran this body; it will not be run again"
		return m.refuse(Refusal{Code: CodeCrashesEndpoints, Message: message, Ran: m.runState})
	case e.Allowed:
		m.isolated = e.Isolated
		return m.selectEndpoint()
	case now.Add(e.RetryAfter).Before(m.request.Deadline):
		return []Action{SetTimer{Timer: TimerCheck, After: e.RetryAfter}}
	default:
		message := "the body is suspected of crashing endpoints and waits to run alone"
		return m.refuse(Refusal{Code: CodeOverloaded, Message: message, Ran: m.runState, RetryAfter: e.RetryAfter})
	}
}

func (m *Machine) selectEndpoint() []Action {
	m.stage = stageSelect
	return []Action{m.newSelection(false)}
}

func (m *Machine) newSelection(hedge bool) SelectEndpoint {
	return SelectEndpoint{
		Attempt:  m.nextAttempt(),
		Release:  m.meta.Release,
		Exclude:  m.exclude,
		Isolated: m.isolated,
		Hedge:    hedge,
	}
}

// nextAttempt returns the id of the next attempt.
func (m *Machine) nextAttempt() ident.AttemptID {
	return ident.AttemptID(m.prefix + strconv.Itoa(m.attemptCount))
}

// handleEndpointsBusy moves on to the next model, or waits for capacity if the
// deadline allows.
func (m *Machine) handleEndpointsBusy(now time.Time, e EndpointsBusy) []Action {
	if m.hedging && m.stage == stageRun {
		m.hedging = false
		return nil
	}
	m.hedging = false
	if actions, ok := m.nextStep(true); ok {
		return actions
	}
	if now.Add(e.RetryAfter).Before(m.request.Deadline) {
		return []Action{SetTimer{Timer: TimerSelect, After: e.RetryAfter}}
	}
	message := "every endpoint is busy until after the deadline"
	return m.refuse(Refusal{Code: CodeOverloaded, Message: message, Ran: m.runState, RetryAfter: max(e.RetryAfter, defaultRetryAfter)})
}

// handleNoEndpoint moves on to the next model, or waits for an endpoint to return.
func (m *Machine) handleNoEndpoint(now time.Time, e NoEndpoint) []Action {
	if m.hedging && m.stage == stageRun {
		m.hedging = false
		return nil
	}
	m.hedging = false
	if actions, ok := m.nextStep(true); ok {
		return actions
	}
	if e.Withdrawn {
		message := "version " + m.meta.Release.String() + " was withdrawn"
		return m.refuse(Refusal{Code: CodeWithdrawn, Message: message, Ran: m.runState, RetryAfter: e.RetryAfter})
	}
	if m.noEndpointSince.IsZero() {
		m.noEndpointSince = now
	}
	if e.MayReturn && now.Sub(m.noEndpointSince) < noEndpointTimeout && now.Add(noEndpointRetryInterval).Before(m.request.Deadline) {
		m.exclude = nil // the endpoint that failed may be the only one
		return []Action{SetTimer{Timer: TimerSelect, After: noEndpointRetryInterval}}
	}
	message := "no endpoint can take the request now"
	return m.refuse(Refusal{Code: CodeNoCapacity, Message: message, Ran: m.runState, RetryAfter: max(e.RetryAfter, defaultRetryAfter)})
}

// nextStep moves on to the next model, if there is one and no text was forwarded.
// Fallbacks are skipped unless the current model has no capacity.
func (m *Machine) nextStep(noCapacity bool) ([]Action, bool) {
	if m.opened || m.request.Service != "" {
		return nil, false
	}
	for i := m.stepIndex + 1; i < len(m.steps); i++ {
		if m.steps[i].Fallback && !noCapacity {
			continue
		}
		m.stepIndex = i
		return m.startStep(), true
	}
	return nil, false
}

func (m *Machine) handleTimer(now time.Time, t Timer) []Action {
	switch {
	case t == TimerSelect && m.stage == stageSelect:
		return m.selectEndpoint()
	case t == TimerCheck && m.stage == stageCheck:
		return m.checkBody()
	case t == TimerHedge && m.stage == stageRun:
		return m.hedge(now)
	default:
		return nil
	}
}
