package relay

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/pass"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
	"go.uber.org/zap"
)

// place chooses the endpoint of an attempt. A version on trial that cannot
// answer, or has just failed the request, gives way to the one it replaces.
func (c *call) placeAttempt(p pass.Place) {
	now := c.server.clock()
	view := c.server.control.View()
	version := c.server.control.SelectVersion(now, view, c.request.Service, c.request.Seed, c.sessionKey())
	errand := c.placementRequest(now, p.Model, p.Exclude)
	sites, endpoints := c.candidateSites(now, view, version)
	pick := c.server.tempo.Choose(now, sites, errand, c.server.loads, c.server.prefixes)
	if pick.Site < 0 && view.OnTrial(c.request.Service, version) {
		sites, endpoints = c.candidateSites(now, view, view.Stable(c.request.Service))
		pick = c.server.tempo.Choose(now, sites, errand, c.server.loads, c.server.prefixes)
	}
	if pick.Site < 0 {
		c.step(pass.Unplaced{Attempt: p.Attempt, After: pick.After, Late: pick.Late})
		return
	}
	e := endpoints[pick.Site]
	c.log("placed", zap.Int("attempt", int(p.Attempt)), zap.String("endpoint", string(e.ID)),
		zap.String("zone", string(e.Zone)), zap.String("version", string(e.Version)), zap.String("model", string(p.Model)),
		zap.Duration("expected", pick.Expected), zap.Duration("work", pick.Work), zap.Duration("wait", pick.Wait), zap.Int("home", pick.Rank), zap.Int64("uncached", int64(pick.Uncached)), zap.Int("sites", len(sites)), zap.String("session", string(c.request.Session)))
	c.placements = append(c.placements, placement{endpoint: e.ID, model: errand.Model, work: pick.Work})
	c.server.loads.Start(now, e.ID)
	c.server.tempo.Start(e.ID, errand.Model, pick.Work)
	if n := len(c.request.Parts); n > 1 {
		chain := route.Chain(errand.Model, c.request.Parts[:n-1])
		c.server.prefixes.Sent(e.ID, chain)
		c.server.control.RecordPrefixes(now, e.ID, chain, c.request.Parts[:n-1])
	}
	c.step(pass.Placed{Attempt: p.Attempt, Endpoint: e, Expected: pick.Expected, Base: pick.Base, Work: pick.Work, Uncached: pick.Uncached})
}

func (c *call) placementRequest(now time.Time, model ident.ModelID, exclude []ident.EndpointID) route.Errand {
	return route.Errand{
		Seed: c.request.Seed, Zone: c.server.settings.Zone, Model: c.timingModel(model),
		Prompt: c.request.Prompt, Parts: c.request.Parts, Size: len(c.body),
		Exclude: exclude, Left: c.request.Limit.Sub(now),
		Others: func(id ident.EndpointID) route.Piles { return c.server.control.RemoteWork(now, id) },
	}
}

// foresee adds to a stream's head how soon the next model would answer.
func (c *call) addEscalationEstimate(e pass.Event) pass.Event {
	h, ok := e.(pass.Headed)
	if !ok {
		return e
	}
	next := c.state.Next()
	if next == "" {
		return e
	}
	now := c.server.clock()
	view := c.server.control.View()
	version := c.server.control.SelectVersion(now, view, c.request.Service, c.request.Seed, c.sessionKey())
	sites, _ := c.candidateSites(now, view, version)
	pick := c.server.tempo.Choose(now, sites, c.placementRequest(now, next, nil), c.server.loads, c.server.prefixes)
	if pick.Site < 0 {
		h.Next = c.request.Limit.Sub(now) // nobody can answer in time
		return h
	}
	h.Next, h.Work, h.Writing = pick.Expected, pick.Work, c.server.tempo.Writing(next, c.request.Output)
	c.nextDelay = pick.Expected
	return h
}

// modelOr names what the time of an answer depends on: the model, or the
// service if there is none.
func (c *call) timingModel(m ident.ModelID) ident.ModelID {
	switch {
	case m != "":
		return m
	case c.request.Model != "":
		return c.request.Model
	}
	return ident.ModelID(c.request.Service)
}

// session names the caller's session over all teams.
func (c *call) sessionKey() ident.SessionKey {
	return ident.SessionKey{Team: c.request.Team, Session: c.request.Session}
}

// sites lists the endpoints of a version that may get the request: those in an
// allowed region, and cold ones only if there is no other.
func (c *call) candidateSites(now time.Time, view *world.View, version ident.VersionID) ([]route.Site, []*world.Endpoint) {
	var sites, cold []route.Site
	var warmly, coldly []*world.Endpoint
	for _, e := range view.Candidates(now, c.request.Service, version) {
		if !c.regionAllowed(e.Zone) {
			continue
		}
		site := route.Site{
			Endpoint: e.ID, Zone: e.Zone, Slots: e.Slots, Cold: e.Cold(now), New: view.OnTrial(e.Service, e.Version),
		}
		if site.Cold && c.coldRate(view) > 0 {
			cold, coldly = append(cold, site), append(coldly, e)
			continue
		}
		sites, warmly = append(sites, site), append(warmly, e)
	}
	if len(sites) > 0 || len(cold) == 0 {
		return sites, warmly
	}
	rate, routers := c.coldRate(view), c.server.control.RouterCount()
	for i := range cold {
		if c.server.coldShare.Take(now, cold[i].Endpoint, rate, routers) {
			return cold[i : i+1], coldly[i : i+1]
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

// home tells whether the request may run in a zone.
func (c *call) regionAllowed(zone ident.ZoneID) bool {
	region := c.server.settings.Regions[zone]
	if !regionInList(c.route.Regions, region) {
		return false
	}
	return c.team == nil || regionInList(c.team.Regions, region)
}

func regionInList(list []ident.RegionID, region ident.RegionID) bool {
	for _, r := range list {
		if r == region {
			return true
		}
	}
	return len(list) == 0
}
