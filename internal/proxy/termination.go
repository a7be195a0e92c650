package proxy

import (
	"net/http"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/route"
)

// fail ends a request without a complete response. A request that no endpoint
// ran is refused as safe to retry.
func (m *Machine) fail(now time.Time, reason Reason, after time.Duration) []Action {
	if m.streamOpen {
		return m.abort(reason)
	}
	m.done = true
	if m.mayHaveRun {
		return []Action{Refuse{Status: http.StatusBadGateway, Reason: reason}}
	}
	return []Action{Refuse{
		Status: http.StatusServiceUnavailable, Reason: reason,
		RetryAfter: RetryAfter(m.request.Seed, m.request.Priority, after, m.request.Deadline.Sub(now)),
	}}
}

// abort terminates a response that the caller has in part.
func (m *Machine) abort(reason Reason) []Action {
	m.done = true
	return append(m.cancelAll(), Abort{Reason: reason})
}

// handleFatal withdraws a request that waits at endpoints, so that they do not end when
// they come to it. An answer that has begun goes on.
func (m *Machine) handleFatal(now time.Time, e FoundFatal) []Action {
	if m.streamOpen && m.attempts[m.streamAttempt].running {
		return nil
	}
	m.mayHaveRun = m.mayHaveRun || m.hasRunningAttempt()
	return append(m.cancelAll(), m.fail(now, e.Reason, e.RetryAfter)...)
}

// handleCallerGone ends the request of a caller that has disconnected. An attempt
// that must not run twice is not cancelled, since the caller may ask for its
// outcome later.
func (m *Machine) handleCallerGone() []Action {
	m.done = true
	if m.request.Route.Repeatable() || m.request.Route.Kind == streamKind {
		return append(m.cancelAll(), Abort{Reason: ReasonCallerGone})
	}
	var actions []Action
	for i := range m.attempts {
		if m.attempts[i].running {
			actions = append(actions, m.finishAttempt(Attempt(i), route.OutcomeCancelled, false)...)
		}
	}
	return append(actions, Abort{Reason: ReasonCallerGone})
}

// abandonAttempt cancels an attempt whose endpoint appears to hang.
func (m *Machine) abandonAttempt(now time.Time, n Attempt) []Action {
	actions := m.cancelAttempt(n, route.OutcomeFailed, false)
	report := actions[len(actions)-1].(Report)
	report.Unresponsive, report.Withdrawn, report.Duration = true, true, now.Sub(m.attempts[n].started)
	actions[len(actions)-1] = report
	return actions
}

// handleDeadline ends the request at its deadline.
func (m *Machine) handleDeadline() []Action {
	if m.streamOpen {
		return m.abort(ReasonTimeout)
	}
	m.done = true
	sent := m.mayHaveRun || m.hasRunningAttempt()
	actions := m.cancelAll()
	if sent {
		return append(actions, Refuse{Status: http.StatusGatewayTimeout, Reason: ReasonTimeout})
	}
	return append(actions, Refuse{Status: http.StatusServiceUnavailable, Reason: ReasonTimeout})
}

// finishAttempt marks an attempt as ended and reports it.
func (m *Machine) finishAttempt(n Attempt, outcome route.Outcome, failed bool) []Action {
	a := &m.attempts[n]
	a.running = false
	a.succeeded = outcome == route.OutcomeDone
	return []Action{Report{
		Attempt: n, Endpoint: a.endpoint, Handoff: a.handoff, Model: a.model, Outcome: outcome, Started: a.started, Failed: failed,
		FirstLatency: a.firstLatency, BaseEstimate: a.baseEstimate, ServiceTime: a.serviceTime, UncachedTokens: a.uncachedTokens,
	}}
}

// completed marks the report of an attempt as that of a whole response.
func completed(actions []Action) []Action {
	report := actions[0].(Report)
	report.Complete = true
	actions[0] = report
	return actions
}

// cancelAttempt cancels an attempt and reports it.
func (m *Machine) cancelAttempt(n Attempt, outcome route.Outcome, failed bool) []Action {
	return append([]Action{Cancel{Attempt: n}}, m.finishAttempt(n, outcome, failed)...)
}

// cancelOthers cancels all running attempts but keep.
func (m *Machine) cancelOthers(keep Attempt) []Action {
	var actions []Action
	for i := range m.attempts {
		if m.attempts[i].running && Attempt(i) != keep {
			actions = append(actions, m.cancelAttempt(Attempt(i), route.OutcomeCancelled, false)...)
		}
	}
	return actions
}

// cancelAll cancels all running attempts, whose answers are no longer waited for.
func (m *Machine) cancelAll() []Action {
	actions := m.cancelOthers(-1)
	for i, a := range actions {
		if report, ok := a.(Report); ok {
			report.Withdrawn = true
			actions[i] = report
		}
	}
	return actions
}
