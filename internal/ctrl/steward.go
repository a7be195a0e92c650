package ctrl

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/fence"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// stewardCandidates is the number of routers that stand ready for a zone's
// stewardship; the others neither read nor write its lease.
const stewardCandidates = 2

// steward is this router's part in one zone's stewardship.
type steward struct {
	machine *permit.Steward
	orders  *fence.Orders
	tickets map[ident.AttemptID]Ticket // questions not yet answered
	reading bool
	read    time.Time // last read of the lease
}

// steer keeps this router's parts in the zones' stewardships.
func (c *Control) steer(now time.Time) []Action {
	if c.config == nil {
		return nil
	}
	var actions []Action
	for _, zone := range c.zones {
		place := c.place(now, zone)
		s, ok := c.stewards[zone]
		if !ok && (place >= stewardCandidates || c.stopping) {
			continue
		}
		if !ok {
			s = &steward{machine: permit.New(c.self.ID, c.settings.Permit), orders: fence.New(), tickets: map[ident.AttemptID]Ticket{}}
			c.stewards[zone] = s
		}
		c.stepSteward(now, zone, s, permit.RankChanged{Rank: place})
		c.showEndpoints(now, zone, s)
		if place < stewardCandidates || s.machine.HoldsLease(now) {
			actions = append(actions, c.stepSteward(now, zone, s, permit.Tick{})...)
		}
		actions = append(actions, c.watchLease(now, zone, s)...)
		actions = append(actions, c.order(now, zone, s)...)
	}
	return actions
}

// watchLease reads the lease of a zone that this router stands ready for.
func (c *Control) watchLease(now time.Time, zone ident.ZoneID, s *steward) []Action {
	if s.reading || now.Sub(s.read) < c.settings.Permit.RenewInterval || s.machine.HoldsLease(now) || c.place(now, zone) >= stewardCandidates {
		return nil
	}
	s.reading = true
	s.read = now
	return []Action{ReadLease{Zone: zone}}
}

// places holds this router's rank for each zone's stewardship. Membership
// changes slowly, so that it is worked out again only from time to time.
type places struct {
	at    time.Time
	ranks map[ident.ZoneID]int
}

// placeInterval is how long a rank stands.
const placeInterval = 500 * time.Millisecond

// place ranks this router for a zone's stewardship: the zone's own routers
// come first, then all others, each by a hash.
func (c *Control) place(now time.Time, zone ident.ZoneID) int {
	if now.Sub(c.places.at) >= placeInterval {
		c.places = places{at: now, ranks: map[ident.ZoneID]int{}}
	}
	rank, known := c.places.ranks[zone]
	if !known {
		rank = c.rank(now, zone)
		c.places.ranks[zone] = rank
	}
	return rank
}

func (c *Control) rank(now time.Time, zone ident.ZoneID) int {
	place := 0
	hash := func(id ident.RouterID) uint64 { return xxhash.Sum64String(string(zone) + "/" + string(id)) }
	ours := hash(c.self.ID)
	for _, r := range c.roster(now).live {
		if r.ID == c.self.ID || r.Leaving {
			continue
		}
		near, own := r.Zone == zone, c.self.Zone == zone
		if near && !own || near == own && hash(r.ID) > ours {
			place++
		}
	}
	return place
}

func (c *Control) showEndpoints(now time.Time, zone ident.ZoneID, s *steward) {
	for _, e := range c.byZone[zone] {
		s.machine.Step(now, permit.EndpointObserved{
			Endpoint:        e.spec.ID,
			Phase:           e.phase.Phase(),
			ColdSlots:       e.spec.Cold,
			Running:         e.report.Running + e.report.Waiting,
			ReportRequested: e.asked,
		})
	}
}

// stewardship hands an event to the zone's machine.
func (c *Control) stewardship(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Leased:
		return c.stepZone(now, e.Zone, e.Wrote)
	case LeaseRead:
		if s, ok := c.stewards[e.Zone]; ok {
			s.reading = false
		}
		return c.stepZone(now, e.Zone, e.Read)
	case LeaseUnread:
		if s, ok := c.stewards[e.Zone]; ok {
			s.reading = false
		}
	case AskPermit:
		s, ok := c.stewards[e.Zone]
		if !ok {
			return []Action{AnswerPermit{Ticket: e.Ticket, Deny: &permit.Deny{Reason: permit.ReasonNotSteward, RetryAfter: c.settings.Heartbeat}}}
		}
		s.tickets[e.Asked.Attempt] = e.Ticket
		return c.stepSteward(now, e.Zone, s, e.Asked)
	case GiveBack:
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

func (c *Control) stepStewards(now time.Time, e permit.Event) []Action {
	var actions []Action
	for _, zone := range c.zones {
		actions = append(actions, c.stepZone(now, zone, e)...)
	}
	return actions
}

// stepSteward steps a zone's machine and translates its actions.
func (c *Control) stepSteward(now time.Time, zone ident.ZoneID, s *steward, e permit.Event) []Action {
	var actions []Action
	for _, a := range s.machine.Step(now, e) {
		switch a := a.(type) {
		case permit.WriteLease:
			actions = append(actions, PutLease{Zone: zone, Lease: a.Lease, Expect: a.ExpectedVersion})
		case permit.ReadLease:
			if !s.reading && now.Sub(s.read) >= c.settings.Heartbeat {
				s.reading = true
				s.read = now
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
	a.Ticket = s.tickets[attempt]
	delete(s.tickets, attempt)
	return a
}

// held gives the zones whose steward this router is.
func (c *Control) held(now time.Time) []ident.ZoneID {
	var held []ident.ZoneID
	for zone, s := range c.stewards {
		if s.machine.HoldsLease(now) {
			held = append(held, zone)
		}
	}
	sort.Slice(held, func(i, j int) bool { return held[i] < held[j] })
	return held
}

// stewardOf gives the router to ask for a permit in a zone: the one that says
// it is the steward, or "" if none does.
func (c *Control) stewardOf(now time.Time, zone ident.ZoneID) ident.RouterID {
	for _, z := range c.held(now) {
		if z == zone {
			return c.self.ID
		}
	}
	return c.roster(now).stewards[zone]
}
