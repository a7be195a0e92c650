package admit

import (
	"math"
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// priorityFactor multiplies a team's weight for each step of priority.
const priorityFactor = 4

// team holds the queued tickets of one team, the next one first.
type team struct {
	id            ident.TeamID
	weight        float64
	virtualFinish float64 // virtual time at which its admitted work is finished
	bucket        tokenBucket
	queue         []Ticket
}

// weight returns the ticket's weight under contention. Priority multiplies the
// weight instead of taking strict precedence, so that no team can starve another.
func weight(t Ticket) float64 {
	steps := min(max(t.Priority, fleet.PriorityBatch), fleet.PriorityUrgent)
	return float64(t.Weight) * math.Pow(priorityFactor, float64(steps))
}

func (m *team) len() int     { return len(m.queue) }
func (m *team) head() Ticket { return m.queue[0] }
func (m *team) last() Ticket { return m.queue[len(m.queue)-1] }

// costAhead returns the cost of the tickets that would precede t in the queue.
func (m *team) costAhead(t Ticket) float64 {
	sum := 0.0
	for _, w := range m.queue[:m.position(t)] {
		sum += w.Cost
	}
	return sum
}

// queuedCost returns the cost of all queued tickets.
func (m *team) queuedCost() float64 {
	sum := 0.0
	for _, w := range m.queue {
		sum += w.Cost
	}
	return sum
}

// position returns the index at which t is inserted, after tickets of equal rank.
func (m *team) position(t Ticket) int {
	return sort.Search(len(m.queue), func(i int) bool { return precedesTicket(t, m.queue[i]) })
}

// push queues a ticket and returns its position.
func (m *team) push(t Ticket) int {
	i := m.position(t)
	m.queue = append(m.queue, Ticket{})
	copy(m.queue[i+1:], m.queue[i:])
	m.queue[i] = t
	return i
}

// precedesLast reports whether t goes before the last queued ticket.
func (m *team) precedesLast(t Ticket) bool {
	return precedesTicket(t, m.last())
}

// remove removes a queued ticket and reports whether it was queued.
func (m *team) remove(id TicketID) bool {
	for i, w := range m.queue {
		if w.ID == id {
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			return true
		}
	}
	return false
}

// charge advances the team's virtual finish time by a cost and returns the new
// virtual time of the gate.
func (m *team) charge(virtual, cost float64) float64 {
	start := max(virtual, m.virtualFinish)
	m.virtualFinish = start + cost/m.weight
	return start
}

// correctCharge adds the cost of a ticket beyond its estimate.
func (m *team) correctCharge(cost float64) {
	m.virtualFinish += cost / m.weight
}

// precedesTicket reports whether a goes before b in a team's queue. Tickets of
// equal rank keep their order.
func precedesTicket(a, b Ticket) bool {
	if a.ShortAnswer != b.ShortAnswer {
		return a.ShortAnswer
	}
	return a.Priority > b.Priority
}

// tokenBucket limits the rate of a team's requests.
type tokenBucket struct {
	tokens   float64
	refilled time.Time
}

// take removes a token and returns 0, or returns the time until one is available.
func (b *tokenBucket) take(now time.Time, rate float64, burst int) time.Duration {
	if rate <= 0 {
		return 0
	}
	size := float64(max(burst, 1))
	if b.refilled.IsZero() {
		b.tokens, b.refilled = size, now
	}
	if now.After(b.refilled) {
		b.tokens = math.Min(size, b.tokens+now.Sub(b.refilled).Seconds()*rate)
		b.refilled = now
	}
	if b.tokens < 1 {
		return time.Duration((1 - b.tokens) / rate * float64(time.Second))
	}
	b.tokens--
	return 0
}

// refund returns a token.
func (b *tokenBucket) refund(burst int) {
	b.tokens = math.Min(b.tokens+1, float64(max(burst, 1)))
}
