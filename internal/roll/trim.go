package roll

import (
	"cmp"
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
)

// keptWindows is the number of a step's latest windows that are kept and tested.
const keptWindows = 2

// maxDeadSources is the number of dead sources whose counters are kept
// separately, so that they can still be sent to a new router. Beyond it the
// oldest are folded.
const maxDeadSources = 64

// Trim deletes the evidence that no roll-out in progress needs, and folds the
// counters of the oldest dead sources into a sum, so that memory does not grow
// with the number of routers that ever existed. The evidence lost reduces the
// power of the tests, which can only keep a version from being withdrawn.
func (e *Evidence) Trim(now time.Time, config *fleet.Config, states []fleet.RolloutState, live func(Source) bool) {
	for k := range e.cells {
		if !isNeeded(now, k, config, states) {
			delete(e.cells, k)
		}
	}
	for k := range e.controls {
		if !isNeeded(now, Key{Release: k.candidate}, config, states) {
			delete(e.controls, k)
		}
	}
	dead := e.deadSources(live)
	for i := 0; i < len(dead)-maxDeadSources; i++ {
		e.foldSource(dead[i])
	}
}

// isNeeded reports whether a roll-out in progress may still use the cell.
func isNeeded(now time.Time, key Key, config *fleet.Config, states []fleet.RolloutState) bool {
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

// deadSources returns the sources that are not live, least recently changed
// first.
func (e *Evidence) deadSources(live func(Source) bool) []Source {
	latest := map[Source]Revision{}
	for _, c := range e.cells {
		for s, r := range c.sources {
			if !live(s) {
				latest[s] = max(latest[s], r.revision)
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

// foldSource adds the counters of a dead source to the sum of the folded
// sources. Entries of it that arrive later are dropped.
func (e *Evidence) foldSource(dead Source) {
	e.folded.add(dead)
	for _, c := range e.cells {
		if r, ok := c.sources[dead]; ok {
			c.folded.add(&r.counters)
			delete(c.sources, dead)
		}
	}
}
