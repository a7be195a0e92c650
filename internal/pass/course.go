package pass

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/retry"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// maxUnsent bounds the sends of one request that reached no endpoint.
	maxUnsent = 4
	// minLeft is the least time left in which another attempt is worth while.
	minLeft = 30 * time.Millisecond
)

// Course is one request's course. Step may not be called after Over.
type Course struct {
	request  Request
	budget   *retry.Window
	ladder   []ident.ModelID
	rung     int
	attempts []attempt
	reached  int // attempts that were sent to an endpoint of the service
	unsent   int
	pending  bool // a Place was not answered yet
	opened   bool
	stream   Attempt // whose events are passed on, once opened
	last     int64   // id of the last event passed on
	ran      bool    // an attempt may have run
	over     bool
}

// attempt is the state of one send.
type attempt struct {
	endpoint *world.Endpoint
	model    ident.ModelID
	started  time.Time
	first    time.Duration
	expected time.Duration
	base     time.Duration
	work     time.Duration
	uncached ident.Tokens
	running  bool
	sound    bool      // it answered well, so that its endpoint may be asked again
	patience time.Time // when its silence is long enough to try elsewhere, zero for never
}

// New makes the course of a request. Attempts after the first are taken from
// the budget. The ladder names the models to try, the first one first; it is
// empty if the model is the caller's choice.
func New(r Request, ladder []ident.ModelID, budget *retry.Window) *Course {
	return &Course{request: r, ladder: ladder, budget: budget, last: r.After}
}

// Over tells whether the request has its final answer.
func (c *Course) Over() bool { return c.over }

// Attempts gives the number of sends so far.
func (c *Course) Attempts() int { return len(c.attempts) }

// Step takes in an event and gives the actions that follow, in order.
func (c *Course) Step(now time.Time, e Event) []Action {
	switch x := e.(type) {
	case Begin:
		return append([]Action{Wake{At: c.request.Limit}}, c.place()...)
	case Placed:
		return c.placed(now, x)
	case Unplaced:
		return c.unplaced(now, x)
	case Headed:
		return c.headed(now, x)
	case Piece:
		return c.piece(x)
	case Ended:
		return c.ended(x)
	case Answered:
		return c.answered(now, x)
	case Broken:
		return c.broken(now, x)
	case Left:
		return c.left()
	case Woken:
		return c.woken(now)
	}
	return nil
}

// Urgency ranks an attempt among those that wait at its endpoint, 0 first. A
// first opinion is short work and goes before the larger models' long prompts,
// which it would otherwise wait for many times its own length.
func (c *Course) Urgency(d Dispatch) int {
	level := min(max(c.request.Priority, 0), urgentLevels-1)
	if len(c.ladder) > 1 && d.Model != c.ladder[0] {
		level += urgentLevels
	}
	return level
}

// place asks for an endpoint for the next attempt.
func (c *Course) place() []Action {
	c.pending = true
	exclude := make([]ident.EndpointID, 0, len(c.attempts))
	for i := range c.attempts {
		if !c.attempts[i].sound {
			exclude = append(exclude, c.attempts[i].endpoint.ID)
		}
	}
	return []Action{Place{Attempt: Attempt(len(c.attempts)), Model: c.model(), Exclude: exclude}}
}

// model is the model that the router chose, "" if the caller did.
func (c *Course) model() ident.ModelID {
	if len(c.ladder) == 0 {
		return ""
	}
	return c.ladder[c.rung]
}

func (c *Course) placed(now time.Time, p Placed) []Action {
	c.pending = false
	a := attempt{
		endpoint: p.Endpoint, model: c.model(), started: now,
		expected: p.Expected, base: p.Base, work: p.Work, uncached: p.Uncached, running: true,
	}
	actions := []Action{Dispatch{Attempt: p.Attempt, Endpoint: p.Endpoint, Model: a.model, After: c.last}}
	if at, ok := patience(now, c.request, p.Expected); ok && c.more() {
		a.patience = at
		actions = append(actions, Wake{At: at})
	}
	c.attempts = append(c.attempts, a)
	c.reached++
	return actions
}

func (c *Course) unplaced(now time.Time, u Unplaced) []Action {
	c.pending = false
	if c.running() {
		return nil // the attempt in flight goes on
	}
	reason := ReasonNoEndpoint
	if u.Late {
		reason = ReasonLate
	}
	return c.fail(now, reason, u.After)
}

// again sends the request once more if it may run again, or gives it up.
func (c *Course) again(now time.Time, reason Reason) []Action {
	if c.pending || c.running() && !c.opened {
		return nil
	}
	if c.mayRepeat(now) {
		return c.repeat(now)
	}
	return c.fail(now, reason, 0)
}

// mayRepeat tells whether another run is allowed, but for the budget.
func (c *Course) mayRepeat(now time.Time) bool {
	return c.more() && c.inTime(now) && !c.pending
}

// more tells whether the route allows another server, after a run.
func (c *Course) more() bool {
	return c.request.Route.Repeatable() && c.reached < c.request.Route.MaxAttempts
}

func (c *Course) inTime(now time.Time) bool { return c.request.Limit.Sub(now) >= minLeft }

// repeat sends the request again if the budget allows.
func (c *Course) repeat(now time.Time) []Action {
	if !c.budget.Take(now, 0) {
		return c.fail(now, ReasonBudget, 0)
	}
	return c.place()
}

// woken ends the request at its limit, and tries elsewhere what is silent for
// too long.
func (c *Course) woken(now time.Time) []Action {
	if !now.Before(c.request.Limit) {
		return c.timeout()
	}
	if c.opened || c.pending {
		return nil
	}
	for i := range c.attempts {
		a := &c.attempts[i]
		if !a.running || a.patience.IsZero() || now.Before(a.patience) {
			continue
		}
		a.patience = time.Time{}
		if !c.mayRepeat(now) || !c.budget.Take(now, 0) {
			continue
		}
		c.ran = true
		return append(c.giveUp(now, Attempt(i)), c.place()...)
	}
	return nil
}

func (c *Course) running() bool {
	for i := range c.attempts {
		if c.attempts[i].running {
			return true
		}
	}
	return false
}
