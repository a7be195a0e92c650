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
	hearsayEntries = 60
	// giveInterval is the time between heartbeats to the collectors of evidence.
	giveInterval = 2 * time.Second
)

// gossip sends the heartbeats of a larger fleet: news to a few routers at once,
// a routine one to a random router in each round, and evidence to those that
// collect it.
func (c *Control) gossip(now time.Time) []Action {
	due := now.Sub(c.lastRound) >= gossip.Interval(len(c.routers)+1)
	var actions []Action
	if c.rumour || due {
		others := c.reachable()
		actions = append(actions, c.passOn(now, others)...)
		actions = append(actions, c.chat(now, others, due)...)
	}
	if now.Sub(c.lastGive) >= giveInterval {
		c.lastGive = now
		actions = append(actions, c.sendTo(now, c.collectors(now))...)
	}
	return actions
}

// passOn sends news to a few routers, which do likewise.
func (c *Control) passOn(now time.Time, others []fleet.Router) []Action {
	if !c.rumour {
		return nil
	}
	c.rumour = false
	seed := uint64(c.generation())<<32 ^ uint64(len(c.withdrawn))<<16 ^ c.round
	return c.sendTo(now, gossip.Targets(seed, c.self.ID, others, gossip.KindUrgent))
}

// chat sends the routine heartbeat of a round.
func (c *Control) chat(now time.Time, others []fleet.Router, due bool) []Action {
	if !due {
		return nil
	}
	c.lastRound = now
	c.round++
	return c.sendTo(now, gossip.Targets(c.round, c.self.ID, others, gossip.KindRoutine))
}

// reachable gives the routers worth sending to, this one included: those known
// to be live, and those that are listed but were never heard of.
func (c *Control) reachable() []fleet.Router {
	routers := []fleet.Router{c.self}
	for _, r := range c.routers {
		if r.router.Peer != "" {
			routers = append(routers, r.router)
		}
	}
	sort.Slice(routers, func(i, j int) bool { return routers[i].ID < routers[j].ID })
	return routers
}

func (c *Control) sendTo(now time.Time, targets []ident.RouterID) []Action {
	var actions []Action
	for _, id := range targets {
		if r, ok := c.routers[id]; ok && now.Sub(r.sent) >= c.settings.Heartbeat/2 {
			actions = append(actions, c.send(now, r))
		}
	}
	return actions
}

// collectors gives the routers that gather the evidence on the roll-outs under
// way.
func (c *Control) collectors(now time.Time) []ident.RouterID {
	var all []ident.RouterID
	for model := range c.rollouts {
		if c.config == nil || c.config.Rollouts[model] == nil {
			continue
		}
		for _, id := range gossip.Collectors(string(model), c.roster(now).live) {
			if id != c.self.ID && !slices.Contains(all, id) {
				all = append(all, id)
			}
		}
	}
	slices.Sort(all)
	return all
}

// collected keeps the evidence that the router collects.
func (c *Control) collected(now time.Time, to ident.RouterID, evidence []roll.Entry) []roll.Entry {
	kept := evidence[:0]
	for _, e := range evidence {
		if slices.Contains(gossip.Collectors(string(e.Key.Release.Model), c.roster(now).live), to) {
			kept = append(kept, e)
		}
	}
	return kept
}

// hearsay tells of the routers that were heard of most lately.
func (c *Control) hearsay(now time.Time) []Hearsay {
	latest := slices.Clone(c.roster(now).peers)
	latest = slices.DeleteFunc(latest, func(r *router) bool { return !c.live(now, r) })
	sort.Slice(latest, func(i, j int) bool { return latest[i].heard.After(latest[j].heard) })
	told := make([]Hearsay, 0, hearsayEntries)
	for _, r := range latest[:min(len(latest), hearsayEntries)] {
		told = append(told, Hearsay{Hash: shortID(r.router.ID), Age: now.Sub(r.heard)})
	}
	return told
}

// listen takes in what a peer says of others. It speaks only for routers that
// are known already, and never for longer than they were heard of.
func (c *Control) listen(now time.Time, told []Hearsay) {
	if len(told) == 0 {
		return
	}
	if len(c.short) != len(c.routers) {
		c.short = make(map[uint32]*router, len(c.routers))
		for id, r := range c.routers {
			c.short[shortID(id)] = r
		}
	}
	for _, h := range told {
		if r, ok := c.short[h.Hash]; ok {
			r.heard = later(r.heard, now.Add(-h.Age))
		}
	}
}

func shortID(id ident.RouterID) uint32 {
	return uint32(xxhash.Sum64String(string(id)))
}
