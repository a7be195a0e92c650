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
func (c *call) place(p pass.Place) {
	now := c.server.clock()
	view := c.server.control.View()
	version := c.server.control.Version(now, view, c.request.Service, c.request.Seed, c.session())
	errand := c.errand(now, p.Model, p.Exclude)
	sites, endpoints := c.sites(now, view, version)
	pick := c.server.tempo.Choose(now, sites, errand, c.server.loads, c.server.prefixes)
	if pick.Index < 0 && view.IsRolloutTarget(c.request.Service, version) {
		sites, endpoints = c.sites(now, view, view.StableVersion(c.request.Service))
		pick = c.server.tempo.Choose(now, sites, errand, c.server.loads, c.server.prefixes)
	}
	if pick.Index < 0 {
		c.step(pass.Unplaced{Attempt: p.Attempt, After: pick.RetryAfter, Late: pick.TooLate})
		return
	}
	e := endpoints[pick.Index]
	c.log("placed", zap.Int("attempt", int(p.Attempt)), zap.String("endpoint", string(e.ID)),
		zap.String("zone", string(e.Zone)), zap.String("version", string(e.Version)), zap.String("model", string(p.Model)),
		zap.Duration("expected", pick.Expected), zap.Duration("work", pick.Work), zap.Duration("wait", pick.Wait), zap.Int("home", pick.HomeRank), zap.Int64("uncached", int64(pick.Uncached)), zap.Int("sites", len(sites)), zap.String("session", string(c.request.Session)))
	c.placed = append(c.placed, placement{endpoint: e.ID, model: errand.Model, work: pick.Work})
	c.server.loads.Start(now, e.ID)
	c.server.tempo.AddPending(e.ID, errand.Model, pick.Work)
	if n := len(c.request.Parts); n > 1 {
		chain := route.HashParts(errand.Model, c.request.Parts[:n-1])
		c.server.prefixes.RecordSent(e.ID, chain)
		c.server.control.Reads(now, e.ID, chain, c.request.Parts[:n-1])
	}
	c.step(pass.Placed{Attempt: p.Attempt, Endpoint: e, Expected: pick.Expected, Base: pick.Uncorrected, Work: pick.Work, Uncached: pick.Uncached})
}

func (c *call) errand(now time.Time, model ident.ModelID, exclude []ident.EndpointID) route.Query {
	return route.Query{
		Seed: c.request.Seed, Zone: c.server.settings.Zone, Model: c.modelOr(model),
		Prompt: c.request.Prompt, Parts: c.request.Parts, TransferBytes: len(c.body),
		Exclude: exclude, Remaining: c.request.Limit.Sub(now),
		OtherBacklogs: func(id ident.EndpointID) route.ModelBacklogs { return c.server.control.Others(now, id) },
	}
}

// foresee adds to a stream's head how soon the next model would answer.
func (c *call) foresee(e pass.Event) pass.Event {
	h, ok := e.(pass.Headed)
	if !ok {
		return e
	}
	next := c.machine.Next()
	if next == "" {
		return e
	}
	now := c.server.clock()
	view := c.server.control.View()
	version := c.server.control.Version(now, view, c.request.Service, c.request.Seed, c.session())
	sites, _ := c.sites(now, view, version)
	pick := c.server.tempo.Choose(now, sites, c.errand(now, next, nil), c.server.loads, c.server.prefixes)
	if pick.Index < 0 {
		h.Next = c.request.Limit.Sub(now) // nobody can answer in time
		return h
	}
	h.Next, h.Work, h.Writing = pick.Expected, pick.Work, c.server.tempo.GenerationTime(next, c.request.Output)
	c.next = pick.Expected
	return h
}

// modelOr names what the time of an answer depends on: the model, or the
// service if there is none.
func (c *call) modelOr(m ident.ModelID) ident.ModelID {
	switch {
	case m != "":
		return m
	case c.request.Model != "":
		return c.request.Model
	}
	return ident.ModelID(c.request.Service)
}

// session names the caller's session over all teams.
func (c *call) session() ident.SessionKey {
	return ident.SessionKey{Team: c.request.Team, Session: c.request.Session}
}

// sites lists the endpoints of a version that may get the request: those in an
// allowed region, and cold ones only if there is no other.
func (c *call) sites(now time.Time, view *world.View, version ident.VersionID) ([]route.Candidate, []*world.Endpoint) {
	var sites, cold []route.Candidate
	var warmly, coldly []*world.Endpoint
	for _, e := range view.Candidates(now, c.request.Service, version) {
		if !c.home(e.Zone) {
			continue
		}
		site := route.Candidate{
			Endpoint: e.ID, Zone: e.Zone, Slots: e.Slots, Cold: e.Cold(now), NewVersion: view.IsRolloutTarget(e.Service, e.Version),
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
	rate, routers := c.coldRate(view), c.server.control.Routers()
	for i := range cold {
		if c.server.cold.Allow(now, cold[i].Endpoint, rate, routers) {
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
func (c *call) home(zone ident.ZoneID) bool {
	region := c.server.settings.Regions[zone]
	if !allows(c.route.Regions, region) {
		return false
	}
	return c.team == nil || allows(c.team.Regions, region)
}

func allows(list []ident.RegionID, region ident.RegionID) bool {
	for _, r := range list {
		if r == region {
			return true
		}
	}
	return len(list) == 0
}
