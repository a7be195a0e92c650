package proxy

import (
	"net/http"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// handleHead processes the head of a stream: it starts the response, or queries the
// next model while the caller has received nothing yet.
func (m *Machine) handleHead(now time.Time, h HeadReceived) []Action {
	a := &m.attempts[h.Attempt]
	if !a.running {
		return nil
	}
	m.mayHaveRun = true // whatever the head holds, the endpoint has begun to answer
	if m.streamOpen {
		return m.handleResumedHead(now, h)
	}
	if !h.Head.Signed || h.Head.Encoded {
		return append(m.cancelAttempt(h.Attempt, route.OutcomeFailed, true), m.retryOrFail(now, ReasonInvalidResponse)...)
	}
	a.firstLatency = now.Sub(a.started)
	actions := m.cancelOthers(h.Attempt)
	if f, escalate := m.shouldEscalate(now, h); escalate {
		actions = append(actions, Escalate{Attempt: h.Attempt, Factors: f})
		actions = append(actions, m.cancelAttempt(h.Attempt, route.OutcomeDone, false)...)
		m.modelIndex++
		return append(actions, m.selectEndpoint()...)
	}
	m.streamOpen, m.streamAttempt = true, h.Attempt
	return append(actions, OpenStream{Attempt: h.Attempt})
}

// handleResumedHead processes the head of an attempt that resumes an open stream.
func (m *Machine) handleResumedHead(now time.Time, h HeadReceived) []Action {
	if !h.Head.Signed || h.Head.Encoded || h.Head.Status != http.StatusOK {
		return append(m.cancelAttempt(h.Attempt, route.OutcomeFailed, true), m.retryOrFail(now, ReasonInvalidResponse)...)
	}
	m.attempts[h.Attempt].firstLatency = now.Sub(m.attempts[h.Attempt].started)
	m.streamAttempt = h.Attempt
	return nil
}

// NextModel returns the model to which the request may still escalate, or "" if
// there is none.
func (m *Machine) NextModel() ident.ModelID {
	if m.streamOpen || m.modelIndex+1 >= len(m.cascade) || !m.hasAttemptsLeft() {
		return ""
	}
	return m.cascade[m.modelIndex+1]
}

// shouldEscalate reports whether to discard the answer whose head has arrived and
// query the next model.
func (m *Machine) shouldEscalate(now time.Time, h HeadReceived) (EscalationFactors, bool) {
	if m.NextModel() == "" || m.attempts[h.Attempt].handoff {
		return EscalationFactors{}, false
	}
	f := EscalationFactors{
		Confidence: h.Head.Confidence, Elapsed: now.Sub(m.request.Arrived), NextLatency: h.NextLatency, NextServiceTime: h.NextServiceTime, NextGeneration: h.NextGeneration,
		Worth: m.request.Worth, Objective: m.request.Route.TargetLatency, MeanObjective: m.request.MeanObjective, Remaining: m.request.Deadline.Sub(now),
	}
	return f, f.ShouldEscalate() && m.drawOpinion(now)
}

// handleEvent forwards an event of the open stream that the caller has not
// received.
func (m *Machine) handleEvent(e EventReceived) []Action {
	a := &m.attempts[e.Attempt]
	if !m.streamOpen || e.Attempt != m.streamAttempt || !a.running {
		return nil
	}
	if e.ID != NoEvent {
		if e.ID <= m.lastEventID {
			return nil // already forwarded
		}
		m.lastEventID = e.ID
	}
	return []Action{EmitEvent{Data: e.Data}}
}

// handleStreamEnd completes the response once its stream has ended.
func (m *Machine) handleStreamEnd(e StreamEnded) []Action {
	a := &m.attempts[e.Attempt]
	if !m.streamOpen || e.Attempt != m.streamAttempt || !a.running {
		return nil
	}
	m.done = true
	return append(completed(m.finishAttempt(e.Attempt, route.OutcomeDone, false)), CloseStream{})
}
