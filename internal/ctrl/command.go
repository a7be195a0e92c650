package ctrl

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fence"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// reconcileZone returns the commands for the endpoints of a zone that report
// another release than the configured one, to load it. Only the zone's steward
// sends commands, with its term as the fencing token.
func (c *Control) reconcileZone(now time.Time, zone ident.ZoneID, s *steward) []Action {
	until := s.machine.LeaseEnd()
	if !s.machine.HoldsLease(now) {
		until = time.Time{}
	}
	actions := c.translateFenceActions(s.reconciler.Step(now, fence.Lease{Term: s.machine.Term(), Until: until}))
	for _, e := range c.endpointsByZone[zone] {
		if e.matchesSpec || e.reportedAt.IsZero() || c.sharesAddress(e) {
			s.reconciler.Step(now, fence.Remove{Endpoint: e.spec.ID})
			continue
		}
		actions = append(actions, c.translateFenceActions(s.reconciler.Step(now, fence.SetDesired{
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
				actions = append(actions, SendCommand{Endpoint: e.spec, Command: a})
			}
		case fence.ReadState:
			if e, ok := c.endpoints[a.Endpoint]; ok {
				actions = append(actions, ReadCommand{Endpoint: e.spec})
			}
		case fence.Converged:
			actions = append(actions, LogEvent{Message: "endpoint loaded its release"})
		case fence.Superseded:
			actions = append(actions, LogEvent{Message: "endpoint rejected command with stale fencing token"})
		}
	}
	return actions
}

// applyCommandResult passes the outcome of a command to the zone's reconciler.
func (c *Control) applyCommandResult(now time.Time, id ident.EndpointID, e fence.Event) []Action {
	endpoint, ok := c.endpoints[id]
	if !ok {
		return nil
	}
	s, ok := c.stewards[endpoint.spec.Zone]
	if !ok {
		return nil
	}
	return c.translateFenceActions(s.reconciler.Step(now, e))
}

// SendCommand sends a command to an endpoint. Outcome: CommandResult.
type SendCommand struct {
	Endpoint *fleet.EndpointSpec
	Command  fence.SendCommand
}

// ReadCommand reads the last command that an endpoint accepted. Outcome:
// CommandResult.
type ReadCommand struct{ Endpoint *fleet.EndpointSpec }

// CommandResult is the outcome of SendCommand or ReadCommand: a
// fence.CommandResult or fence.Observed event.
type CommandResult struct {
	Endpoint ident.EndpointID
	Event    fence.Event
}

func (SendCommand) action()  {}
func (ReadCommand) action()  {}
func (CommandResult) event() {}
