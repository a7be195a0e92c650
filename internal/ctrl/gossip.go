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
	// hearsayEntries is the number of routers that a heartbeat tells of.
	maxPeerAges = 60
	// giveInterval is the time between heartbeats to the collectors of evidence.
	evidenceInterval = 2 * time.Second
)

// gossip sends the heartbeats of a larger fleet: news to a few routers at once,
// a routine one to a random router in each round, and evidence to those that
// collect it.
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

// passOn sends news to a few routers, which do likewise.
func (c *Control) sendUrgent(now time.Time, others []fleet.Router) []Action {
	if !c.urgentPending {
		return nil
	}
	c.urgentPending = false
	seed := uint64(c.generation())<<32 ^ uint64(len(c.withdrawn))<<16 ^ c.round
	return c.sendHeartbeatsTo(now, gossip.Targets(seed, c.self.ID, others, gossip.KindUrgent))
}

// chat sends the routine heartbeat of a round.
func (c *Control) sendRoutine(now time.Time, others []fleet.Router, due bool) []Action {
	if !due {
		return nil
	}
	c.lastRound = now
	c.round++
	return c.sendHeartbeatsTo(now, gossip.Targets(c.round, c.self.ID, others, gossip.KindRoutine))
}

// reachable gives the routers worth sending to, this one included: those known
// to be live, and those that are listed but were never heard of.
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

func (c *Control) sendHeartbeatsTo(now time.Time, targets []ident.RouterID) []Action {
	var actions []Action
	for _, id := range targets {
		if r, ok := c.peers[id]; ok && now.Sub(r.lastSent) >= c.settings.HeartbeatInterval/2 {
			actions = append(actions, c.sendHeartbeat(now, r))
		}
	}
	return actions
}

// collectors gives the routers that gather the evidence on the roll-outs under
// way.
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

// collected keeps the evidence that the router collects.
func (c *Control) filterForCollector(now time.Time, to ident.RouterID, evidence []roll.Entry) []roll.Entry {
	kept := evidence[:0]
	for _, e := range evidence {
		if slices.Contains(gossip.Collectors(string(e.Key.Release.Model), c.membership(now).live), to) {
			kept = append(kept, e)
		}
	}
	return kept
}

// hearsay tells of the routers that were heard of most lately.
func (c *Control) peerAges(now time.Time) []PeerAge {
	latest := slices.Clone(c.membership(now).peers)
	latest = slices.DeleteFunc(latest, func(r *peer) bool { return !c.isLive(now, r) })
	sort.Slice(latest, func(i, j int) bool { return latest[i].lastHeard.After(latest[j].lastHeard) })
	told := make([]PeerAge, 0, maxPeerAges)
	for _, r := range latest[:min(len(latest), maxPeerAges)] {
		told = append(told, PeerAge{Hash: routerHash(r.info.ID), Age: now.Sub(r.lastHeard)})
	}
	return told
}

// listen takes in what a peer says of others. It speaks only for routers that
// are known already, and never for longer than they were heard of.
func (c *Control) mergePeerAges(now time.Time, told []PeerAge) {
	if len(told) == 0 {
		return
	}
	if len(c.peersByHash) != len(c.peers) {
		c.peersByHash = make(map[uint32]*peer, len(c.peers))
		for id, r := range c.peers {
			c.peersByHash[routerHash(id)] = r
		}
	}
	for _, h := range told {
		if r, ok := c.peersByHash[h.Hash]; ok {
			r.lastHeard = latest(r.lastHeard, now.Add(-h.Age))
		}
	}
}

func routerHash(id ident.RouterID) uint32 {
	return uint32(xxhash.Sum64String(string(id)))
}
