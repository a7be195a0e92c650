package pass

import (
	"net/http"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/route"
)

// fail gives the final answer of a request that is not answered in full.
func (c *Machine) fail(now time.Time, reason Reason, after time.Duration) []Action {
	if c.opened {
		return c.abort(reason)
	}
	c.over = true
	if c.ran {
		return []Action{Refuse{Status: http.StatusBadGateway, Reason: reason}}
	}
	return []Action{Refuse{
		Status: http.StatusServiceUnavailable, Reason: reason,
		RetryAfter: RetryAfter(c.request.Seed, c.request.Priority, after, c.request.Deadline.Sub(now)),
	}}
}

func (c *Machine) abort(reason Reason) []Action {
	c.over = true
	return append(c.cancelAll(), Abort{Reason: reason})
}

// left gives up on a caller who is gone. A request that must not run twice
// runs to its end, since its caller may ask what became of it.
func (c *Machine) left() []Action {
	c.over = true
	if c.request.Route.Repeatable() || c.request.Route.Kind == streamKind {
		return append(c.cancelAll(), Abort{Reason: ReasonCallerGone})
	}
	var actions []Action
	for i := range c.attempts {
		if c.attempts[i].running {
			actions = append(actions, c.finish(Attempt(i), route.OutcomeCancelled, false)...)
		}
	}
	return append(actions, Abort{Reason: ReasonCallerGone})
}

// giveUp cancels an attempt that is silent for too long.
func (c *Machine) giveUp(now time.Time, n Attempt) []Action {
	actions := c.drop(n, route.OutcomeFailed, false)
	report := actions[len(actions)-1].(Report)
	report.Unresponsive, report.Duration = true, now.Sub(c.attempts[n].started)
	actions[len(actions)-1] = report
	return actions
}

func (c *Machine) timeout() []Action {
	if c.opened {
		return c.abort(ReasonTimeout)
	}
	c.over = true
	sent := c.ran || c.running()
	actions := c.cancelAll()
	if sent {
		return append(actions, Refuse{Status: http.StatusGatewayTimeout, Reason: ReasonTimeout})
	}
	return append(actions, Refuse{Status: http.StatusServiceUnavailable, Reason: ReasonTimeout})
}

// finish notes that an attempt is over, and reports on it.
func (c *Machine) finish(n Attempt, outcome route.Outcome, failed bool) []Action {
	a := &c.attempts[n]
	a.running = false
	a.sound = outcome == route.OutcomeDone
	return []Action{Report{
		Attempt: n, Endpoint: a.endpoint, Model: a.model, Outcome: outcome, Failed: failed,
		FirstLatency: a.first, BaseEstimate: a.base, ServiceTime: a.work, UncachedTokens: a.uncached,
	}}
}

// drop cancels an attempt and reports on it.
func (c *Machine) drop(n Attempt, outcome route.Outcome, failed bool) []Action {
	return append([]Action{Cancel{Attempt: n}}, c.finish(n, outcome, failed)...)
}

// others drops all attempts but one.
func (c *Machine) others(keep Attempt) []Action {
	var actions []Action
	for i := range c.attempts {
		if c.attempts[i].running && Attempt(i) != keep {
			actions = append(actions, c.drop(Attempt(i), route.OutcomeCancelled, false)...)
		}
	}
	return actions
}

func (c *Machine) cancelAll() []Action { return c.others(-1) }
