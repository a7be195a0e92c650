package proxy

import (
	"net/http"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/route"
)

// handleResponse processes a complete response that is not a stream.
func (m *Machine) handleResponse(now time.Time, e ResponseReceived) []Action {
	a := &m.attempts[e.Attempt]
	if !a.running {
		return nil
	}
	h := e.Head
	switch {
	case a.handoff && h.NotRun:
		return m.handleHandoffRefused(now, e)
	case h.NotRun || h.WrongEndpoint:
		return m.handleNotRun(now, e)
	case h.Encoded || h.Status < 300 && !h.Signed:
		m.mayHaveRun = true
		return append(m.finishAttempt(e.Attempt, route.OutcomeFailed, true), m.retryOrFail(now, ReasonInvalidResponse)...)
	}
	m.mayHaveRun = true
	a.firstLatency = now.Sub(a.started)
	failed := h.Status >= http.StatusInternalServerError
	actions := m.finishAttempt(e.Attempt, outcomeOf(failed), failed)
	if !failed {
		actions = completed(actions)
	}
	if failed && !a.handoff && m.mayRetry(now) {
		return append(actions, m.retryWithinBudget(now)...)
	}
	if m.streamOpen {
		return append(actions, m.abort(ReasonAttemptFailed)...)
	}
	if m.hasRunningAttempt() {
		if failed {
			return actions
		}
		actions = append(actions, m.cancelOthers(e.Attempt)...)
	}
	if !m.request.Route.Repeatable() && claimsNotRun(h.Status) {
		// The endpoint ran the request, so the status must not tell the caller
		// that a retry is safe.
		m.done = true
		return append(actions, Refuse{Status: http.StatusBadGateway, Reason: ReasonInvalidResponse})
	}
	m.done = true
	return append(actions, Reply{Attempt: e.Attempt})
}

func outcomeOf(failed bool) route.Outcome {
	if failed {
		return route.OutcomeFailed
	}
	return route.OutcomeDone
}

// claimsNotRun reports whether a caller takes a status to mean that the request
// did not run.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// handleNotRun processes a response that guarantees that the request did not
// run.
func (m *Machine) handleNotRun(now time.Time, e ResponseReceived) []Action {
	outcome := route.OutcomeOverloaded
	if e.Head.WrongEndpoint {
		outcome = route.OutcomeUnreachable
		m.reached-- // the responder is not an endpoint of the service
		m.undelivered++
	}
	actions := m.finishAttempt(e.Attempt, outcome, false)
	if m.hasRunningAttempt() {
		return actions
	}
	if (m.reached < m.request.Route.MaxAttempts && m.undelivered < maxUndelivered) && m.hasTimeLeft(now) && m.draw(now) {
		return append(actions, m.selectEndpoint()...)
	}
	return append(actions, m.fail(now, ReasonOverloaded, e.Head.RetryAfter)...)
}

// handleHandoffRefused processes a refusal by a router to which the request was handed
// over. One that reaches no endpoint either leaves it to the next. If an endpoint has
// turned it away there, the next arrival is a repeat.
func (m *Machine) handleHandoffRefused(now time.Time, e ResponseReceived) []Action {
	actions := m.finishAttempt(e.Attempt, route.OutcomeUnreachable, false)
	a := &m.attempts[e.Attempt]
	used := min(max(e.Head.Used, 0), a.granted)
	m.reached += used - a.granted
	if e.Head.Unreached && m.hasTimeLeft(now) && !m.selecting {
		if used == 0 {
			m.allowance = a.allowance
			return append(actions, m.selectEndpoint()...)
		}
		if m.reached < m.request.Route.MaxAttempts && m.draw(now) {
			return append(actions, m.selectEndpoint()...)
		}
	}
	return append(actions, m.fail(now, ReasonOverloaded, e.Head.RetryAfter)...)
}

// handleFailure processes an attempt that ended without a complete response.
func (m *Machine) handleFailure(now time.Time, e AttemptFailed) []Action {
	a := &m.attempts[e.Attempt]
	if !a.running {
		return nil
	}
	outcome := route.OutcomeFailed
	if e.Refused {
		outcome = route.OutcomeUnreachable
	}
	actions := m.finishAttempt(e.Attempt, outcome, e.Sent)
	if e.Sent {
		report := actions[0].(Report)
		report.Disconnected = true
		actions[0] = report
		m.mayHaveRun = true
	} else {
		m.allowance = a.allowance
		m.reached -= a.granted
		if !a.handoff {
			m.reached--
			if e.Rejected {
				m.rejected++
			} else {
				m.undelivered++
			}
		}
	}
	if m.hasRunningAttempt() && !m.streamOpen {
		return actions
	}
	if !e.Sent && m.undelivered < maxUndelivered && m.rejected < maxRejected && m.hasTimeLeft(now) && !m.selecting {
		return append(actions, m.selectEndpoint()...)
	}
	return append(actions, m.retryOrFail(now, ReasonAttemptFailed)...)
}
