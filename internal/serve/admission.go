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
	// overcommit is the factor by which a router may exceed its equal share of the
	// slots, since load is not spread equally over routers. Endpoints enforce their
	// own limits.
	overcommit = 2.0
	// minSlots is the lowest capacity of a gate, however small the router's share.
	minSlots = 4.0
)

// AdmissionGates controls admission, with one gate for all model engines and one
// for each service that is not a model. It is safe for concurrent use.
type AdmissionGates struct {
	lock       sync.Mutex
	gates      map[ident.ServiceID]*admit.Gate // key "" for model engines
	queued     map[admit.TicketID]chan<- admit.Decision
	lastTicket admit.TicketID
}

// Ticket identifies a request at its gate.
type Ticket struct {
	pool ident.ServiceID
	id   admit.TicketID
}

// NewAdmissionGates returns gates without capacity, which Refresh sets.
func NewAdmissionGates() *AdmissionGates {
	return &AdmissionGates{
		gates:  map[ident.ServiceID]*admit.Gate{},
		queued: map[admit.TicketID]chan<- admit.Decision{},
	}
}

// Refresh sets the capacities from a view and decides queued requests.
func (g *AdmissionGates) Refresh(now time.Time, view *ctrl.View) {
	slots := map[ident.ServiceID]float64{"": 0}
	for _, e := range view.Endpoints {
		slots[e.Spec.Service] += usableSlots(view.Snapshot, e)
	}
	share := overcommit / float64(max(1, len(view.Routers)))
	g.lock.Lock()
	defer g.lock.Unlock()
	for pool, n := range slots {
		g.deliver(g.gate(pool).SetCapacity(now, max(minSlots, n*share)))
		g.deliver(g.gate(pool).Tick(now))
	}
}

// Submit submits a request for admission. The final decision is returned, or sent
// on the channel if the request is queued.
func (g *AdmissionGates) Submit(now time.Time, pool ident.ServiceID, t admit.Ticket) (Ticket, admit.Decision, <-chan admit.Decision) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.lastTicket++
	t.ID = g.lastTicket
	decision, others := g.gate(pool).Submit(now, t)
	g.deliver(others)
	ticket := Ticket{pool: pool, id: t.ID}
	if _, isQueued := decision.(admit.Queue); !isQueued {
		return ticket, decision, nil
	}
	decided := make(chan admit.Decision, 1)
	g.queued[t.ID] = decided
	return ticket, nil, decided
}

// Done releases a ticket. The zero ticket is ignored.
func (g *AdmissionGates) Done(now time.Time, t Ticket) {
	if t.id == 0 {
		return
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	delete(g.queued, t.id)
	g.deliver(g.gate(t.pool).Done(now, t.id))
}

func (g *AdmissionGates) gate(pool ident.ServiceID) *admit.Gate {
	gate, ok := g.gates[pool]
	if !ok {
		gate = admit.New()
		g.gates[pool] = gate
	}
	return gate
}

// deliver sends final decisions to the queued requests.
func (g *AdmissionGates) deliver(decisions []admit.Decision) {
	for _, d := range decisions {
		id, final := ticketOf(d)
		if decided, ok := g.queued[id]; ok && final {
			delete(g.queued, id)
			decided <- d
		}
	}
}

func ticketOf(decision admit.Decision) (id admit.TicketID, final bool) {
	switch d := decision.(type) {
	case admit.Admit:
		return d.Ticket, true
	case admit.Refuse:
		return d.Ticket, true
	default:
		return 0, false
	}
}

// usableSlots returns the number of slots of an endpoint available to new work.
func usableSlots(s *fleet.Snapshot, e *fleet.Endpoint) float64 {
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

// admit submits the request for admission.
func (r *run) admit() []flow.Event {
	team := r.request.Team
	now := r.server.Now()
	ticket, decision, decided := r.server.Gates.Submit(now, r.request.Service, admit.Ticket{
		Team:        team.ID,
		Priority:    team.Priority,
		Weight:      team.Weight,
		Rate:        team.Rate,
		Burst:       team.Burst,
		Deadline:    r.request.Deadline,
		ShortAnswer: r.request.ShortAnswer,
	})
	r.ticket = ticket
	if decision != nil {
		return []flow.Event{admissionEvent(decision)}
	}
	r.runAsync(func() flow.Event {
		select {
		case d := <-decided:
			return admissionEvent(d)
		case <-r.done:
			return flow.Denied{}
		}
	})
	return nil
}

// admissionEvent returns the event for a final decision.
func admissionEvent(decision admit.Decision) flow.Event {
	refuse, refused := decision.(admit.Refuse)
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
