package ctrl

import (
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/gossip"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// heardFor is how long a silent router counts as live.
	heardFor = 3 * time.Second
	// listedFor is how long a router that was never heard may take to answer.
	listedFor = 5 * time.Second
	// trimInterval is the time between looks for evidence to forget.
	trimInterval = 10 * time.Second
	// forgetAfter is how long a dead router that is not listed is remembered.
	forgetAfter = time.Minute
)

// router is what is known of a peer.
type router struct {
	router     fleet.Router
	generation ident.Generation
	confirmed  time.Time // by this router's clock
	heard      time.Time // last heartbeat from it or answer of it
	answered   time.Time // when the newest heartbeat that it answered was sent
	met        time.Time // when it was first listed or heard
	marks      Marks     // that it has
	sent       time.Time // last heartbeat to it
	sending    bool
	lived      bool // at the last tick
	serving    bool
	stopping   bool
	platform   bool // whether it reaches the platform
	stewards   []ident.ZoneID
	told       map[ident.Release]bool // withdrawals that it has acknowledged
}

// list takes in the platform's list of instances, which lags: it names routers
// to try, and a leaving instance receives no new work.
func (c *Control) list(now time.Time, e Listed) {
	c.listed = map[ident.RouterID]plat.Instance{}
	for _, i := range e.Instances {
		id := ident.RouterID(i.ID)
		if e, ok := c.endpoints[ident.EndpointID(i.ID)]; ok {
			e.listedLeaving = i.Leaving
			continue
		}
		if id == c.self.ID || i.Address == "" {
			continue
		}
		c.listed[id] = i
		r := c.meet(now, fleet.Router{ID: id, Zone: ident.ZoneID(i.Zone), Peer: i.Address})
		if i.Leaving {
			r.router.Leaving = true
		}
	}
	c.changed = true
}

func (c *Control) meet(now time.Time, known fleet.Router) *router {
	r, ok := c.routers[known.ID]
	if !ok {
		r = &router{router: known, met: now}
		c.routers[known.ID] = r
	}
	return r
}

// age forgets routers that are long dead, and folds their evidence.
func (c *Control) age(now time.Time) {
	for id, r := range c.routers {
		if r.lived && !c.live(now, r) {
			c.relays++ // its last counters may not have reached every peer
		}
		r.lived = c.live(now, r)
		_, listed := c.listed[id]
		if c.live(now, r) || now.Sub(later(r.heard, r.met)) < forgetAfter || listed {
			continue
		}
		delete(c.routers, id)
	}
	for _, e := range c.endpoints {
		e.pass(now)
	}
	c.trim(now)
}

// trim forgets evidence that no roll-out needs.
func (c *Control) trim(now time.Time) {
	if c.config == nil || now.Sub(c.lastTrim) < trimInterval {
		return
	}
	c.lastTrim = now
	states := make([]fleet.RolloutState, 0, len(c.rollouts))
	for _, r := range c.rollouts {
		states = append(states, r.State)
	}
	c.estimates.Trim(now)
	c.evidence.Trim(now, c.config, states, func(s roll.Source) bool {
		r, ok := c.routers[s.Router]
		return s == c.source || ok && c.live(now, r)
	})
}

// live tells whether a router is taken to be alive.
func (c *Control) live(now time.Time, r *router) bool {
	return !r.heard.IsZero() && now.Sub(r.heard) <= c.silence()
}

// silence gives how long a router may go unheard of. Word of it takes longer
// where not all pairs of routers talk.
func (c *Control) silence() time.Duration {
	if c.allPairs() {
		return heardFor
	}
	return gossip.Silence(len(c.routers) + 1)
}

// allPairs tells whether this router talks to every other.
func (c *Control) allPairs() bool {
	return gossip.AllPairs(len(c.routers) + 1)
}

// roster is the membership as seen at one time, worked out once for all that is
// decided then.
type roster struct {
	at       time.Time
	peers    []*router      // all known, sorted by id
	live     []fleet.Router // the live ones with this router, sorted by id
	stewards map[ident.ZoneID]ident.RouterID
	answered int // peers that are in reach both ways
}

func (c *Control) roster(now time.Time) *roster {
	if c.members != nil && c.members.at.Equal(now) {
		return c.members
	}
	m := &roster{at: now, stewards: map[ident.ZoneID]ident.RouterID{}}
	for _, r := range c.routers {
		m.peers = append(m.peers, r)
	}
	sort.Slice(m.peers, func(i, j int) bool { return m.peers[i].router.ID < m.peers[j].router.ID })
	m.live = append(m.live, c.self)
	for _, r := range m.peers {
		if !c.live(now, r) {
			continue
		}
		// A peer that is only heard cannot pass on what this router lacks.
		if now.Sub(r.answered) <= heardFor {
			m.answered++
		}
		m.live = append(m.live, r.router)
		for _, z := range r.stewards {
			m.stewards[z] = r.router.ID
		}
	}
	sort.Slice(m.live, func(i, j int) bool { return m.live[i].ID < m.live[j].ID })
	c.members = m
	return m
}

// relay tells whether this router reads the platform for its zone: it is the
// first of the zone's live routers.
func (c *Control) relay(now time.Time) bool {
	for _, r := range c.routers {
		if r.router.Zone == c.self.Zone && r.router.ID < c.self.ID && c.live(now, r) && !r.router.Leaving && r.platform {
			return false
		}
	}
	return true
}

// synced tells whether the evidence of every live peer has been merged.
func (c *Control) synced(now time.Time) bool {
	if now.Sub(c.started) < heardFor {
		return false
	}
	for _, r := range c.routers {
		if now.Sub(r.met) < listedFor && r.heard.IsZero() {
			return false
		}
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
