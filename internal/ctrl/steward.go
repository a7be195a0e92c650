package ctrl

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/fence"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// stewardCandidates is the number of routers that may become a zone's steward;
// the others neither read nor write its lease.
const stewardCandidates = 2

// steward is this router's state as steward of a zone, or as a candidate.
type steward struct {
	machine     *permit.Steward
	reconciler  *fence.Reconciler
	pending     map[ident.AttemptID]CorrelationID // requests without an answer yet
	readPending bool
	lastRead    time.Time // of the lease
}

// stepStewards runs the periodic work of each zone that this router is steward
// of or a candidate for.
func (c *Control) stepStewards(now time.Time) []Action {
	if c.config == nil {
		return nil
	}
	var actions []Action
	for _, zone := range c.zones {
		rank := c.rank(now, zone)
		s, ok := c.stewards[zone]
		if !ok && (rank >= stewardCandidates || c.stopping) {
			continue
		}
		if !ok {
			s = &steward{machine: permit.New(c.self.ID, c.settings.Permit), reconciler: fence.New(), pending: map[ident.AttemptID]CorrelationID{}}
			c.stewards[zone] = s
		}
		c.stepSteward(now, zone, s, permit.RankChanged{Rank: rank})
		c.reportEndpoints(now, zone, s)
		if rank < stewardCandidates || s.machine.HoldsLease(now) {
			actions = append(actions, c.stepSteward(now, zone, s, permit.Tick{})...)
		}
		actions = append(actions, c.pollLease(now, zone, s)...)
		actions = append(actions, c.reconcileZone(now, zone, s)...)
	}
	return actions
}

// pollLease returns a read of the lease of a zone that this router is a candidate
// for, if one is due.
func (c *Control) pollLease(now time.Time, zone ident.ZoneID, s *steward) []Action {
	if s.readPending || now.Sub(s.lastRead) < c.settings.Permit.RenewInterval || s.machine.HoldsLease(now) || c.rank(now, zone) >= stewardCandidates {
		return nil
	}
	s.readPending = true
	s.lastRead = now
	return []Action{ReadLease{Zone: zone}}
}

// rankCache holds this router's rank among the candidates for steward of each
// zone. Membership changes slowly, so ranks are recomputed only every rankTTL.
type rankCache struct {
	at    time.Time
	ranks map[ident.ZoneID]int
}

// rankTTL is how long a computed rank is valid.
const rankTTL = 500 * time.Millisecond

// rank returns this router's rank among the candidates for steward of a zone,
// from 0: the zone's own routers come first, then all others, each by rendezvous
// hashing.
func (c *Control) rank(now time.Time, zone ident.ZoneID) int {
	if now.Sub(c.ranks.at) >= rankTTL {
		c.ranks = rankCache{at: now, ranks: map[ident.ZoneID]int{}}
	}
	rank, known := c.ranks.ranks[zone]
	if !known {
		rank = c.computeRank(now, zone)
		c.ranks.ranks[zone] = rank
	}
	return rank
}

// computeRank counts the live routers that precede this one in a zone's order.
func (c *Control) computeRank(now time.Time, zone ident.ZoneID) int {
	rank := 0
	hash := func(id ident.RouterID) uint64 { return xxhash.Sum64String(string(zone) + "/" + string(id)) }
	ours := hash(c.self.ID)
	for _, r := range c.membership(now).live {
		if r.ID == c.self.ID || r.Leaving {
			continue
		}
		near, own := r.Zone == zone, c.self.Zone == zone
		if near && !own || near == own && hash(r.ID) > ours {
			rank++
		}
	}
	return rank
}

// reportEndpoints passes the observed state of a zone's endpoints to the zone's
// state machine.
func (c *Control) reportEndpoints(now time.Time, zone ident.ZoneID, s *steward) {
	for _, e := range c.endpointsByZone[zone] {
		s.machine.Step(now, permit.EndpointObserved{
			Endpoint:        e.spec.ID,
			Phase:           e.phase.Phase(),
			ColdSlots:       e.spec.ColdSlots,
			Running:         e.report.Running + e.report.Waiting,
			ReportRequested: e.requestedAt,
		})
	}
}

// handleStewardEvent passes a lease or permit event to the zone's state machine.
func (c *Control) handleStewardEvent(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case LeaseWritten:
		return c.stepZone(now, e.Zone, e.Result)
	case LeaseRead:
		if s, ok := c.stewards[e.Zone]; ok {
			s.readPending = false
		}
		return c.stepZone(now, e.Zone, e.Lease)
	case LeaseReadFailed:
		if s, ok := c.stewards[e.Zone]; ok {
			s.readPending = false
		}
	case RequestPermit:
		s, ok := c.stewards[e.Zone]
		if !ok {
			return []Action{AnswerPermit{CorrelationID: e.CorrelationID, Deny: &permit.Deny{Reason: permit.ReasonNotSteward, RetryAfter: c.settings.HeartbeatInterval}}}
		}
		s.pending[e.Request.Attempt] = e.CorrelationID
		return c.stepSteward(now, e.Zone, s, e.Request)
	case ReleasePermit:
		return c.stepZone(now, e.Zone, e.Released)
	}
	return nil
}

func (c *Control) stepZone(now time.Time, zone ident.ZoneID, e permit.Event) []Action {
	s, ok := c.stewards[zone]
	if !ok {
		return nil
	}
	return c.stepSteward(now, zone, s, e)
}

func (c *Control) stepAllZones(now time.Time, e permit.Event) []Action {
	var actions []Action
	for _, zone := range c.zones {
		actions = append(actions, c.stepZone(now, zone, e)...)
	}
	return actions
}

// stepSteward steps a zone's state machine and translates its actions.
func (c *Control) stepSteward(now time.Time, zone ident.ZoneID, s *steward, e permit.Event) []Action {
	var actions []Action
	for _, a := range s.machine.Step(now, e) {
		switch a := a.(type) {
		case permit.WriteLease:
			actions = append(actions, PutLease{Zone: zone, Lease: a.Lease, Expect: a.ExpectedVersion})
		case permit.ReadLease:
			if !s.readPending && now.Sub(s.lastRead) >= c.settings.HeartbeatInterval {
				s.readPending = true
				s.lastRead = now
				actions = append(actions, ReadLease{Zone: zone})
			}
		case permit.Grant:
			actions = append(actions, s.answer(a.Permit.Attempt, AnswerPermit{Grant: &a.Permit}))
		case permit.Deny:
			actions = append(actions, s.answer(a.Attempt, AnswerPermit{Deny: &a}))
		}
	}
	return actions
}

func (s *steward) answer(attempt ident.AttemptID, a AnswerPermit) Action {
	a.CorrelationID = s.pending[attempt]
	delete(s.pending, attempt)
	return a
}

// stewardedZones returns the zones whose steward this router is, sorted.
func (c *Control) stewardedZones(now time.Time) []ident.ZoneID {
	var zones []ident.ZoneID
	for zone, s := range c.stewards {
		if s.machine.HoldsLease(now) {
			zones = append(zones, zone)
		}
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i] < zones[j] })
	return zones
}

// stewardOf returns the router to request permits of a zone from: the one that
// claims to be its steward, or "" if none does.
func (c *Control) stewardOf(now time.Time, zone ident.ZoneID) ident.RouterID {
	for _, z := range c.stewardedZones(now) {
		if z == zone {
			return c.self.ID
		}
	}
	return c.membership(now).stewards[zone]
}
