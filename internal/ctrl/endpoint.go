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
	spec           *fleet.EndpointSpec
	phase          permit.Phase
	report         fleet.Report
	reportedAt     time.Time
	requestedAt    time.Time       // when report was asked for
	reportsLeaving bool            // by its own word
	listedLeaving  bool            // by the list of instances
	matchesSpec    bool            // it serves what the configuration says
	published      *fleet.Endpoint // as in the last view, to share what did not change
}

// syncEndpoints makes the endpoints those of the configuration in force.
func (c *Control) syncEndpoints() {
	for id, spec := range c.config.Endpoints {
		e, ok := c.endpoints[id]
		if !ok || e.spec.Address != spec.Address {
			e = &endpoint{matchesSpec: true}
			c.endpoints[id] = e
		}
		e.spec = spec
	}
	for id := range c.endpoints {
		if _, ok := c.config.Endpoints[id]; !ok {
			delete(c.endpoints, id)
		}
	}
	c.indexZones()
}

// sortZones files the endpoints by availability zone.
func (c *Control) indexZones() {
	c.endpointsByZone = map[ident.ZoneID][]*endpoint{}
	for _, e := range c.endpoints {
		c.endpointsByZone[e.spec.Zone] = append(c.endpointsByZone[e.spec.Zone], e)
	}
	c.zones = make([]ident.ZoneID, 0, len(c.endpointsByZone))
	for zone := range c.endpointsByZone {
		c.zones = append(c.zones, zone)
	}
	sort.Slice(c.zones, func(i, j int) bool { return c.zones[i] < c.zones[j] })
}

func (c *Control) applyLoadReport(now time.Time, l LoadReported) []Action {
	e, ok := c.endpoints[l.Endpoint]
	if !ok {
		return nil
	}
	if !e.reportedAt.IsZero() && e.report.Boot != l.Load.Boot {
		c.recordDeath(now, l.Endpoint, e.report.Boot)
	}
	e.report = l.Load.Report
	e.reportedAt = now
	e.requestedAt = l.RequestedAt
	e.reportsLeaving = l.Load.Leaving
	e.matchesSpec = servesDeclared(e.spec, l.Load.Release, l.Load.Service)
	e.phase.Step(now, permit.Reported{Asked: l.RequestedAt, Report: l.Load.Report})
	return nil
}

// matches tells whether an endpoint serves what the configuration says; one
// that does not say is believed.
func servesDeclared(spec *fleet.EndpointSpec, release string, service ident.ServiceID) bool {
	if release != "" && spec.Service == "" {
		return release == spec.Release.String()
	}
	return service == "" || service == spec.Service
}

// recordBoot notes that an endpoint's life has ended; which bodies it ran is
// known to the routers that ran them.
func (c *Control) recordDeath(now time.Time, id ident.EndpointID, boot string) {
	c.deaths.Record(now, poison.Boot{Endpoint: id, Boot: boot}, nil)
}

func (c *Control) loadPollFailed(now time.Time, id ident.EndpointID) {
	if e, ok := c.endpoints[id]; ok {
		e.phase.Step(now, permit.Broke{})
	}
}

func (e *endpoint) advancePhase(now time.Time) {
	e.phase.Step(now, permit.Passed{})
}

// attempted learns from the end of an attempt.
func (c *Control) recordAttempt(now time.Time, a AttemptEnded) []Action {
	if e, ok := c.endpoints[a.Endpoint]; ok {
		if a.ConnectionBroken {
			e.phase.Step(now, permit.Broke{Ran: true})
		} else if a.Latency > 0 && a.ExpectedLatency > 0 {
			e.phase.Step(now, permit.Answered{Latency: a.Latency, Expected: a.ExpectedLatency})
		}
	}
	if view, ok := c.rolloutView(now, a.Release.Model); ok && a.IsEvidence {
		c.evidence.Record(now, c.source, view, a.Team, a.Release, a.Outcome)
	}
	if !a.ConnectionBroken {
		return nil
	}
	c.viewDirty = true
	return c.scheduleUrgent()
}

// colds gives the endpoints that this router takes for cold against their word.
func (c *Control) coldMarks(now time.Time) []ColdMark {
	var colds []ColdMark
	for id, e := range c.endpoints {
		if mark, ok := e.phase.Mark(now); ok {
			colds = append(colds, ColdMark{Endpoint: id, Mark: mark})
		}
	}
	return colds
}

func (c *Control) applyColdMarks(now time.Time, colds []ColdMark) {
	for _, cold := range colds {
		if e, ok := c.endpoints[cold.Endpoint]; ok {
			e.phase.Step(now, cold.Mark)
		}
	}
}

// endClaim takes in the end of a claimed run, and spreads a death at once.
func (c *Control) endClaim(now time.Time, ended poison.Ended) []Action {
	c.claims.End(now, ended)
	if ended.Died == nil {
		return nil
	}
	c.viewDirty = true
	return c.scheduleUrgent()
}
