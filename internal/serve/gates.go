package serve

import (
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/admit"
	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// overcommit lets a router admit more than its even share of the slots, as
	// the routers' loads are never even; endpoints' own limits bound the rest.
	overcommit = 2.0
	// minSlots lets a router admit some requests whatever its share.
	minSlots = 4.0
)

// Gates admits requests: one gate for all model engines, and one for each
// plain service. It is safe for use by many goroutines.
type Gates struct {
	lock    sync.Mutex
	gates   map[ident.ServiceID]*admit.Gate // model engines under ""
	waiting map[admit.TicketID]chan<- admit.Decision
	serial  admit.TicketID
}

// Ticket names a request at its gate.
type Ticket struct {
	pool ident.ServiceID
	id   admit.TicketID
}

// NewGates gives gates without capacity; see Refresh.
func NewGates() *Gates {
	return &Gates{
		gates:   map[ident.ServiceID]*admit.Gate{},
		waiting: map[admit.TicketID]chan<- admit.Decision{},
	}
}

// Refresh sets the capacities from a view, and settles waiting requests.
func (g *Gates) Refresh(now time.Time, view *ctrl.View) {
	slots := map[ident.ServiceID]float64{"": 0}
	for _, e := range view.Endpoints {
		slots[e.Spec.Service] += usable(view.Snapshot, e)
	}
	share := overcommit / float64(max(1, len(view.Routers)))
	g.lock.Lock()
	defer g.lock.Unlock()
	for pool, n := range slots {
		g.deliver(g.gate(pool).SetCapacity(now, max(minSlots, n*share)))
		g.deliver(g.gate(pool).Tick(now))
	}
}

// Ask asks for a request's admission. The final verdict comes at once or on
// the channel.
func (g *Gates) Ask(now time.Time, pool ident.ServiceID, t admit.Ticket) (Ticket, admit.Decision, <-chan admit.Decision) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.serial++
	t.ID = g.serial
	verdict, others := g.gate(pool).Submit(now, t)
	g.deliver(others)
	name := Ticket{pool: pool, id: t.ID}
	if _, queued := verdict.(admit.Queue); !queued {
		return name, verdict, nil
	}
	later := make(chan admit.Decision, 1)
	g.waiting[t.ID] = later
	return name, nil, later
}

// Done ends a ticket; the zero ticket is none.
func (g *Gates) Done(now time.Time, t Ticket) {
	if t.id == 0 {
		return
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	delete(g.waiting, t.id)
	g.deliver(g.gate(t.pool).Done(now, t.id))
}

func (g *Gates) gate(pool ident.ServiceID) *admit.Gate {
	gate, ok := g.gates[pool]
	if !ok {
		gate = admit.New()
		g.gates[pool] = gate
	}
	return gate
}

// deliver hands verdicts to the requests that wait for them.
func (g *Gates) deliver(verdicts []admit.Decision) {
	for _, v := range verdicts {
		id, final := ticketOf(v)
		if later, ok := g.waiting[id]; ok && final {
			delete(g.waiting, id)
			later <- v
		}
	}
}

func ticketOf(v admit.Decision) (id admit.TicketID, final bool) {
	switch v := v.(type) {
	case admit.Admit:
		return v.Ticket, true
	case admit.Refuse:
		return v.Ticket, true
	default:
		return 0, false
	}
}

// usable gives the slots of an endpoint that new work may use.
func usable(s *fleet.Snapshot, e *fleet.Endpoint) float64 {
	if e.Leaving || s.ZoneOut(e.Spec.Zone) {
		return 0
	}
	switch e.Phase {
	case fleet.PhaseWarm:
		return float64(e.Spec.Slots)
	case fleet.PhaseCold:
		return float64(e.Spec.ColdSlots)
	default:
		return 0
	}
}

// admit asks for the run's admission.
func (r *run) admit() []flow.Event {
	team := r.request.Team
	now := r.server.Now()
	name, verdict, later := r.server.Gates.Ask(now, r.request.Service, admit.Ticket{
		Team:        team.ID,
		Priority:    team.Priority,
		Weight:      team.Weight,
		Rate:        team.Rate,
		Burst:       team.Burst,
		Deadline:    r.request.Deadline,
		ShortAnswer: r.request.ShortAnswer,
	})
	r.ticket = name
	if verdict != nil {
		return []flow.Event{admission(verdict)}
	}
	r.ask(func() flow.Event {
		select {
		case v := <-later:
			return admission(v)
		case <-r.over:
			return flow.Denied{}
		}
	})
	return nil
}

// admission translates a final verdict.
func admission(v admit.Decision) flow.Event {
	refuse, refused := v.(admit.Refuse)
	if !refused {
		return flow.Admitted{}
	}
	return flow.Denied{Refusal: flow.Refusal{
		Code:       admissionCode(refuse.Reason),
		Message:    "not admitted: " + string(refuse.Reason),
		Ran:        flow.RanNo,
		RetryAfter: refuse.RetryAfter,
	}}
}

func admissionCode(reason admit.Reason) flow.Code {
	if reason == admit.ReasonRateLimit {
		return flow.CodeRateLimited
	}
	return flow.CodeOverloaded
}
