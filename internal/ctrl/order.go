package ctrl

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fence"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// order has a zone's engines load the release that the configuration declares,
// where they report another one. Only the zone's steward gives orders, with its
// term as fencing number.
func (c *Control) order(now time.Time, zone ident.ZoneID, s *steward) []Action {
	until := s.machine.LeaseEnd()
	if !s.machine.HoldsLease(now) {
		until = time.Time{}
	}
	actions := c.fenceActions(s.orders.Step(now, fence.Lease{Term: s.machine.Term(), Until: until}))
	for _, e := range c.byZone[zone] {
		if e.match || e.reported.IsZero() || c.shared(e) {
			s.orders.Step(now, fence.Drop{Endpoint: e.spec.ID})
			continue
		}
		actions = append(actions, c.fenceActions(s.orders.Step(now, fence.Want{
			Endpoint: e.spec.ID,
			Fenced:   e.spec.Fenced,
			State:    fence.State{Release: e.spec.Release, Loaded: true},
		}))...)
	}
	return actions
}

// shared tells whether the endpoint's address is declared more than once; such
// an engine serves several releases, and which is for operators to say.
func (c *Control) shared(e *endpoint) bool {
	for _, other := range c.endpoints {
		if other != e && other.spec.Address == e.spec.Address {
			return true
		}
	}
	return false
}

func (c *Control) fenceActions(decided []fence.Action) []Action {
	var actions []Action
	for _, a := range decided {
		switch a := a.(type) {
		case fence.Send:
			if e, ok := c.endpoints[a.Endpoint]; ok {
				actions = append(actions, SendOrder{Endpoint: e.spec, Send: a})
			}
		case fence.Read:
			if e, ok := c.endpoints[a.Endpoint]; ok {
				actions = append(actions, ReadOrder{Endpoint: e.spec})
			}
		case fence.Settled:
			actions = append(actions, Note{Message: "endpoint holds its release"})
		case fence.Fenced:
			actions = append(actions, Note{Message: "endpoint refused an order of an old term"})
		}
	}
	return actions
}

// ordered hands an endpoint's answer to the zone's orders.
func (c *Control) ordered(now time.Time, id ident.EndpointID, e fence.Event) []Action {
	endpoint, ok := c.endpoints[id]
	if !ok {
		return nil
	}
	s, ok := c.stewards[endpoint.spec.Zone]
	if !ok {
		return nil
	}
	return c.fenceActions(s.orders.Step(now, e))
}

// SendOrder sends an order to an endpoint: Ordered.
type SendOrder struct {
	Endpoint *fleet.EndpointSpec
	Send     fence.Send
}

// ReadOrder reads the order that an endpoint took last: Ordered.
type ReadOrder struct{ Endpoint *fleet.EndpointSpec }

// Ordered brings what came of SendOrder or ReadOrder: fence.Answered or
// fence.Held.
type Ordered struct {
	Endpoint ident.EndpointID
	Event    fence.Event
}

func (SendOrder) action() {}
func (ReadOrder) action() {}
func (Ordered) event()    {}
