package pass

import (
	"net/http"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/retry"
	"github.com/marigoldscale/marigoldscale/internal/route"
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
	budget   *retry.Budget
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
func New(r Request, ladder []ident.ModelID, budget *retry.Budget) *Course {
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
		Confidence: h.Head.Confidence, Elapsed: now.Sub(c.request.Arrived), Next: h.Next, Work: h.Work,
		Objective: c.request.Route.Objective, Left: c.request.Limit.Sub(now),
	}
	return d, d.Asks() && c.budget.Take(now)
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
		outcome = route.OutcomeGone
		c.reached-- // what answered is no endpoint of the service
		c.unsent++
	}
	actions := c.finish(e.Attempt, outcome, false)
	if c.running() {
		return actions
	}
	if (c.reached < c.request.Route.Attempts && c.unsent < maxUnsent) && c.inTime(now) && c.budget.Take(now) {
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
		outcome = route.OutcomeGone
	}
	actions := c.finish(b.Attempt, outcome, b.Sent)
	if b.Sent {
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
	return c.request.Route.Repeatable() && c.reached < c.request.Route.Attempts
}

func (c *Course) inTime(now time.Time) bool { return c.request.Limit.Sub(now) >= minLeft }

// repeat sends the request again if the budget allows.
func (c *Course) repeat(now time.Time) []Action {
	if !c.budget.Take(now) {
		return c.fail(now, ReasonBudget, 0)
	}
	return c.place()
}

// fail gives the final answer of a request that is not answered in full.
func (c *Course) fail(now time.Time, reason Reason, after time.Duration) []Action {
	if c.opened {
		return c.abort(reason)
	}
	c.over = true
	if c.ran {
		return []Action{Refuse{Status: http.StatusBadGateway, Reason: reason}}
	}
	return []Action{Refuse{
		Status: http.StatusServiceUnavailable, Reason: reason,
		After: Return(c.request.Seed, c.request.Priority, after, c.request.Limit.Sub(now)),
	}}
}

func (c *Course) abort(reason Reason) []Action {
	c.over = true
	return append(c.cancelAll(), Abort{Reason: reason})
}

// left gives up on a caller who is gone. A request that must not run twice
// runs to its end, since its caller may ask what became of it.
func (c *Course) left() []Action {
	c.over = true
	if c.request.Route.Repeatable() || c.request.Route.Kind == streamKind {
		return append(c.cancelAll(), Abort{Reason: ReasonLeft})
	}
	var actions []Action
	for i := range c.attempts {
		if c.attempts[i].running {
			actions = append(actions, c.finish(Attempt(i), route.OutcomeCancelled, false)...)
		}
	}
	return append(actions, Abort{Reason: ReasonLeft})
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
		if !c.mayRepeat(now) || !c.budget.Take(now) {
			continue
		}
		c.ran = true
		return append(c.giveUp(now, Attempt(i)), c.place()...)
	}
	return nil
}

// giveUp cancels an attempt that is silent for too long.
func (c *Course) giveUp(now time.Time, n Attempt) []Action {
	actions := c.drop(n, route.OutcomeFailed, false)
	report := actions[len(actions)-1].(Report)
	report.Silent, report.Took = true, now.Sub(c.attempts[n].started)
	actions[len(actions)-1] = report
	return actions
}

func (c *Course) timeout() []Action {
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

func (c *Course) running() bool {
	for i := range c.attempts {
		if c.attempts[i].running {
			return true
		}
	}
	return false
}

// finish notes that an attempt is over, and reports on it.
func (c *Course) finish(n Attempt, outcome route.Outcome, failed bool) []Action {
	a := &c.attempts[n]
	a.running = false
	a.sound = outcome == route.OutcomeDone
	return []Action{Report{
		Attempt: n, Endpoint: a.endpoint, Model: a.model, Outcome: outcome, Failed: failed,
		First: a.first, Base: a.base, Work: a.work, Uncached: a.uncached,
	}}
}

// drop cancels an attempt and reports on it.
func (c *Course) drop(n Attempt, outcome route.Outcome, failed bool) []Action {
	return append([]Action{Cancel{Attempt: n}}, c.finish(n, outcome, failed)...)
}

// others drops all attempts but one.
func (c *Course) others(keep Attempt) []Action {
	var actions []Action
	for i := range c.attempts {
		if c.attempts[i].running && Attempt(i) != keep {
			actions = append(actions, c.drop(Attempt(i), route.OutcomeCancelled, false)...)
		}
	}
	return actions
}

func (c *Course) cancelAll() []Action { return c.others(-1) }
