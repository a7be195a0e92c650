package pass

import (
	"net/http"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// headed decides on the head of a stream: to pass it on, or to ask a better
// model while nothing has been passed on yet.
func (c *Course) headed(now time.Time, h Headed) []Action {
	a := &c.attempts[h.Attempt]
	if !a.running {
		return nil
	}
	if c.opened {
		return c.resumed(now, h)
	}
	if !h.Head.Signed || h.Head.Encoded {
		return append(c.drop(h.Attempt, route.OutcomeFailed, true), c.again(now, ReasonInvalid)...)
	}
	a.first = now.Sub(a.started)
	c.ran = true
	actions := c.others(h.Attempt)
	if d, asks := c.escalates(now, h); asks {
		actions = append(actions, Escalate{Attempt: h.Attempt, Doubt: d})
		actions = append(actions, c.drop(h.Attempt, route.OutcomeDone, false)...)
		c.rung++
		return append(actions, c.place()...)
	}
	c.opened, c.stream = true, h.Attempt
	return append(actions, Open{Attempt: h.Attempt})
}

// resumed takes the head of an attempt that goes on with an open stream.
func (c *Course) resumed(now time.Time, h Headed) []Action {
	if !h.Head.Signed || h.Head.Encoded || h.Head.Status != http.StatusOK {
		return append(c.drop(h.Attempt, route.OutcomeFailed, true), c.again(now, ReasonInvalid)...)
	}
	c.attempts[h.Attempt].first = now.Sub(c.attempts[h.Attempt].started)
	c.stream = h.Attempt
	return nil
}

// Next gives the model that would be asked in place of the one now asked, ""
// if there is none.
func (c *Course) Next() ident.ModelID {
	if c.opened || c.rung+1 >= len(c.ladder) || !c.more() {
		return ""
	}
	return c.ladder[c.rung+1]
}

// escalates tells whether the answer whose head has come is to be dropped for
// a larger model's.
func (c *Course) escalates(now time.Time, h Headed) (Doubt, bool) {
	if c.Next() == "" {
		return Doubt{}, false
	}
	d := Doubt{
		Confidence: h.Head.Confidence, Elapsed: now.Sub(c.request.Arrived), Next: h.Next, Work: h.Work, Writing: h.Writing,
		Objective: c.request.Route.TargetLatency, Left: c.request.Limit.Sub(now),
	}
	return d, d.Asks() && c.budget.Take(now, askingReserve)
}

func (c *Course) piece(p Piece) []Action {
	a := &c.attempts[p.Attempt]
	if !c.opened || p.Attempt != c.stream || !a.running {
		return nil
	}
	if p.ID != NoEvent {
		if p.ID <= c.last {
			return nil // the caller has it
		}
		c.last = p.ID
	}
	return []Action{Emit{Data: p.Data}}
}

func (c *Course) ended(e Ended) []Action {
	a := &c.attempts[e.Attempt]
	if !c.opened || e.Attempt != c.stream || !a.running {
		return nil
	}
	c.over = true
	return append(c.finish(e.Attempt, route.OutcomeDone, false), Close{})
}
