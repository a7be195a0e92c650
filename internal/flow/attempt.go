package flow

import (
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/retry"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// placed dispatches an attempt to the endpoint that was found.
func (f *Flow) placed(now time.Time, e Placed) []Action {
	if f.stage != stagePlace && !(f.stage == stageRun && f.hedging) {
		return f.forgo(e)
	}
	f.hedging = false
	f.lacking = time.Time{}
	f.stage = stageRun
	id := f.nextAttempt()
	f.made++
	f.tried++
	f.attempts[id] = &attempt{endpoint: e.Endpoint, started: now, expected: e.Expected}
	if f.made == 1 {
		f.budget.RecordFirst(now)
	}
	resume := 0
	if f.assembler != nil {
		f.assembler.Open(id)
		resume = f.assembler.Next()
	}
	f.sent()
	dispatch := Dispatch{
		Attempt:  id,
		Endpoint: e.Endpoint,
		Release:  f.meta.Release,
		Resume:   resume,
		Cold:     e.Cold,
		Expected: e.Expected,
	}
	return append([]Action{dispatch}, f.planHedge(now, id)...)
}

// sent notes that an attempt is on its way, so that its run can no longer be
// ruled out until it ends.
func (f *Flow) sent() {
	if f.ran == RanNo {
		f.ran = RanUnknown
	}
}

// planHedge sets a timer for a second attempt, where one may help.
func (f *Flow) planHedge(now time.Time, id ident.AttemptID) []Action {
	if !f.request.Quick || f.assembler == nil || f.alone {
		return nil
	}
	hedge, ok := retry.Decide(now, f.facts(id, retry.OutcomeRunning), f.budget).(retry.Hedge)
	if !ok {
		return nil
	}
	return []Action{Wake{Timer: TimerHedge, After: hedge.After}}
}

// hedge starts a second attempt if the first is late.
func (f *Flow) hedge(now time.Time) []Action {
	if len(f.attempts) != 1 || f.hedging || f.assembler.Next() > 0 {
		return nil
	}
	for id, a := range f.attempts {
		hedge, ok := retry.Decide(now, f.facts(id, retry.OutcomeRunning), f.budget).(retry.Hedge)
		if !ok {
			return nil
		}
		if hedge.After > 0 {
			return []Action{Wake{Timer: TimerHedge, After: hedge.After}}
		}
		f.hedging = true
		f.exclude = append(f.exclude, a.endpoint.Spec.ID)
	}
	return []Action{f.newPlace(true)}
}

func (f *Flow) facts(id ident.AttemptID, outcome retry.Outcome) retry.State {
	facts := retry.State{
		Outcome:    outcome,
		Idempotent: f.request.Idempotent,
		Attempts:   f.tried,
		InFlight:   len(f.attempts),
		Deadline:   f.request.Deadline,
		Seed:       uint64(f.request.Fingerprint) + uint64(f.made),
	}
	if f.assembler != nil {
		facts.Received = f.assembler.Next()
	}
	if f.broken > 0 {
		facts.EarlierRan = retry.RanUnknown
	}
	if a := f.attempts[id]; a != nil {
		facts.Started = a.started
		facts.TailLatency = a.expected
	}
	return facts
}

// received takes one frame in and passes on what is then due.
func (f *Flow) received(now time.Time, frame engine.Frame) []Action {
	if f.assembler == nil || f.stage == stageOver || f.stage == stageRate || f.stage == stageSettle {
		return nil
	}
	var actions []Action
	leader := f.assembler.Leader()
	err := f.assembler.Add(frame, func(due engine.Frame) error {
		actions = append(actions, f.deliver(due)...)
		return nil
	})
	if f.assembler.Next() > 0 {
		f.ran = RanYes
	}
	if err != nil {
		f.assembler.Close(frame.Attempt)
		return append(actions, Cancel{Attempt: frame.Attempt})
	}
	if f.assembler.Leader() != leader {
		actions = append(actions, f.cancelOthers(f.assembler.Leader())...)
	}
	if f.assembler.Done() {
		actions = append(actions, f.complete(now)...)
	}
	return actions
}

// deliver passes a frame on, or holds it until its answer has been rated.
func (f *Flow) deliver(frame engine.Frame) []Action {
	f.delivered++
	if frame.Text != "" {
		f.empty = false
	}
	if frame.Final {
		f.usage = frame.Usage
		f.finish = frame.Finish
	}
	rung := f.rungs[f.rung]
	if rung.Rated || rung.Kept {
		f.held = append(f.held, frame.Text)
	}
	if rung.Rated || frame.Text == "" {
		return nil
	}
	return f.pass(frame.Text)
}

// pass hands a piece to the caller, and opens the answer first.
func (f *Flow) pass(text string) []Action {
	if f.open {
		return []Action{Text{Text: text}}
	}
	f.open = true
	return []Action{Open{Meta: f.meta}, Text{Text: text}}
}

func (f *Flow) cancelOthers(keep ident.AttemptID) []Action {
	var actions []Action
	for _, id := range f.running() {
		if id == keep || f.attempts[id].lost {
			continue
		}
		f.attempts[id].lost = true
		if f.assembler != nil {
			f.assembler.Close(id)
		}
		actions = append(actions, Cancel{Attempt: id})
	}
	return actions
}

// running gives the attempts that have not ended, in a fixed order.
func (f *Flow) running() []ident.AttemptID {
	ids := make([]ident.AttemptID, 0, len(f.attempts))
	for id := range f.attempts {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// ended takes note of an attempt's end and decides what follows a failure.
func (f *Flow) ended(now time.Time, e Ended) []Action {
	a := f.attempts[e.Attempt]
	if a == nil {
		return nil
	}
	lost := a.lost
	facts := f.facts(e.Attempt, outcome(e.Error))
	delete(f.attempts, e.Attempt)
	facts.InFlight = len(f.attempts)
	if f.request.Service != "" && e.Error == nil && (f.claimed || f.stage == stageRun) {
		return f.answered(e.Answer)
	}
	if f.assembler != nil {
		f.assembler.Close(e.Attempt)
	}
	if lost || f.stage != stageRun {
		return f.concluded(facts.Outcome)
	}
	if e.Error == nil {
		facts.Outcome = retry.OutcomeBroken // the stream closed without its final frame
	}
	f.known(facts.Outcome)
	f.exclude = append(f.exclude, a.endpoint.Spec.ID)
	return f.follow(retry.Decide(now, facts, f.budget))
}

// known makes the record of what ran more exact, now that an attempt ended
// without having run.
func (f *Flow) known(o retry.Outcome) {
	harmless := o != retry.OutcomeBroken && o != retry.OutcomeDone
	if harmless && f.ran == RanUnknown && f.broken == 0 && len(f.attempts) == 0 {
		f.ran = RanNo
	}
	if !harmless {
		f.broken++
	}
}

// follow does what was decided after a failed attempt.
func (f *Flow) follow(decided retry.Action) []Action {
	switch d := decided.(type) {
	case retry.Retry:
		return f.again(d.After)
	case retry.Resume:
		return f.again(d.After)
	case retry.Stop:
		return f.stop(d)
	default:
		return nil
	}
}

// again starts another attempt after a pause.
func (f *Flow) again(after time.Duration) []Action {
	if f.hedging {
		f.stage = stagePlace // the open Place serves
		return nil
	}
	if after == 0 {
		return f.guard()
	}
	f.stage = stageGuard
	return []Action{Wake{Timer: TimerGuard, After: after}}
}

// stop gives up on the present model, or waits for a hedge.
func (f *Flow) stop(d retry.Stop) []Action {
	if d.Reason == retry.ReasonInFlight {
		return nil
	}
	if d.Reason == retry.ReasonRejected {
		return f.refuse(Refusal{Code: CodeInvalid, Message: "the endpoint rejected the request", Ran: f.ran})
	}
	if d.Reason != retry.ReasonNotIdempotent {
		if next, ok := f.next(true); ok {
			return next
		}
	}
	return f.refuse(f.failure(d.Reason))
}

func (f *Flow) failure(reason retry.Reason) Refusal {
	r := Refusal{Code: CodeFailed, Message: "no attempt succeeded: " + string(reason), Ran: f.ran, After: comeBack}
	switch {
	case reason == retry.ReasonDeadline:
		r.Code = CodeDeadline
	case !f.request.Idempotent && f.ran != RanNo:
		r.Code = CodeOutcome
		r.Message = "the endpoint did not answer; whether it ran the request is not known"
	}
	return r
}

// outcome sorts an attempt's error.
func outcome(err error) retry.Outcome {
	switch {
	case err == nil:
		return retry.OutcomeDone
	case errors.Is(err, engine.ErrNotSent):
		return retry.OutcomeNotSent
	case errors.Is(err, engine.ErrOverloaded):
		return retry.OutcomeOverloaded
	case errors.Is(err, engine.ErrNotRun), errors.Is(err, engine.ErrLeaving):
		return retry.OutcomeNotRun
	case errors.Is(err, engine.ErrRejected):
		return retry.OutcomeRejected
	default:
		return retry.OutcomeBroken
	}
}
