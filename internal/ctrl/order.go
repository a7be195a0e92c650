package ctrl

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fence"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// stepOrders orders the endpoints of a zone that report another release than the
// configured one to load it. Only the zone's steward issues orders, with its
// term as the fencing token.
func (c *Control) stepOrders(now time.Time, zone ident.ZoneID, s *steward) []Action {
	until := s.machine.LeaseEnd()
	if !s.machine.HoldsLease(now) {
		until = time.Time{}
	}
	actions := c.translateFenceActions(s.orders.Step(now, fence.Lease{Term: s.machine.Term(), Until: until}))
	for _, e := range c.endpointsByZone[zone] {
		if e.matchesSpec || e.reportedAt.IsZero() || c.sharesAddress(e) {
			s.orders.Step(now, fence.Remove{Endpoint: e.spec.ID})
			continue
		}
		actions = append(actions, c.translateFenceActions(s.orders.Step(now, fence.SetDesired{
			Endpoint: e.spec.ID,
			Fenced:   e.spec.Fenced,
			State:    fence.State{Release: e.spec.Release, Loaded: true},
		}))...)
	}
	return actions
}

// sharesAddress reports whether the endpoint's address is declared more than
// once. Such an engine serves several releases, and operators manage which ones.
func (c *Control) sharesAddress(e *endpoint) bool {
	for _, other := range c.endpoints {
		if other != e && other.spec.Address == e.spec.Address {
			return true
		}
	}
	return false
}

func (c *Control) translateFenceActions(decided []fence.Action) []Action {
	var actions []Action
	for _, a := range decided {
		switch a := a.(type) {
		case fence.SendCommand:
			if e, ok := c.endpoints[a.Endpoint]; ok {
				actions = append(actions, SendOrder{Endpoint: e.spec, Send: a})
			}
		case fence.ReadState:
			if e, ok := c.endpoints[a.Endpoint]; ok {
				actions = append(actions, ReadOrder{Endpoint: e.spec})
			}
		case fence.Converged:
			actions = append(actions, LogEvent{Message: "endpoint loaded its release"})
		case fence.Superseded:
			actions = append(actions, LogEvent{Message: "endpoint rejected order with stale fencing token"})
		}
	}
	return actions
}

// applyOrderResult passes the outcome of an order to the zone's orders.
func (c *Control) applyOrderResult(now time.Time, id ident.EndpointID, e fence.Event) []Action {
	endpoint, ok := c.endpoints[id]
	if !ok {
		return nil
	}
	s, ok := c.stewards[endpoint.spec.Zone]
	if !ok {
		return nil
	}
	return c.translateFenceActions(s.orders.Step(now, e))
}

// SendOrder sends an order to an endpoint. Outcome: OrderResult.
type SendOrder struct {
	Endpoint *fleet.EndpointSpec
	Send     fence.SendCommand
}

// ReadOrder reads the last order that an endpoint accepted. Outcome:
// OrderResult.
type ReadOrder struct{ Endpoint *fleet.EndpointSpec }

// OrderResult is the outcome of SendOrder or ReadOrder: a fence.Answered or
// fence.Held event.
type OrderResult struct {
	Endpoint ident.EndpointID
	Event    fence.Event
}

func (SendOrder) action()  {}
func (ReadOrder) action()  {}
func (OrderResult) event() {}
