package admit

import (
	"math"
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// priorityFactor is what one step of priority multiplies a team's weight by.
const priorityFactor = 4

// team holds one team's waiting tickets, the first to go at the front.
type team struct {
	id     ident.TeamID
	weight float64
	tag    float64 // virtual time up to which its share is used
	bucket bucket
	queue  []Ticket
}

// weight is the ticket's weight under contention. Priority multiplies it
// instead of going strictly first, so that no team can starve another.
func weight(t Ticket) float64 {
	steps := min(max(t.Priority, fleet.PriorityBatch), fleet.PriorityUrgent)
	return float64(t.Weight) * math.Pow(priorityFactor, float64(steps))
}

func (m *team) len() int     { return len(m.queue) }
func (m *team) head() Ticket { return m.queue[0] }
func (m *team) last() Ticket { return m.queue[len(m.queue)-1] }

// ahead is the cost of the tickets that a new one would wait for.
func (m *team) ahead(t Ticket) float64 {
	sum := 0.0
	for _, w := range m.queue[:m.place(t)] {
		sum += w.Cost
	}
	return sum
}

func (m *team) cost() float64 {
	sum := 0.0
	for _, w := range m.queue {
		sum += w.Cost
	}
	return sum
}

// place is where a new ticket belongs: after all that do not come after it.
func (m *team) place(t Ticket) int {
	return sort.Search(len(m.queue), func(i int) bool { return precedes(t, m.queue[i]) })
}

func (m *team) push(t Ticket) int {
	i := m.place(t)
	m.queue = append(m.queue, Ticket{})
	copy(m.queue[i+1:], m.queue[i:])
	m.queue[i] = t
	return i
}

func (m *team) evicts(t Ticket) bool {
	return precedes(t, m.last())
}

func (m *team) remove(id TicketID) bool {
	for i, w := range m.queue {
		if w.ID == id {
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			return true
		}
	}
	return false
}

// charge takes a cost from the team's share, and gives the new virtual time.
func (m *team) charge(virtual, cost float64) float64 {
	start := max(virtual, m.tag)
	m.tag = start + cost/m.weight
	return start
}

// settle corrects a charge by what the ticket cost beyond the estimate.
func (m *team) settle(cost float64) {
	m.tag += cost / m.weight
}

// precedes orders the tickets of a team; equal ones keep their order.
func precedes(a, b Ticket) bool {
	if a.ShortAnswer != b.ShortAnswer {
		return a.ShortAnswer
	}
	return a.Priority > b.Priority
}

// bucket is a token bucket over a team's requests.
type bucket struct {
	tokens float64
	last   time.Time
}

// take takes a token, or gives the time until there is one.
func (b *bucket) take(now time.Time, rate float64, burst int) time.Duration {
	if rate <= 0 {
		return 0
	}
	size := float64(max(burst, 1))
	if b.last.IsZero() {
		b.tokens, b.last = size, now
	}
	if now.After(b.last) {
		b.tokens = math.Min(size, b.tokens+now.Sub(b.last).Seconds()*rate)
		b.last = now
	}
	if b.tokens < 1 {
		return time.Duration((1 - b.tokens) / rate * float64(time.Second))
	}
	b.tokens--
	return 0
}

func (b *bucket) refund(burst int) {
	b.tokens = math.Min(b.tokens+1, float64(max(burst, 1)))
}
