package flow

import (
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/retry"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// dispatch sends an attempt to the selected endpoint.
func (m *Machine) dispatch(now time.Time, e EndpointSelected) []Action {
	if m.stage != stageSelect && !(m.stage == stageRun && m.hedging) {
		return m.releaseSlot(e)
	}
	m.hedging = false
	m.noEndpointSince = time.Time{}
	m.stage = stageRun
	id := m.nextAttempt()
	m.attemptCount++
	m.stepAttempts++
	m.attempts[id] = &attempt{endpoint: e.Endpoint, started: now, expected: e.Expected}
	if m.attemptCount == 1 {
		m.budget.RecordFirst(now)
	}
	resume := 0
	if m.assembler != nil {
		m.assembler.Open(id)
		resume = m.assembler.Next()
	}
	m.markSent()
	dispatch := Dispatch{
		Attempt:    id,
		Endpoint:   e.Endpoint,
		Release:    m.meta.Release,
		ResumeFrom: resume,
		Cold:       e.Cold,
		Expected:   e.Expected,
	}
	return append([]Action{dispatch}, m.planHedge(now, id)...)
}

// markSent records that an attempt was sent. Until it ends, the request may have
// run.
func (m *Machine) markSent() {
	if m.runState == RanNo {
		m.runState = RanUnknown
	}
}

// planHedge sets a timer for a hedged attempt if the retry policy allows one.
func (m *Machine) planHedge(now time.Time, id ident.AttemptID) []Action {
	if !m.request.ShortAnswer || m.assembler == nil || m.isolated {
		return nil
	}
	hedge, ok := retry.Decide(now, m.retryState(id, retry.OutcomeRunning), m.budget).(retry.Hedge)
	if !ok {
		return nil
	}
	return []Action{SetTimer{Timer: TimerHedge, After: hedge.After}}
}

// hedge starts a second attempt if the first has not answered in time.
func (m *Machine) hedge(now time.Time) []Action {
	if len(m.attempts) != 1 || m.hedging || m.assembler.Next() > 0 {
		return nil
	}
	for id, a := range m.attempts {
		hedge, ok := retry.Decide(now, m.retryState(id, retry.OutcomeRunning), m.budget).(retry.Hedge)
		if !ok {
			return nil
		}
		if hedge.After > 0 {
			return []Action{SetTimer{Timer: TimerHedge, After: hedge.After}}
		}
		m.hedging = true
		m.exclude = append(m.exclude, a.endpoint.Spec.ID)
	}
	return []Action{m.newSelection(true)}
}

// retryState returns the input of a retry decision for an attempt.
func (m *Machine) retryState(id ident.AttemptID, outcome retry.Outcome) retry.State {
	state := retry.State{
		Outcome:    outcome,
		Idempotent: m.request.Idempotent,
		Attempts:   m.stepAttempts,
		InFlight:   len(m.attempts),
		Deadline:   m.request.Deadline,
		Seed:       uint64(m.request.Fingerprint) + uint64(m.attemptCount),
	}
	if m.assembler != nil {
		state.Received = m.assembler.Next()
	}
	if m.brokenAttempts > 0 {
		state.EarlierRan = retry.RanUnknown
	}
	if a := m.attempts[id]; a != nil {
		state.Started = a.started
		state.TailLatency = a.expected
	}
	return state
}

// handleFrame adds a frame to the answer and forwards the frames that are in
// sequence.
func (m *Machine) handleFrame(now time.Time, frame engine.Frame) []Action {
	if m.assembler == nil || m.stage == stageDone || m.stage == stageRate || m.stage == stageBill {
		return nil
	}
	if a := m.attempts[frame.Attempt]; a != nil {
		a.began = true
	}
	var actions []Action
	leader := m.assembler.Leader()
	err := m.assembler.Add(frame, func(next engine.Frame) error {
		actions = append(actions, m.deliver(next)...)
		return nil
	})
	if m.assembler.Next() > 0 {
		m.runState = RanYes
	}
	if err != nil {
		m.assembler.Close(frame.Attempt)
		return append(actions, Cancel{Attempt: frame.Attempt})
	}
	if m.assembler.Leader() != leader {
		actions = append(actions, m.cancelOthers(m.assembler.Leader())...)
	}
	if m.assembler.Done() {
		actions = append(actions, m.handleComplete(now)...)
	}
	return actions
}

// deliver forwards a frame, or holds it until its answer has been rated.
func (m *Machine) deliver(frame engine.Frame) []Action {
	m.delivered++
	if frame.Text != "" {
		m.empty = false
	}
	if frame.Final {
		m.usage = frame.Usage
		m.finishReason = frame.FinishReason
	}
	step := m.steps[m.stepIndex]
	if step.RatedBefore || step.RatedAfter {
		m.heldText = append(m.heldText, frame.Text)
	}
	if step.RatedBefore || frame.Text == "" {
		return nil
	}
	return m.forward(frame.Text)
}

// forward writes text to the caller, and opens the response first.
func (m *Machine) forward(text string) []Action {
	if m.opened {
		return []Action{WriteText{Text: text}}
	}
	m.opened = true
	return []Action{OpenResponse{Meta: m.meta}, WriteText{Text: text}}
}

// cancelOthers cancels all running attempts but keep.
func (m *Machine) cancelOthers(keep ident.AttemptID) []Action {
	var actions []Action
	for _, id := range m.runningAttempts() {
		if id == keep || m.attempts[id].cancelled {
			continue
		}
		m.attempts[id].cancelled = true
		if m.assembler != nil {
			m.assembler.Close(id)
		}
		actions = append(actions, Cancel{Attempt: id, Superseded: keep != ""})
	}
	return actions
}

// runningAttempts returns the attempts that have not ended, sorted by id.
func (m *Machine) runningAttempts() []ident.AttemptID {
	ids := make([]ident.AttemptID, 0, len(m.attempts))
	for id := range m.attempts {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// handleAttemptEnd removes an ended attempt and decides what follows a failure.
func (m *Machine) handleAttemptEnd(now time.Time, e AttemptEnded) []Action {
	a := m.attempts[e.Attempt]
	if a == nil {
		return nil
	}
	cancelled := a.cancelled
	outcome := outcomeOf(e.Error)
	if a.began && outcome != retry.OutcomeDone {
		outcome = retry.OutcomeBroken // an endpoint that has begun to answer has run the request
	}
	state := m.retryState(e.Attempt, outcome)
	delete(m.attempts, e.Attempt)
	state.InFlight = len(m.attempts)
	if m.request.Service != "" && e.Error == nil && (m.claimed || m.stage == stageRun) {
		return m.handleServiceAnswer(e.Answer)
	}
	if m.assembler != nil {
		m.assembler.Close(e.Attempt)
	}
	if cancelled || m.stage != stageRun {
		return m.releaseUnrun(state.Outcome)
	}
	if e.Error == nil {
		state.Outcome = retry.OutcomeBroken // the stream ended without its final frame
	}
	m.updateRunState(state.Outcome)
	m.exclude = append(m.exclude, a.endpoint.Spec.ID)
	return m.applyDecision(retry.Decide(now, state, m.budget))
}

// updateRunState resets the run state if the ended attempt proves that nothing
// ran, and counts attempts that may have run.
func (m *Machine) updateRunState(o retry.Outcome) {
	notRun := o != retry.OutcomeBroken && o != retry.OutcomeDone
	if notRun && m.runState == RanUnknown && m.brokenAttempts == 0 && len(m.attempts) == 0 {
		m.runState = RanNo
	}
	if !notRun {
		m.brokenAttempts++
	}
}

// applyDecision applies a retry decision after a failed attempt.
func (m *Machine) applyDecision(decided retry.Action) []Action {
	switch d := decided.(type) {
	case retry.Retry:
		return m.retryAfter(d.After)
	case retry.Resume:
		return m.retryAfter(d.After)
	case retry.Stop:
		return m.giveUp(d)
	default:
		return nil
	}
}

// retryAfter starts another attempt after a delay.
func (m *Machine) retryAfter(after time.Duration) []Action {
	if m.hedging {
		m.stage = stageSelect // the pending selection for the hedge is used
		return nil
	}
	if after == 0 {
		return m.checkBody()
	}
	m.stage = stageCheck
	return []Action{SetTimer{Timer: TimerCheck, After: after}}
}

// giveUp moves on to the next model, waits for a running hedge, or refuses the
// request.
func (m *Machine) giveUp(d retry.Stop) []Action {
	if d.Reason == retry.ReasonInFlight {
		return nil
	}
	if d.Reason == retry.ReasonRejected {
		return m.refuse(Refusal{Code: CodeInvalid, Message: "the endpoint rejected the request", Ran: m.runState})
	}
	if d.Reason != retry.ReasonNotIdempotent {
		if next, ok := m.nextStep(true); ok {
			return next
		}
	}
	return m.refuse(m.failureRefusal(d.Reason))
}

// failureRefusal returns the refusal after the last attempt failed.
func (m *Machine) failureRefusal(reason retry.Reason) Refusal {
	r := Refusal{Code: CodeEndpointFailed, Message: "no attempt succeeded: " + string(reason), Ran: m.runState, RetryAfter: defaultRetryAfter}
	switch {
	case reason == retry.ReasonDeadline:
		r.Code = CodeDeadline
	case !m.request.Idempotent && m.runState != RanNo:
		r.Code = CodeOutcomeUnknown
		r.Message = "the endpoint did not answer; whether it ran the request is not known"
	}
	return r
}

// outcomeOf classifies the error of an attempt.
func outcomeOf(err error) retry.Outcome {
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
