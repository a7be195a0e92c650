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
func (c *Control) applyPlatformRead(now time.Time, e PlatformRead) []Action {
	c.readPending = false
	c.setReachable(now, true)
	c.mergeRollouts(e.Rollouts)
	actions := c.mergeWithdrawn(now, e.Withdrawn)
	if e.Head.Generation < c.head.Generation || e.Head.Generation == 0 {
		return actions
	}
	if e.Config != nil && e.Head.Generation > c.generation() {
		actions = append(actions, c.activate(now, e.Head, e.Config)...)
	}
	if e.Head.Generation == c.generation() {
		c.confirm(e.RequestedAt)
	}
	return actions
}

// fetched takes in a configuration that a peer told of.
func (c *Control) applyFetchedConfig(now time.Time, e ConfigFetched) []Action {
	c.fetchingGeneration = 0
	if e.Config == nil || e.Head.Generation <= c.generation() {
		return nil
	}
	return c.activate(now, e.Head, e.Config)
}

// adopt puts a newer configuration in force and spreads the word at once. The
// generation in force never falls.
func (c *Control) activate(now time.Time, head plat.Head, config *fleet.Config) []Action {
	before := c.config
	c.head = head
	c.config = config
	c.behindSince = time.Time{}
	c.viewDirty = true
	c.syncEndpoints()
	c.resetRestoredZones(now, before)
	return c.scheduleUrgent()
}

// restore takes the endpoints of the zones that operators have put back for
// cold, until they report otherwise anew.
func (c *Control) resetRestoredZones(now time.Time, before *fleet.Config) {
	if before == nil {
		return
	}
	for id, zone := range c.config.Zones {
		if old, known := before.Zones[id]; !known || !old.Out || zone.Out {
			continue
		}
		for _, e := range c.endpointsByZone[id] {
			e.phase.Step(now, permit.Restored{})
		}
	}
}

func (c *Control) confirm(at time.Time) {
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
		c.viewDirty = true
	}
}

func (c *Control) generation() ident.Generation {
	if c.config == nil {
		return 0
	}
	return c.head.Generation
}

// hear fetches a configuration that a peer has and this router has not.
func (c *Control) fetchIfNewer(now time.Time, from fleet.Router, generation ident.Generation) []Action {
	if generation <= c.generation() {
		return nil
	}
	if c.behindSince.IsZero() {
		c.behindSince = now
	}
	if generation <= c.fetchingGeneration {
		return nil
	}
	c.fetchingGeneration = generation
	return []Action{FetchConfig{Head: plat.Head{Generation: generation}, From: from}}
}
