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
	// livenessTimeout is how long a silent peer counts as live in a small fleet.
	livenessTimeout = 3 * time.Second
	// joinTimeout is how long a new peer may take to send its first heartbeat or
	// answer.
	joinTimeout = 5 * time.Second
	// trimInterval is the time between two trims of the evidence.
	trimInterval = 10 * time.Second
	// peerRetention is how long a dead peer that is not listed is kept.
	peerRetention = time.Minute
)

// peer is the observed state of another router.
type peer struct {
	info              fleet.Router
	generation        ident.Generation
	confirmedAt       time.Time // by this router's clock
	lastHeard         time.Time // last heartbeat or answer from it, or report of it by others
	lastAcked         time.Time // send time of the newest heartbeat that it acknowledged
	firstSeen         time.Time // when it was first listed or sent a heartbeat
	cursors           Cursors   // deltas that it has acknowledged
	lastSent          time.Time // send time of the last heartbeat to it
	sendPending       bool
	wasLive           bool // at the last tick
	serving           bool
	stopping          bool
	platformReachable bool // whether it reaches the platform
	stewardedZones    []ident.ZoneID
	ackedWithdrawals  map[ident.Release]bool // withdrawals that it has acknowledged
}

// applyInstances merges the platform's list of instances. The list lags, so it
// only adds peers to contact and marks instances as leaving.
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

// ensurePeer returns the peer with the id of known, added if it is missing.
func (c *Control) ensurePeer(now time.Time, known fleet.Router) *peer {
	r, ok := c.peers[known.ID]
	if !ok {
		r = &peer{info: known, firstSeen: now}
		c.peers[known.ID] = r
	}
	return r
}

// expirePeers removes peers that have been dead for peerRetention and are not
// listed, advances the endpoints' phases and trims the evidence.
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

// trimEvidence discards the evidence that no roll-out needs, folds that of dead
// routers together and expires old estimates.
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

// isLive reports whether a peer was known to be alive within peerTimeout.
func (c *Control) isLive(now time.Time, r *peer) bool {
	return !r.lastHeard.IsZero() && now.Sub(r.lastHeard) <= c.peerTimeout()
}

// peerTimeout returns how long a peer counts as live after it was last known to
// be alive. It is longer in a larger fleet, where liveness information arrives
// through other routers.
func (c *Control) peerTimeout() time.Duration {
	if c.allPairs() {
		return livenessTimeout
	}
	return gossip.PeerTimeout(len(c.peers) + 1)
}

// allPairs reports whether this router sends heartbeats to every peer.
func (c *Control) allPairs() bool {
	return gossip.AllPairs(len(c.peers) + 1)
}

// membership is the fleet's membership at one time, computed once for all
// decisions made at that time.
type membership struct {
	at        time.Time
	peers     []*peer        // all known peers, sorted by id
	live      []fleet.Router // the live peers and this router, sorted by id
	stewards  map[ident.ZoneID]ident.RouterID
	reachable int // live peers that have also acknowledged a heartbeat recently
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
		// A peer that sends heartbeats but does not answer those of this router
		// cannot provide what this router is missing.
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

// readsPlatform reports whether this router reads the platform for its zone. It
// does unless a live router of the zone with a lower id reaches the platform and
// is not leaving.
func (c *Control) readsPlatform(now time.Time) bool {
	for _, r := range c.peers {
		if r.info.Zone == c.self.Zone && r.info.ID < c.self.ID && c.isLive(now, r) && !r.info.Leaving && r.platformReachable {
			return false
		}
	}
	return true
}

// synced reports whether this router has had time to receive the evidence of
// every live peer.
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
