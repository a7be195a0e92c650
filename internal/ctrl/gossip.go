package ctrl

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/gossip"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// maxPeerAges bounds the PeerAge entries of a heartbeat.
	maxPeerAges = 60
	// evidenceInterval is the time between heartbeats to the evidence collectors.
	evidenceInterval = 2 * time.Second
)

// gossipHeartbeats returns the heartbeats due in a larger fleet: urgent changes
// to a few peers immediately, a routine heartbeat to a random peer in each round,
// and evidence to its collectors.
func (c *Control) gossipHeartbeats(now time.Time) []Action {
	due := now.Sub(c.lastRound) >= gossip.Interval(len(c.peers)+1)
	var actions []Action
	if c.urgentPending || due {
		others := c.gossipCandidates()
		actions = append(actions, c.sendUrgent(now, others)...)
		actions = append(actions, c.sendRoutine(now, others, due)...)
	}
	if now.Sub(c.lastEvidenceSend) >= evidenceInterval {
		c.lastEvidenceSend = now
		actions = append(actions, c.sendHeartbeatsTo(now, c.evidenceCollectors(now))...)
	}
	return actions
}

// sendUrgent sends an urgent change to a few peers, which forward it likewise.
func (c *Control) sendUrgent(now time.Time, others []fleet.Router) []Action {
	if !c.urgentPending {
		return nil
	}
	c.urgentPending = false
	seed := uint64(c.generation())<<32 ^ uint64(len(c.withdrawn))<<16 ^ c.round
	return c.sendHeartbeatsTo(now, gossip.Targets(seed, c.self.ID, others, gossip.KindUrgent))
}

// sendRoutine sends the routine heartbeat of a round, if one is due.
func (c *Control) sendRoutine(now time.Time, others []fleet.Router, due bool) []Action {
	if !due {
		return nil
	}
	c.lastRound = now
	c.round++
	return c.sendHeartbeatsTo(now, gossip.Targets(c.round, c.self.ID, others, gossip.KindRoutine))
}

// gossipCandidates returns this router and all peers with a known address,
// sorted by id.
func (c *Control) gossipCandidates() []fleet.Router {
	routers := []fleet.Router{c.self}
	for _, r := range c.peers {
		if r.info.Peer != "" {
			routers = append(routers, r.info)
		}
	}
	sort.Slice(routers, func(i, j int) bool { return routers[i].ID < routers[j].ID })
	return routers
}

// sendHeartbeatsTo returns heartbeats for the targets, except those that were
// sent one within half a heartbeat interval.
func (c *Control) sendHeartbeatsTo(now time.Time, targets []ident.RouterID) []Action {
	var actions []Action
	for _, id := range targets {
		if r, ok := c.peers[id]; ok && now.Sub(r.lastSent) >= c.settings.HeartbeatInterval/2 {
			actions = append(actions, c.sendHeartbeat(now, r))
		}
	}
	return actions
}

// evidenceCollectors returns the peers that collect the evidence on the
// roll-outs in progress, sorted.
func (c *Control) evidenceCollectors(now time.Time) []ident.RouterID {
	var all []ident.RouterID
	for model := range c.rollouts {
		if c.config == nil || c.config.Rollouts[model] == nil {
			continue
		}
		for _, id := range gossip.Collectors(string(model), c.membership(now).live) {
			if id != c.self.ID && !slices.Contains(all, id) {
				all = append(all, id)
			}
		}
	}
	slices.Sort(all)
	return all
}

// filterForCollector keeps the evidence that the router to collects, in place.
func (c *Control) filterForCollector(now time.Time, to ident.RouterID, evidence []roll.Entry) []roll.Entry {
	kept := evidence[:0]
	for _, e := range evidence {
		if slices.Contains(gossip.Collectors(string(e.Key.Release.Model), c.membership(now).live), to) {
			kept = append(kept, e)
		}
	}
	return kept
}

// peerAges returns the ages of the live peers most recently known to be alive.
func (c *Control) peerAges(now time.Time) []PeerAge {
	live := slices.Clone(c.membership(now).peers)
	live = slices.DeleteFunc(live, func(r *peer) bool { return !c.isLive(now, r) })
	sort.Slice(live, func(i, j int) bool { return live[i].lastHeard.After(live[j].lastHeard) })
	ages := make([]PeerAge, 0, maxPeerAges)
	for _, r := range live[:min(len(live), maxPeerAges)] {
		ages = append(ages, PeerAge{Hash: routerHash(r.info.ID), Age: now.Sub(r.lastHeard)})
	}
	return ages
}

// mergePeerAges applies the ages that a peer reports of other routers. Unknown
// routers are ignored, and an age never moves lastHeard back.
func (c *Control) mergePeerAges(now time.Time, ages []PeerAge) {
	if len(ages) == 0 {
		return
	}
	if len(c.peersByHash) != len(c.peers) {
		c.peersByHash = make(map[uint32]*peer, len(c.peers))
		for id, r := range c.peers {
			c.peersByHash[routerHash(id)] = r
		}
	}
	for _, a := range ages {
		if r, ok := c.peersByHash[a.Hash]; ok {
			r.lastHeard = latest(r.lastHeard, now.Add(-a.Age))
		}
	}
}

// routerHash returns the hash that stands for a router's id in PeerAge.
func routerHash(id ident.RouterID) uint32 {
	return uint32(xxhash.Sum64String(string(id)))
}
