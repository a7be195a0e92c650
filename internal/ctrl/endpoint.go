package ctrl

import (
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// endpoint is what is known of a back end.
type endpoint struct {
	spec          *fleet.EndpointSpec
	phase         permit.PhaseDetector
	report        fleet.Report
	reported      time.Time
	asked         time.Time       // when report was asked for
	leaving       bool            // by its own word
	listedLeaving bool            // by the list of instances
	match         bool            // it serves what the configuration says
	shown         *fleet.Endpoint // as in the last view, to share what did not change
}

// syncEndpoints makes the endpoints those of the configuration in force.
func (c *Control) syncEndpoints() {
	for id, spec := range c.config.Endpoints {
		e, ok := c.endpoints[id]
		if !ok || e.spec.Address != spec.Address {
			e = &endpoint{match: true}
			c.endpoints[id] = e
		}
		e.spec = spec
	}
	for id := range c.endpoints {
		if _, ok := c.config.Endpoints[id]; !ok {
			delete(c.endpoints, id)
		}
	}
	c.sortZones()
}

// sortZones files the endpoints by availability zone.
func (c *Control) sortZones() {
	c.byZone = map[ident.ZoneID][]*endpoint{}
	for _, e := range c.endpoints {
		c.byZone[e.spec.Zone] = append(c.byZone[e.spec.Zone], e)
	}
	c.zones = make([]ident.ZoneID, 0, len(c.byZone))
	for zone := range c.byZone {
		c.zones = append(c.zones, zone)
	}
	sort.Slice(c.zones, func(i, j int) bool { return c.zones[i] < c.zones[j] })
}

func (c *Control) loaded(now time.Time, l Loaded) []Action {
	e, ok := c.endpoints[l.Endpoint]
	if !ok {
		return nil
	}
	if !e.reported.IsZero() && e.report.Boot != l.Load.Boot {
		c.recordBoot(now, l.Endpoint, e.report.Boot)
	}
	e.report = l.Load.Report
	e.reported = now
	e.asked = l.Asked
	e.leaving = l.Load.Leaving
	e.match = matches(e.spec, l.Load.Release, l.Load.Service)
	e.phase.Step(now, permit.ReportReceived{Requested: l.Asked, Report: l.Load.Report})
	return nil
}

// matches tells whether an endpoint serves what the configuration says; one
// that does not say is believed.
func matches(spec *fleet.EndpointSpec, release string, service ident.ServiceID) bool {
	if release != "" && spec.Service == "" {
		return release == spec.Release.String()
	}
	return service == "" || service == spec.Service
}

// recordBoot notes that an endpoint's life has ended; which bodies it ran is
// known to the routers that ran them.
func (c *Control) recordBoot(now time.Time, id ident.EndpointID, boot string) {
	c.deaths.Record(now, poison.Boot{Endpoint: id, Boot: boot}, nil)
}

func (c *Control) loadFailed(now time.Time, id ident.EndpointID) {
	if e, ok := c.endpoints[id]; ok {
		e.phase.Step(now, permit.ConnectionFailed{})
	}
}

func (e *endpoint) pass(now time.Time) {
	e.phase.Step(now, permit.TimeElapsed{})
}

// attempted learns from the end of an attempt.
func (c *Control) attempted(now time.Time, a Attempted) []Action {
	if e, ok := c.endpoints[a.Endpoint]; ok {
		if a.Died {
			e.phase.Step(now, permit.ConnectionFailed{RunInterrupted: true})
		} else if a.Latency > 0 && a.Expected > 0 {
			e.phase.Step(now, permit.FirstToken{Latency: a.Latency, Expected: a.Expected})
		}
	}
	if view, ok := c.look(now, a.Release.Model); ok && a.Counts {
		c.evidence.Record(now, c.source, view, a.Team, a.Release, a.Outcome)
	}
	if !a.Died {
		return nil
	}
	c.changed = true
	return c.urgent()
}

// colds gives the endpoints that this router takes for cold against their word.
func (c *Control) colds(now time.Time) []Cold {
	var colds []Cold
	for id, e := range c.endpoints {
		if mark, ok := e.phase.Mark(now); ok {
			colds = append(colds, Cold{Endpoint: id, Mark: mark})
		}
	}
	return colds
}

func (c *Control) heedColds(now time.Time, colds []Cold) {
	for _, cold := range colds {
		if e, ok := c.endpoints[cold.Endpoint]; ok {
			e.phase.Step(now, cold.Mark)
		}
	}
}

// endClaim takes in the end of a claimed run, and spreads a death at once.
func (c *Control) endClaim(now time.Time, ended poison.Ended) []Action {
	c.home.End(now, ended)
	if ended.Died == nil {
		return nil
	}
	c.changed = true
	return c.urgent()
}
