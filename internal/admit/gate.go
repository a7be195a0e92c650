// Package admit implements admission control: it decides which requests start
// now, which are queued and which are refused, so that teams get their weighted
// shares and goodput stays high under overload.
package admit

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	maxQueued           = 4096                   // tickets of all teams
	maxTeamQueued       = 1024                   // tickets of one team
	initialServiceTime  = time.Second            // assumed until a ticket has ended
	shortAnswerShare    = 0.75                   // fraction of the slots in which short answers go first
	minRetryAfter       = 100 * time.Millisecond // minimum retry delay
	maxRetryAfter       = 30 * time.Second       // maximum retry delay
	certainWaitFraction = 0.5                    // fraction of the expected wait assumed when queued tickets are refused
)

// Gate is the admission controller of one router for one pool of slots. It is not
// safe for concurrent use.
type Gate struct {
	slots        float64
	used         float64
	shortUsed    float64 // part of used that short answers hold
	virtualTime  float64 // virtual time of weighted fair queueing
	queued       int
	serviceTimes map[bool]serviceEstimate // by Ticket.ShortAnswer
	running      map[TicketID]runningTicket
	teams        map[ident.TeamID]*team
}

// runningTicket is an admitted ticket that has not ended.
type runningTicket struct {
	ticket  Ticket
	started time.Time
}

// New returns a gate without capacity; see SetCapacity.
func New() *Gate {
	return &Gate{
		serviceTimes: map[bool]serviceEstimate{false: {mean: initialServiceTime}, true: {mean: initialServiceTime}},
		running:      make(map[TicketID]runningTicket),
		teams:        make(map[ident.TeamID]*team),
	}
}

// SetCapacity sets the number of slots and returns the resulting decisions on
// queued tickets.
func (g *Gate) SetCapacity(now time.Time, slots float64) []Decision {
	g.slots = slots
	return g.admitWaiting(now, nil)
}

// Submit returns the decision on a new ticket, and the refusals of tickets that
// were shed for it.
func (g *Gate) Submit(now time.Time, t Ticket) (Decision, []Decision) {
	t.Cost = max(t.Cost, 1)
	t.Weight = max(t.Weight, 1)
	m := g.ensureTeam(t.Team)
	m.weight = weight(t)
	if wait := m.bucket.take(now, t.Rate, t.Burst); wait > 0 {
		return Refuse{Ticket: t.ID, Reason: ReasonRateLimit, RetryAfter: wait}, nil
	}
	if g.queued == 0 && g.fits(t) && now.Before(t.Deadline) {
		g.admit(now, m, t)
		return Admit{Ticket: t.ID}, nil
	}
	ahead := m.costAhead(t)
	wait := g.expectedWait(m, ahead)
	if g.missesDeadline(now, wait, t) || ahead > 0 && g.likelyMissesDeadline(now, wait, t) {
		return g.refuse(m, t, ReasonDeadline), nil
	}
	if m.len() >= maxTeamQueued && !m.precedesLast(t) {
		return g.refuse(m, t, ReasonQueueFull), nil
	}
	position := m.push(t)
	g.queued++
	return Queue{Ticket: t.ID, Position: position, ExpectedWait: wait}, g.shed(m)
}

// Done ends a ticket, running or queued, and returns the resulting decisions on
// queued tickets.
func (g *Gate) Done(now time.Time, id TicketID) []Decision {
	r, ok := g.running[id]
	if !ok {
		g.removeQueued(id)
		return g.admitWaiting(now, nil)
	}
	delete(g.running, id)
	g.adjustUsage(r.ticket, -1)
	took := now.Sub(r.started)
	estimate := g.serviceTimes[r.ticket.ShortAnswer]
	g.teams[r.ticket.Team].correctCharge(r.ticket.Cost * (took.Seconds()/estimate.mean.Seconds() - 1))
	g.serviceTimes[r.ticket.ShortAnswer] = estimate.update(took)
	return g.admitWaiting(now, nil)
}

// Tick refuses queued tickets that can no longer meet their deadline, then admits
// others, and returns these decisions.
func (g *Gate) Tick(now time.Time) []Decision {
	var decisions []Decision
	for _, m := range g.sortedTeams() {
		decisions = g.refuseLate(now, m, decisions)
	}
	return g.admitWaiting(now, decisions)
}

// Queued returns the number of queued tickets.
func (g *Gate) Queued() int { return g.queued }

// Running returns the number of admitted tickets that have not ended.
func (g *Gate) Running() int { return len(g.running) }

// fits reports whether enough slots are free for a ticket.
func (g *Gate) fits(t Ticket) bool {
	return g.used+t.Cost <= g.slots
}

// expectedService returns the ticket's own estimate of its service time, or the
// mean of its kind.
func (g *Gate) expectedService(t Ticket) time.Duration {
	if t.ServiceTime > 0 {
		return t.ServiceTime
	}
	return g.serviceTimes[t.ShortAnswer].mean
}

// missesDeadline reports whether a ticket that starts after wait and takes the
// expected service time misses its deadline.
func (g *Gate) missesDeadline(now time.Time, wait time.Duration, t Ticket) bool {
	return now.Add(wait + g.expectedService(t)).After(t.Deadline)
}

// likelyMissesDeadline reports whether a ticket that starts after wait may miss
// its deadline, given the variation of service times. It is not applied to the
// first ticket in a team's queue, since that team does not exceed its share.
func (g *Gate) likelyMissesDeadline(now time.Time, wait time.Duration, t Ticket) bool {
	return g.missesDeadline(now, wait+g.serviceTimes[t.ShortAnswer].headroom(), t)
}

// adjustUsage adds or subtracts the slots of a ticket, by sign.
func (g *Gate) adjustUsage(t Ticket, sign float64) {
	g.used += sign * t.Cost
	if t.ShortAnswer {
		g.shortUsed += sign * t.Cost
	}
}

// admit starts a ticket and charges its team.
func (g *Gate) admit(now time.Time, m *team, t Ticket) {
	g.virtualTime = m.charge(g.virtualTime, t.Cost)
	g.adjustUsage(t, 1)
	g.running[t.ID] = runningTicket{ticket: t, started: now}
}

// refuse returns a refusal and refunds the ticket's token, since it did not run.
func (g *Gate) refuse(m *team, t Ticket, reason Reason) Refuse {
	m.bucket.refund(t.Burst)
	return Refuse{Ticket: t.ID, Reason: reason, RetryAfter: g.retryAfter(m)}
}

// retryAfter returns the estimated time until the team's queue is empty, within
// the limits of a retry delay.
func (g *Gate) retryAfter(m *team) time.Duration {
	return min(max(g.expectedWait(m, m.queuedCost()), minRetryAfter), maxRetryAfter)
}
