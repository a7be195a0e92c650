package ctrl

import (
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// withdraw permanently takes a release out of service and propagates this
// immediately, without waiting for the platform.
func (c *Control) withdraw(_ time.Time, w fleet.Withdrawal) []Action {
	if _, known := c.withdrawn[w.Release]; known {
		return nil
	}
	c.withdrawn[w.Release] = w
	c.viewDirty = true
	actions := []Action{LogEvent{Message: "release withdrawn", Release: w.Release, Reason: w.Reason}}
	actions = append(actions, c.scheduleUrgent()...)
	return append(actions, c.putWithdrawn()...)
}

// mergeWithdrawn applies the withdrawals stored in the platform, and writes back
// those that are missing there.
func (c *Control) mergeWithdrawn(now time.Time, e WithdrawnObject) []Action {
	var actions []Action
	if e.Version >= c.withdrawnVersion {
		c.withdrawnVersion = e.Version
		for _, w := range e.List {
			c.persisted[w.Release] = true
		}
	}
	for _, w := range e.List {
		actions = append(actions, c.withdraw(now, w)...)
	}
	return append(actions, c.putWithdrawn()...)
}

// putWithdrawn writes all withdrawals if any is missing in the platform.
func (c *Control) putWithdrawn() []Action {
	missing := false
	list := make([]fleet.Withdrawal, 0, len(c.withdrawn))
	for release, w := range c.withdrawn {
		missing = missing || !c.persisted[release]
		list = append(list, w)
	}
	if !missing || c.pendingWrites[plat.WithdrawnKey] || !c.platform.reachable {
		return nil
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Release.String() < list[j].Release.String() })
	c.pendingWrites[plat.WithdrawnKey] = true
	return []Action{PutWithdrawn{List: list, Expect: c.withdrawnVersion}}
}
