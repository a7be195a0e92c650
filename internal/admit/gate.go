// Package admit decides which requests may start now, which wait and which are
// refused, so that teams get their shares and a router under too much load
// keeps answering as many requests in time as it can.
package admit

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	maxQueued     = 4096                   // tickets over all teams
	maxTeamQueued = 1024                   // tickets of one team
	firstService  = time.Second            // assumed before anything has ended
	quickShare    = 0.75                   // of the slots, in which quick tickets go first
	minRetryAfter = 100 * time.Millisecond // shortest time to come back
	maxRetryAfter = 30 * time.Second       // longest time to come back
	doubt         = 0.5                    // share of the expected wait that is taken as certain
)

// Gate holds the tickets of one router for one pool of slots. It is owned by
// one goroutine, or guarded by its owner's lock.
type Gate struct {
	slots   float64
	used    float64
	quick   float64 // of used, by quick tickets
	virtual float64 // virtual time: slots granted over the weights of those who wait
	queued  int
	service map[bool]service // by Ticket.Quick
	running map[TicketID]run
	teams   map[ident.TeamID]*team
}

type run struct {
	ticket  Ticket
	started time.Time
}

// New gives a gate without capacity; see SetCapacity.
func New() *Gate {
	return &Gate{
		service: map[bool]service{false: {mean: firstService}, true: {mean: firstService}},
		running: make(map[TicketID]run),
		teams:   make(map[ident.TeamID]*team),
	}
}

// SetCapacity sets the number of slots, and gives the verdicts on tickets that
// this settles.
func (g *Gate) SetCapacity(now time.Time, slots float64) []Decision {
	g.slots = slots
	return g.drain(now, nil)
}

// Ask gives the verdict on a new ticket, and the refusals of tickets that had
// to make way for it.
func (g *Gate) Submit(now time.Time, t Ticket) (Decision, []Decision) {
	t.Cost = max(t.Cost, 1)
	t.Weight = max(t.Weight, 1)
	m := g.team(t.Team)
	m.weight = weight(t)
	if wait := m.bucket.take(now, t.Rate, t.Burst); wait > 0 {
		return Refuse{Ticket: t.ID, Reason: ReasonRateLimit, RetryAfter: wait}, nil
	}
	if g.queued == 0 && g.fits(t) && now.Before(t.Deadline) {
		g.admit(now, m, t)
		return Admit{Ticket: t.ID}, nil
	}
	ahead := m.ahead(t)
	wait := g.wait(m, ahead)
	if g.late(now, wait, t) || ahead > 0 && g.crowded(now, wait, t) {
		return g.refuse(m, t, ReasonDeadline), nil
	}
	if m.len() >= maxTeamQueued && !m.evicts(t) {
		return g.refuse(m, t, ReasonQueueFull), nil
	}
	position := m.push(t)
	g.queued++
	return Queue{Ticket: t.ID, Position: position, ExpectedWait: wait}, g.shed(m)
}

// Done ends a ticket, running or waiting, and gives the verdicts on tickets
// that this settles.
func (g *Gate) Done(now time.Time, id TicketID) []Decision {
	r, ok := g.running[id]
	if !ok {
		g.forget(id)
		return g.drain(now, nil)
	}
	delete(g.running, id)
	g.occupy(r.ticket, -1)
	took := now.Sub(r.started)
	estimate := g.service[r.ticket.ShortAnswer]
	g.teams[r.ticket.Team].settle(r.ticket.Cost * (took.Seconds()/estimate.mean.Seconds() - 1))
	g.service[r.ticket.ShortAnswer] = estimate.add(took)
	return g.drain(now, nil)
}

// Tick gives the verdicts on waiting tickets that have since been settled: it
// refuses those that can no longer be answered in time, then admits.
func (g *Gate) Tick(now time.Time) []Decision {
	var verdicts []Decision
	for _, m := range g.order() {
		verdicts = g.expire(now, m, verdicts)
	}
	return g.drain(now, verdicts)
}

// Queued gives the number of tickets that wait, and Running those that run.
func (g *Gate) Queued() int { return g.queued }

// Running gives the number of admitted tickets that are not yet done.
func (g *Gate) Running() int { return len(g.running) }

func (g *Gate) fits(t Ticket) bool {
	return g.used+t.Cost <= g.slots
}

// expected is the ticket's own estimate, or the mean.
func (g *Gate) expected(t Ticket) time.Duration {
	if t.ServiceTime > 0 {
		return t.ServiceTime
	}
	return g.service[t.ShortAnswer].mean
}

// late tells whether a ticket that starts after wait would miss its deadline,
// if it takes the expected time.
func (g *Gate) late(now time.Time, wait time.Duration, t Ticket) bool {
	return now.Add(wait + g.expected(t)).After(t.Deadline)
}

// crowded tells whether a team's queue is too long for a ticket to be answered
// in time nearly for certain. The first ticket of a team is let off: its team
// asks for no more than its share.
func (g *Gate) crowded(now time.Time, wait time.Duration, t Ticket) bool {
	return g.late(now, wait+g.service[t.ShortAnswer].headroom(), t)
}

func (g *Gate) occupy(t Ticket, sign float64) {
	g.used += sign * t.Cost
	if t.ShortAnswer {
		g.quick += sign * t.Cost
	}
}

func (g *Gate) admit(now time.Time, m *team, t Ticket) {
	g.virtual = m.charge(g.virtual, t.Cost)
	g.occupy(t, 1)
	g.running[t.ID] = run{ticket: t, started: now}
}

// refuse gives a refusal and returns the ticket's token: it did not run.
func (g *Gate) refuse(m *team, t Ticket, reason Reason) Refuse {
	m.bucket.refund(t.Burst)
	return Refuse{Ticket: t.ID, Reason: reason, RetryAfter: g.retryAfter(m)}
}

// retryAfter is when the team's backlog should have drained.
func (g *Gate) retryAfter(m *team) time.Duration {
	return min(max(g.wait(m, m.cost()), minRetryAfter), maxRetryAfter)
}
