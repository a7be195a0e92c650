package roll

import (
	"cmp"
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
)

// keptWindows is the number of latest windows of a step that are kept.
const keptWindows = 2

// maxDead is the number of dead sources whose counters are kept apart, so that
// a new router can still be told of them. Beyond it the oldest are folded.
const maxDead = 64

// Trim forgets the evidence that no roll-out in progress needs, and folds the
// counters of the oldest dead sources into a sum, so that memory does not grow
// with the routers that ever lived. The lost power errs on the side of keeping
// a version.
func (e *Evidence) Trim(now time.Time, config *fleet.Config, states []fleet.RolloutState, live func(Source) bool) {
	for k := range e.cells {
		if !needed(now, k, config, states) {
			delete(e.cells, k)
		}
	}
	for k := range e.pools {
		if !needed(now, Key{Release: k.candidate}, config, states) {
			delete(e.pools, k)
		}
	}
	dead := e.dead(live)
	for i := 0; i < len(dead)-maxDead; i++ {
		e.fold(dead[i])
	}
}

// needed tells whether a roll-out still looks at the cell.
func needed(now time.Time, key Key, config *fleet.Config, states []fleet.RolloutState) bool {
	for _, s := range states {
		rollout := config.Rollouts[s.Model]
		if rollout == nil || s.Model != key.Release.Model || s.To != rollout.To {
			continue
		}
		if key.Release.Version != rollout.To {
			return false
		}
		// A peer may be a step ahead of this router; its evidence is kept.
		if key.Stratum.Window == 0 || key.Stratum.Step > s.Step {
			return true
		}
		current := StratumAt(now, s)
		return key.Stratum.Step == s.Step && key.Stratum.Window > current.Window-keptWindows
	}
	return false
}

// dead gives the sources that are not live, the one heard of longest ago first.
func (e *Evidence) dead(live func(Source) bool) []Source {
	latest := map[Source]Revision{}
	for _, c := range e.cells {
		for s, r := range c.sources {
			if !live(s) {
				latest[s] = max(latest[s], r.mark)
			}
		}
	}
	sources := make([]Source, 0, len(latest))
	for s := range latest {
		sources = append(sources, s)
	}
	slices.SortFunc(sources, func(a, b Source) int { return cmp.Compare(latest[a], latest[b]) })
	return sources
}

// fold adds a dead source's counters to the sum of dead sources. Late entries
// of it are dropped from then on.
func (e *Evidence) fold(dead Source) {
	e.folds.add(dead)
	for _, c := range e.cells {
		if r, ok := c.sources[dead]; ok {
			c.folded.add(&r.counters)
			delete(c.sources, dead)
		}
	}
}
