package ctrl

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// applyPlatformRead merges the platform's objects. A head older than the one in
// force comes from a stale read and confirms nothing.
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

// applyFetchedConfig activates a configuration fetched from a peer, unless it is
// no newer than the one in force.
func (c *Control) applyFetchedConfig(now time.Time, e ConfigFetched) []Action {
	c.fetchingGeneration = 0
	if e.Config == nil || e.Head.Generation <= c.generation() {
		return nil
	}
	return c.activate(now, e.Head, e.Config)
}

// activate puts a newer configuration in force and schedules its propagation to
// the peers. The generation in force never decreases.
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

// resetRestoredZones marks the endpoints of zones that operators have restored
// as cold, until a report requested after the restore says otherwise.
func (c *Control) resetRestoredZones(now time.Time, before *fleet.Config) {
	if before == nil {
		return
	}
	for id, zone := range c.config.Zones {
		if old, known := before.Zones[id]; !known || !old.Out || zone.Out {
			continue
		}
		for _, e := range c.endpointsByZone[id] {
			e.phase.Step(now, permit.ZoneRestored{})
		}
	}
}

// confirm records that the configuration in force was current at a time.
func (c *Control) confirm(at time.Time) {
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
		c.viewDirty = true
	}
}

// generation returns the generation in force, or 0 without a configuration.
func (c *Control) generation() ident.Generation {
	if c.config == nil {
		return 0
	}
	return c.head.Generation
}

// fetchIfNewer returns a fetch of a peer's generation if it is newer than the
// one in force and no such fetch is pending.
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
