package relay

import (
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/internal/proxy"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
	"go.uber.org/zap"
)

// placeAttempt chooses the endpoint of an attempt. If no endpoint of a version on
// trial can take it, for instance because it has just failed the request, an
// endpoint of the stable version is chosen.
func (c *call) placeAttempt(s proxy.SelectEndpoint) {
	now := c.server.clock()
	if reason := c.fatalReason(now); reason != "" {
		c.step(proxy.NoEndpoint{Attempt: s.Attempt, RetryAfter: fatalRetryAfter, Fatal: reason})
		return
	}
	if c.serveElsewhere(now, s.Attempt) {
		return
	}
	view := c.server.control.View()
	version := c.server.control.SelectVersion(now, view, c.request.Service, c.request.Seed, c.sessionKey())
	request := c.placementRequest(now, s.Model, s.Exclude)
	candidates := c.candidates(now, view, version)
	decision := c.choose(now, &candidates, request)
	if decision.Index < 0 && view.IsRolloutTarget(c.request.Service, version) {
		candidates = c.candidates(now, view, view.StableVersion(c.request.Service))
		decision = c.choose(now, &candidates, request)
	}
	if decision.Index < 0 {
		refused := c.server.reach.Refused(now, c.request.Service, len(view.Candidates(now, c.request.Service, "")))
		if (c.unreached > 0 || refused) && c.handOver(now, s.Attempt) {
			return
		}
		if !decision.TooLate && candidates.limited == 0 {
			c.markUnreached()
		}
		c.step(proxy.NoEndpoint{
			Attempt: s.Attempt, RetryAfter: candidates.retryAfter(decision), TooLate: decision.TooLate, Limited: candidates.limited > 0,
		})
		return
	}
	e := candidates.endpoints[decision.Index]
	c.log("placed", zap.Int("attempt", int(s.Attempt)), zap.String("endpoint", string(e.ID)),
		zap.String("zone", string(e.Zone)), zap.String("version", string(e.Version)), zap.String("model", string(s.Model)),
		zap.Duration("expected", decision.Expected), zap.Duration("work", decision.Work), zap.Duration("wait", decision.Wait), zap.Int("home", decision.HomeRank), zap.Int64("uncached", int64(decision.Uncached)), zap.Int("sites", len(candidates.list)), zap.String("session", string(c.request.Session)))
	c.placements = append(c.placements, placement{endpoint: e.ID, model: request.Model, work: decision.Work})
	c.server.loads.Start(now, e.ID)
	c.server.estimator.AddPending(e.ID, request.Model, decision.Work)
	if n := len(c.request.Parts); n > 1 {
		hashes := route.HashParts(request.Model, c.request.Parts[:n-1])
		c.server.prefixes.RecordSent(e.ID, hashes)
		c.server.control.RecordPrefixes(now, e.ID, hashes, c.request.Parts[:n-1])
	}
	c.step(proxy.EndpointSelected{Attempt: s.Attempt, Endpoint: e, Expected: decision.Expected, BaseEstimate: decision.Uncorrected, ServiceTime: decision.Work, UncachedTokens: decision.Uncached})
}

// fatalReason returns the reason to refuse the request if endpoints have ended while
// they ran it, or "".
func (c *call) fatalReason(now time.Time) proxy.Reason {
	cause, part := c.server.control.FatalCause(now, c.subject)
	switch cause {
	case poison.CauseRequest:
		return proxy.ReasonFatal
	case poison.CausePart:
		c.fatalPart = part
		return proxy.ReasonFatalPart
	}
	return ""
}

// fatalRetryAfter is the retry delay for a request that crashes endpoints. It is
// cut to a part of the time that the caller waits.
const fatalRetryAfter = time.Minute

func (c *call) placementRequest(now time.Time, model ident.ModelID, exclude []ident.EndpointID) route.Query {
	return route.Query{
		Seed: c.request.Seed, Zone: c.server.settings.Zone, Model: c.timingModel(model),
		Prompt: c.request.PromptTokens, Parts: c.request.Parts, TransferBytes: c.body.len(),
		Exclude: exclude, Remaining: c.request.Deadline.Sub(now),
		OtherBacklogs: func(id ident.EndpointID) route.ModelBacklogs { return c.server.control.RemoteWork(now, id) },
	}
}

// addEscalationEstimate adds to the head of a stream the expected time to the
// response of the next model in the cascade.
func (c *call) addEscalationEstimate(e proxy.Event) proxy.Event {
	h, ok := e.(proxy.HeadReceived)
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
	candidates := c.candidates(now, view, version)
	decision := c.server.estimator.Choose(now, candidates.list, c.placementRequest(now, next, nil), c.server.loads, c.server.prefixes)
	if decision.Index < 0 {
		h.NextLatency = c.request.Deadline.Sub(now) // no endpoint can answer in time
		return h
	}
	h.NextLatency, h.NextServiceTime, h.NextGeneration = decision.Expected, decision.Work, c.server.estimator.GenerationTime(next, c.request.MaxOutputTokens)
	c.nextDelay = decision.Expected
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

// candidateSet holds the endpoints that may get a request.
type candidateSet struct {
	list      []route.Candidate
	endpoints []*world.Endpoint // of list, in the same order
	limited   int               // endpoints left out: they pause, or this router has no turn at them
	nextTurn  time.Duration     // until the first of them may get a request
}

func (s *candidateSet) add(e *world.Endpoint, candidate route.Candidate) {
	s.list, s.endpoints = append(s.list, candidate), append(s.endpoints, e)
}

// leaveOut records an endpoint that may get no request before wait.
func (s *candidateSet) leaveOut(wait time.Duration) {
	if s.limited == 0 || wait < s.nextTurn {
		s.nextTurn = wait
	}
	s.limited++
}

// remove removes the candidate with an index.
func (s *candidateSet) remove(i int) {
	s.list, s.endpoints = slices.Delete(s.list, i, i+1), slices.Delete(s.endpoints, i, i+1)
}

// retryAfter returns the time until a retry may succeed, if no candidate was chosen.
func (s *candidateSet) retryAfter(d route.Decision) time.Duration {
	switch {
	case s.limited == 0:
		return d.RetryAfter
	case len(s.list) == 0:
		return s.nextTurn
	}
	return min(d.RetryAfter, s.nextTurn)
}

// choose chooses a candidate. If it names a limit, it takes one of this router's
// turns, or chooses another if a request of this router has just taken the last.
func (c *call) choose(now time.Time, s *candidateSet, request route.Query) route.Decision {
	for {
		decision := c.server.estimator.Choose(now, s.list, request, c.server.loads, c.server.prefixes)
		if decision.Index < 0 {
			return decision
		}
		e := s.endpoints[decision.Index]
		rate, limited := c.server.control.Limit(now, e)
		if !limited || c.server.limiter.Take(now, e.ID, rate, c.server.control.Routers()) {
			return decision
		}
		s.remove(decision.Index)
		s.leaveOut(c.server.limiter.Available(now, e.ID, rate, c.server.control.Routers()))
	}
}

// candidates returns the endpoints of a version that may get the request:
// those in an allowed region that have not asked this router to pause, and at which
// it has a turn if they name a limit. If the service limits requests during a cold
// start, an endpoint in its cold start is returned only if there is no other, and
// only as often as the limit allows.
func (c *call) candidates(now time.Time, view *world.View, version ident.VersionID) candidateSet {
	var warm, cold candidateSet
	var full []*world.Endpoint // brittle ones at which this router has used up its share
	for _, e := range view.Candidates(now, c.request.Service, version) {
		if !c.regionAllowed(e.Zone) || c.server.control.Replaced(now, e) {
			continue
		}
		if wait := c.server.pauses.Remaining(now, e.ID, e.StartedMillis); wait > 0 {
			warm.leaveOut(wait)
			continue
		}
		if rate, limited := c.server.control.Limit(now, e); limited {
			if wait := c.server.limiter.Available(now, e.ID, rate, c.server.control.Routers()); wait > 0 {
				warm.leaveOut(wait)
				continue
			}
		}
		if c.server.control.Brittle(now, e) && !c.hasRoom(now, e) {
			full = append(full, e)
			continue
		}
		candidate := route.Candidate{
			Endpoint: e.ID, Zone: e.Zone, Slots: e.Slots, Cold: e.Cold(now), NewVersion: view.IsRolloutTarget(e.Service, e.Version),
		}
		if candidate.Cold && c.coldRate(view) > 0 {
			cold.add(e, candidate)
			continue
		}
		warm.add(e, candidate)
	}
	if len(warm.list)+len(cold.list) == 0 {
		c.addBrittle(now, view, &warm, full)
	}
	if len(warm.list) > 0 || len(cold.list) == 0 {
		return warm
	}
	rate, routers := c.coldRate(view), c.server.control.RouterCount()
	for i := range cold.list {
		if c.server.coldLimiter.Allow(now, cold.list[i].Endpoint, rate, routers) {
			warm.add(cold.endpoints[i], cold.list[i])
			break
		}
	}
	return warm
}

// hasRoom reports whether this router may have one more request in progress at a brittle
// endpoint.
func (c *call) hasRoom(now time.Time, e *world.Endpoint) bool {
	share := route.RoomShare(e.ID, e.Slots, c.server.settings.Router, c.server.control.Routers())
	return c.server.loads.Load(now, e.ID, time.Time{}).Running < share
}

// addBrittle adds one of the brittle endpoints at which this router has used up its share,
// if it has no request in progress at any of them: a router whose share is nothing at all
// of them still serves its callers. Otherwise it leaves them out.
func (c *call) addBrittle(now time.Time, view *world.View, s *candidateSet, full []*world.Endpoint) {
	if len(full) == 0 {
		return
	}
	e := full[c.request.Seed%uint64(len(full))]
	busy := slices.ContainsFunc(full, func(e *world.Endpoint) bool {
		return c.server.loads.Load(now, e.ID, time.Time{}).Running > 0
	})
	if busy || e.Cold(now) && c.coldRate(view) > 0 {
		s.leaveOut(brittleRetryAfter)
		return
	}
	s.add(e, route.Candidate{
		Endpoint: e.ID, Zone: e.Zone, Slots: e.Slots, Cold: e.Cold(now), NewVersion: view.IsRolloutTarget(e.Service, e.Version),
	})
}

// brittleRetryAfter is the retry delay while this router's share of all brittle endpoints
// is in use.
const brittleRetryAfter = 200 * time.Millisecond

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
