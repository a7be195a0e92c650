package pass

import (
	"net/http"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/route"
)

// answered decides on a whole answer that is no stream.
func (c *Course) answered(now time.Time, e Answered) []Action {
	a := &c.attempts[e.Attempt]
	if !a.running {
		return nil
	}
	h := e.Head
	switch {
	case h.NotRun || h.Foreign:
		return c.turnedAway(now, e)
	case h.Encoded || h.Status < 300 && !h.Signed:
		c.ran = true
		return append(c.finish(e.Attempt, route.OutcomeFailed, true), c.again(now, ReasonInvalid)...)
	}
	c.ran = true
	a.first = now.Sub(a.started)
	failed := h.Status >= http.StatusInternalServerError
	actions := c.finish(e.Attempt, outcomeOf(failed), failed)
	if failed && c.mayRepeat(now) {
		return append(actions, c.repeat(now)...)
	}
	if c.opened {
		return append(actions, c.abort(ReasonBroken)...)
	}
	if c.running() {
		if failed {
			return actions
		}
		actions = append(actions, c.others(e.Attempt)...)
	}
	if !c.request.Route.Repeatable() && promises(h.Status) {
		// The endpoint ran it, so its caller must not be told otherwise.
		c.over = true
		return append(actions, Refuse{Status: http.StatusBadGateway, Reason: ReasonInvalid})
	}
	c.over = true
	return append(actions, Reply{Attempt: e.Attempt})
}

func outcomeOf(failed bool) route.Outcome {
	if failed {
		return route.OutcomeFailed
	}
	return route.OutcomeDone
}

// promises tells whether a status says that the request did not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// turnedAway follows an endpoint's word that it did not run the request.
func (c *Course) turnedAway(now time.Time, e Answered) []Action {
	outcome := route.OutcomeOverloaded
	if e.Head.Foreign {
		outcome = route.OutcomeUnreachable
		c.reached-- // what answered is no endpoint of the service
		c.unsent++
	}
	actions := c.finish(e.Attempt, outcome, false)
	if c.running() {
		return actions
	}
	if (c.reached < c.request.Route.MaxAttempts && c.unsent < maxUnsent) && c.inTime(now) && c.budget.Take(now, 0) {
		return append(actions, c.place()...)
	}
	return append(actions, c.fail(now, ReasonFull, e.Head.After)...)
}

func (c *Course) broken(now time.Time, b Broken) []Action {
	a := &c.attempts[b.Attempt]
	if !a.running {
		return nil
	}
	outcome := route.OutcomeFailed
	if b.Refused {
		outcome = route.OutcomeUnreachable
	}
	actions := c.finish(b.Attempt, outcome, b.Sent)
	if b.Sent {
		report := actions[0].(Report)
		report.Cut = true
		actions[0] = report
		c.ran = true
	} else {
		c.reached--
		c.unsent++
	}
	if c.running() && !c.opened {
		return actions
	}
	if !b.Sent && c.unsent < maxUnsent && c.inTime(now) && !c.pending {
		return append(actions, c.place()...)
	}
	return append(actions, c.again(now, ReasonBroken)...)
}
