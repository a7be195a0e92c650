package ctrl

import (
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// endpoint is the observed state of a back end.
type endpoint struct {
	spec           *fleet.EndpointSpec
	phase          permit.PhaseDetector
	report         fleet.Report
	reportedAt     time.Time
	requestedAt    time.Time       // when report was requested
	reportsLeaving bool            // according to its report
	listedLeaving  bool            // according to the list of instances
	matchesSpec    bool            // it serves what spec declares
	published      *fleet.Endpoint // snapshot in the last view, reused while unchanged
}

// syncEndpoints adds and removes endpoints to match the configuration in force.
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

// indexZones rebuilds the index of endpoints by availability zone.
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
	var actions []Action
	if !e.reportedAt.IsZero() && e.report.Boot != l.Load.Boot {
		c.crashes.RecordLife(now, poison.Incarnation{Endpoint: l.Endpoint, BootID: e.report.Boot}, e.requestedAt)
		actions = c.recordCrash(now, l.Endpoint, e.report.Boot)
	}
	if l.Load.Boot != "" && c.parts.RecordLife(poison.Incarnation{Endpoint: l.Endpoint, BootID: l.Load.Boot}, l.RequestedAt) {
		c.viewDirty = true // connections broke, but the endpoint has not crashed
	}
	e.report = l.Load.Report
	e.reportedAt = now
	e.requestedAt = l.RequestedAt
	e.reportsLeaving = l.Load.Leaving
	e.matchesSpec = servesDeclared(e.spec, l.Load.Release, l.Load.Service)
	e.phase.Step(now, permit.ReportReceived{Requested: l.RequestedAt, Report: l.Load.Report})
	return actions
}

// servesDeclared reports whether an endpoint reports the release or service that
// spec declares. An endpoint that reports neither is assumed to serve it.
func servesDeclared(spec *fleet.EndpointSpec, release string, service ident.ServiceID) bool {
	if release != "" && spec.Service == "" {
		return release == spec.Release.String()
	}
	return service == "" || service == spec.Service
}

// recordCrash records that an endpoint process has ended. It names no suspected
// request bodies: only the routers that sent them know them.
func (c *Control) recordCrash(now time.Time, id ident.EndpointID, boot string) []Action {
	crash := poison.Incarnation{Endpoint: id, BootID: boot}
	c.crashes.Record(now, crash, nil)
	c.parts.Confirm(now, func(i poison.Incarnation) bool { return i == crash })
	return c.settleWithdrawnRuns(now, crash)
}

// recordWithdrawnRun keeps a run that nobody waits for, in case that its endpoint crashes.
func (c *Control) recordWithdrawnRun(now time.Time, r poison.RunEnd) []Action {
	c.withdrawnRuns.Add(now, r)
	return c.settleWithdrawnRuns(now, r.Incarnation)
}

// settleWithdrawnRuns counts the runs that were withdrawn from an endpoint against their
// bodies if it has crashed. A crash that they may have caused is propagated immediately.
func (c *Control) settleWithdrawnRuns(now time.Time, i poison.Incarnation) []Action {
	at, crashed := c.crashes.CrashTime(i)
	if !crashed {
		return nil
	}
	broken := c.withdrawnRuns.TakeCrashed(now, i, at)
	for _, r := range broken {
		c.crashes.Record(now, i, []ident.Fingerprint{r.Fingerprint})
		c.parts.Observe(now, r)
	}
	if len(broken) == 0 {
		return nil
	}
	c.viewDirty = true
	return c.scheduleUrgent()
}

func (c *Control) loadPollFailed(now time.Time, id ident.EndpointID) {
	if e, ok := c.endpoints[id]; ok {
		e.phase.Step(now, permit.ConnectionFailed{})
	}
}

func (e *endpoint) advancePhase(now time.Time) {
	e.phase.Step(now, permit.TimeElapsed{})
}

// recordAttempt updates the endpoint's phase and the roll-out evidence with the
// result of an attempt.
func (c *Control) recordAttempt(now time.Time, a AttemptEnded) []Action {
	if e, ok := c.endpoints[a.Endpoint]; ok {
		if a.ConnectionBroken {
			e.phase.Step(now, permit.ConnectionFailed{RunInterrupted: true})
		} else if a.Latency > 0 && a.ExpectedLatency > 0 {
			e.phase.Step(now, permit.FirstToken{Latency: a.Latency, Expected: a.ExpectedLatency})
		}
	}
	if comparison, ok := c.rolloutComparison(now, a.Release.Model); ok && a.IsEvidence {
		c.evidence.RecordOutcome(now, c.source, comparison, a.Team, a.Release, a.Outcome)
	}
	if a.Run.Broke || a.Run.Complete {
		c.parts.Observe(now, a.Run)
	}
	if a.Run.Complete {
		c.withdrawnRuns.Answered(a.Run)
	}
	if !a.ConnectionBroken {
		return nil
	}
	c.viewDirty = true
	return c.scheduleUrgent()
}

// exonerate clears the bodies that ran beside a prompt with a part that crashes
// endpoints.
func (c *Control) exonerate(now time.Time) {
	for _, i := range c.parts.Explained(now) {
		c.crashes.Exonerate(now, i)
	}
}

// coldMarks returns the marks of the endpoints that this router treats as cold
// although they report to be warm.
func (c *Control) coldMarks(now time.Time) []ColdMark {
	var marks []ColdMark
	for id, e := range c.endpoints {
		if mark, ok := e.phase.Mark(now); ok {
			marks = append(marks, ColdMark{Endpoint: id, Mark: mark})
		}
	}
	return marks
}

func (c *Control) applyColdMarks(now time.Time, marks []ColdMark) {
	for _, m := range marks {
		if e, ok := c.endpoints[m.Endpoint]; ok {
			e.phase.Step(now, m.Mark)
		}
	}
}

// endClaim ends a claimed run. A crash of the endpoint is propagated immediately.
func (c *Control) endClaim(now time.Time, ended poison.ClaimEnd) []Action {
	c.claims.End(now, ended)
	if ended.Crashed == nil {
		return nil
	}
	c.viewDirty = true
	return append(c.settleWithdrawnRuns(now, *ended.Crashed), c.scheduleUrgent()...)
}
