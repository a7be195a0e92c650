package relay

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/pass"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
	"go.uber.org/zap"
)

// placeAttempt chooses the endpoint of an attempt. If no endpoint of a version on
// trial can take it, for instance because it has just failed the request, an
// endpoint of the stable version is chosen.
func (c *call) placeAttempt(p pass.SelectEndpoint) {
	now := c.server.clock()
	view := c.server.control.View()
	version := c.server.control.SelectVersion(now, view, c.request.Service, c.request.Seed, c.sessionKey())
	request := c.placementRequest(now, p.Model, p.Exclude)
	sites, endpoints := c.candidateSites(now, view, version)
	pick := c.server.tempo.Choose(now, sites, request, c.server.loads, c.server.prefixes)
	if pick.Index < 0 && view.IsRolloutTarget(c.request.Service, version) {
		sites, endpoints = c.candidateSites(now, view, view.StableVersion(c.request.Service))
		pick = c.server.tempo.Choose(now, sites, request, c.server.loads, c.server.prefixes)
	}
	if pick.Index < 0 {
		c.step(pass.NoEndpoint{Attempt: p.Attempt, RetryAfter: pick.RetryAfter, TooLate: pick.TooLate})
		return
	}
	e := endpoints[pick.Index]
	c.log("placed", zap.Int("attempt", int(p.Attempt)), zap.String("endpoint", string(e.ID)),
		zap.String("zone", string(e.Zone)), zap.String("version", string(e.Version)), zap.String("model", string(p.Model)),
		zap.Duration("expected", pick.Expected), zap.Duration("work", pick.Work), zap.Duration("wait", pick.Wait), zap.Int("home", pick.HomeRank), zap.Int64("uncached", int64(pick.Uncached)), zap.Int("sites", len(sites)), zap.String("session", string(c.request.Session)))
	c.placements = append(c.placements, placement{endpoint: e.ID, model: request.Model, work: pick.Work})
	c.server.loads.Start(now, e.ID)
	c.server.tempo.AddPending(e.ID, request.Model, pick.Work)
	if n := len(c.request.Parts); n > 1 {
		chain := route.HashParts(request.Model, c.request.Parts[:n-1])
		c.server.prefixes.RecordSent(e.ID, chain)
		c.server.control.RecordPrefixes(now, e.ID, chain, c.request.Parts[:n-1])
	}
	c.step(pass.EndpointSelected{Attempt: p.Attempt, Endpoint: e, Expected: pick.Expected, BaseEstimate: pick.Uncorrected, ServiceTime: pick.Work, UncachedTokens: pick.Uncached})
}

func (c *call) placementRequest(now time.Time, model ident.ModelID, exclude []ident.EndpointID) route.Query {
	return route.Query{
		Seed: c.request.Seed, Zone: c.server.settings.Zone, Model: c.timingModel(model),
		Prompt: c.request.PromptTokens, Parts: c.request.Parts, TransferBytes: len(c.body),
		Exclude: exclude, Remaining: c.request.Deadline.Sub(now),
		OtherBacklogs: func(id ident.EndpointID) route.ModelBacklogs { return c.server.control.RemoteWork(now, id) },
	}
}

// addEscalationEstimate adds to the head of a stream the expected time to the
// response of the next model in the cascade.
func (c *call) addEscalationEstimate(e pass.Event) pass.Event {
	h, ok := e.(pass.HeadReceived)
	if !ok {
		return e
	}
	next := c.state.NextModel()
	if next == "" {
		return e
	}
	now := c.server.clock()
	view := c.server.control.View()
	version := c.server.control.SelectVersion(now, view, c.request.Service, c.request.Seed, c.sessionKey())
	sites, _ := c.candidateSites(now, view, version)
	pick := c.server.tempo.Choose(now, sites, c.placementRequest(now, next, nil), c.server.loads, c.server.prefixes)
	if pick.Index < 0 {
		h.NextLatency = c.request.Deadline.Sub(now) // no endpoint can answer in time
		return h
	}
	h.NextLatency, h.NextServiceTime, h.NextGeneration = pick.Expected, pick.Work, c.server.tempo.GenerationTime(next, c.request.MaxOutputTokens)
	c.nextDelay = pick.Expected
	return h
}

// timingModel returns the name under which response times are learned: the
// model, or the service if there is no model.
func (c *call) timingModel(m ident.ModelID) ident.ModelID {
	switch {
	case m != "":
		return m
	case c.request.Model != "":
		return c.request.Model
	}
	return ident.ModelID(c.request.Service)
}

// sessionKey returns the key of the caller's session, unique over all teams.
func (c *call) sessionKey() ident.SessionKey {
	return ident.SessionKey{Team: c.request.Team, Session: c.request.Session}
}

// candidateSites returns the endpoints of a version that may get the request:
// those in an allowed region. If the service limits requests during a cold
// start, an endpoint in its cold start is returned only if there is no other,
// and only as often as the limit allows.
func (c *call) candidateSites(now time.Time, view *world.View, version ident.VersionID) ([]route.Candidate, []*world.Endpoint) {
	var sites, cold []route.Candidate
	var warmEndpoints, coldEndpoints []*world.Endpoint
	for _, e := range view.Candidates(now, c.request.Service, version) {
		if !c.regionAllowed(e.Zone) {
			continue
		}
		site := route.Candidate{
			Endpoint: e.ID, Zone: e.Zone, Slots: e.Slots, Cold: e.Cold(now), NewVersion: view.IsRolloutTarget(e.Service, e.Version),
		}
		if site.Cold && c.coldRate(view) > 0 {
			cold, coldEndpoints = append(cold, site), append(coldEndpoints, e)
			continue
		}
		sites, warmEndpoints = append(sites, site), append(warmEndpoints, e)
	}
	if len(sites) > 0 || len(cold) == 0 {
		return sites, warmEndpoints
	}
	rate, routers := c.coldRate(view), c.server.control.RouterCount()
	for i := range cold {
		if c.server.coldShare.Allow(now, cold[i].Endpoint, rate, routers) {
			return cold[i : i+1], coldEndpoints[i : i+1]
		}
	}
	return nil, nil
}

func (c *call) coldRate(view *world.View) float64 {
	if s := view.Config.Services[c.request.Service]; s != nil {
		return s.ColdRate
	}
	return 0
}

// regionAllowed reports whether the route and the team allow the request to run
// in the region of a zone.
func (c *call) regionAllowed(zone ident.ZoneID) bool {
	region := c.server.settings.Regions[zone]
	if !regionInList(c.route.Regions, region) {
		return false
	}
	return c.team == nil || regionInList(c.team.Regions, region)
}

// regionInList reports whether a list contains a region. An empty list contains
// all regions.
func regionInList(list []ident.RegionID, region ident.RegionID) bool {
	for _, r := range list {
		if r == region {
			return true
		}
	}
	return len(list) == 0
}
