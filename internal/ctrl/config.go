package ctrl

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// read takes in the platform's objects. An older head than the one in force is
// a stale read and confirms nothing.
func (c *Control) read(now time.Time, e Read) []Action {
	c.reading = false
	c.reach(now, true)
	c.mergeRollouts(e.Rollouts)
	actions := c.mergeWithdrawn(now, e.Withdrawn)
	if e.Head.Generation < c.head.Generation || e.Head.Generation == 0 {
		return actions
	}
	if e.Config != nil && e.Head.Generation > c.generation() {
		actions = append(actions, c.adopt(now, e.Head, e.Config)...)
	}
	if e.Head.Generation == c.generation() {
		c.confirm(e.Asked)
	}
	return actions
}

// fetched takes in a configuration that a peer told of.
func (c *Control) fetched(now time.Time, e Fetched) []Action {
	c.fetching = 0
	if e.Config == nil || e.Head.Generation <= c.generation() {
		return nil
	}
	return c.adopt(now, e.Head, e.Config)
}

// adopt puts a newer configuration in force and spreads the word at once. The
// generation in force never falls.
func (c *Control) adopt(now time.Time, head plat.Head, config *fleet.Config) []Action {
	before := c.config
	c.head = head
	c.config = config
	c.behind = time.Time{}
	c.changed = true
	c.syncEndpoints()
	c.restore(now, before)
	return c.urgent()
}

// restore takes the endpoints of the zones that operators have put back for
// cold, until they report otherwise anew.
func (c *Control) restore(now time.Time, before *fleet.Config) {
	if before == nil {
		return
	}
	for id, zone := range c.config.Zones {
		if old, known := before.Zones[id]; !known || !old.Out || zone.Out {
			continue
		}
		for _, e := range c.byZone[id] {
			e.phase.Step(now, permit.ZoneRestored{})
		}
	}
}

func (c *Control) confirm(at time.Time) {
	if at.After(c.confirmed) {
		c.confirmed = at
		c.changed = true
	}
}

func (c *Control) generation() ident.Generation {
	if c.config == nil {
		return 0
	}
	return c.head.Generation
}

// hear fetches a configuration that a peer has and this router has not.
func (c *Control) hear(now time.Time, from fleet.Router, generation ident.Generation) []Action {
	if generation <= c.generation() {
		return nil
	}
	if c.behind.IsZero() {
		c.behind = now
	}
	if generation <= c.fetching {
		return nil
	}
	c.fetching = generation
	return []Action{FetchConfig{Head: plat.Head{Generation: generation}, From: from}}
}
