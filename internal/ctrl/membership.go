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
	livenessTimeout = 3 * time.Second
	// listedFor is how long a router that was never heard may take to answer.
	joinTimeout = 5 * time.Second
	// trimInterval is the time between looks for evidence to forget.
	trimInterval = 10 * time.Second
	// forgetAfter is how long a dead router that is not listed is remembered.
	peerRetention = time.Minute
)

// router is what is known of a peer.
type peer struct {
	info              fleet.Router
	generation        ident.Generation
	confirmedAt       time.Time // by this router's clock
	lastHeard         time.Time // last heartbeat from it or answer of it
	lastAcked         time.Time // when the newest heartbeat that it answered was sent
	firstSeen         time.Time // when it was first listed or heard
	cursors           Cursors   // that it has
	lastSent          time.Time // last heartbeat to it
	sendPending       bool
	wasLive           bool // at the last tick
	serving           bool
	stopping          bool
	platformReachable bool // whether it reaches the platform
	stewardedZones    []ident.ZoneID
	ackedWithdrawals  map[ident.Release]bool // withdrawals that it has acknowledged
}

// list takes in the platform's list of instances, which lags: it names routers
// to try, and a leaving instance receives no new work.
func (c *Control) applyInstances(now time.Time, e InstancesListed) {
	c.instances = map[ident.RouterID]plat.Instance{}
	for _, i := range e.Instances {
		id := ident.RouterID(i.ID)
		if e, ok := c.endpoints[ident.EndpointID(i.ID)]; ok {
			e.listedLeaving = i.Leaving
			continue
		}
		if id == c.self.ID || i.Address == "" {
			continue
		}
		c.instances[id] = i
		r := c.ensurePeer(now, fleet.Router{ID: id, Zone: ident.ZoneID(i.Zone), Peer: i.Address})
		if i.Leaving {
			r.info.Leaving = true
		}
	}
	c.viewDirty = true
}

func (c *Control) ensurePeer(now time.Time, known fleet.Router) *peer {
	r, ok := c.peers[known.ID]
	if !ok {
		r = &peer{info: known, firstSeen: now}
		c.peers[known.ID] = r
	}
	return r
}

// age forgets routers that are long dead, and folds their evidence.
func (c *Control) expirePeers(now time.Time) {
	for id, r := range c.peers {
		if r.wasLive && !c.isLive(now, r) {
			c.relayEpoch++ // its last counters may not have reached every peer
		}
		r.wasLive = c.isLive(now, r)
		_, listed := c.instances[id]
		if c.isLive(now, r) || now.Sub(latest(r.lastHeard, r.firstSeen)) < peerRetention || listed {
			continue
		}
		delete(c.peers, id)
	}
	for _, e := range c.endpoints {
		e.advancePhase(now)
	}
	c.trimEvidence(now)
}

// trim forgets evidence that no roll-out needs.
func (c *Control) trimEvidence(now time.Time) {
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
		r, ok := c.peers[s.Router]
		return s == c.source || ok && c.isLive(now, r)
	})
}

// live tells whether a router is taken to be alive.
func (c *Control) isLive(now time.Time, r *peer) bool {
	return !r.lastHeard.IsZero() && now.Sub(r.lastHeard) <= c.peerTimeout()
}

// silence gives how long a router may go unheard of. Word of it takes longer
// where not all pairs of routers talk.
func (c *Control) peerTimeout() time.Duration {
	if c.allPairs() {
		return livenessTimeout
	}
	return gossip.Silence(len(c.peers) + 1)
}

// allPairs tells whether this router talks to every other.
func (c *Control) allPairs() bool {
	return gossip.AllPairs(len(c.peers) + 1)
}

// roster is the membership as seen at one time, worked out once for all that is
// decided then.
type membership struct {
	at        time.Time
	peers     []*peer        // all known, sorted by id
	live      []fleet.Router // the live ones with this router, sorted by id
	stewards  map[ident.ZoneID]ident.RouterID
	reachable int // peers that are in reach both ways
}

func (c *Control) membership(now time.Time) *membership {
	if c.cachedMembership != nil && c.cachedMembership.at.Equal(now) {
		return c.cachedMembership
	}
	m := &membership{at: now, stewards: map[ident.ZoneID]ident.RouterID{}}
	for _, r := range c.peers {
		m.peers = append(m.peers, r)
	}
	sort.Slice(m.peers, func(i, j int) bool { return m.peers[i].info.ID < m.peers[j].info.ID })
	m.live = append(m.live, c.self)
	for _, r := range m.peers {
		if !c.isLive(now, r) {
			continue
		}
		// A peer that is only heard cannot pass on what this router lacks.
		if now.Sub(r.lastAcked) <= livenessTimeout {
			m.reachable++
		}
		m.live = append(m.live, r.info)
		for _, z := range r.stewardedZones {
			m.stewards[z] = r.info.ID
		}
	}
	sort.Slice(m.live, func(i, j int) bool { return m.live[i].ID < m.live[j].ID })
	c.cachedMembership = m
	return m
}

// relay tells whether this router reads the platform for its zone: it is the
// first of the zone's live routers.
func (c *Control) readsPlatform(now time.Time) bool {
	for _, r := range c.peers {
		if r.info.Zone == c.self.Zone && r.info.ID < c.self.ID && c.isLive(now, r) && !r.info.Leaving && r.platformReachable {
			return false
		}
	}
	return true
}

// synced tells whether the evidence of every live peer has been merged.
func (c *Control) synced(now time.Time) bool {
	if now.Sub(c.started) < livenessTimeout {
		return false
	}
	for _, r := range c.peers {
		if now.Sub(r.firstSeen) < joinTimeout && r.lastHeard.IsZero() {
			return false
		}
	}
	return true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
