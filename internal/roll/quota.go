package roll

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Quota is the number of sessions that this router may still expose in the
// current step.
type Quota struct {
	Limited   bool
	Remaining int  // sessions
	Full      bool // the fleet as a whole has reached the step's limit
}

// SessionQuota returns this router's share of the step's session limit. The
// shares of all routers with the same list add up to the limit, minus the
// sessions exposed by routers that are no longer on the list. A router that has
// not yet merged a peer's evidence passes synced as false and gets no share,
// unless it is the only router.
func (e *Evidence) SessionQuota(self Source, rollout *fleet.Rollout, state fleet.RolloutState, routers []fleet.Router, synced bool) Quota {
	if state.Step >= len(rollout.Steps) || rollout.Steps[state.Step].Sessions == 0 {
		return Quota{}
	}
	limit := rollout.Steps[state.Step].Sessions
	own, live, dead := e.exposedSessions(self, rollout, state, routers)
	full := own+live+dead >= limit
	if !synced && len(routers) > 1 {
		return Quota{Limited: true, Full: full}
	}
	share := evenShare(max(0, limit-dead), self.Router, routers, rollout, state.Step)
	remaining := min(share-own, limit-own-live-dead)
	return Quota{Limited: true, Remaining: max(0, remaining), Full: full}
}

// exposedSessions returns the number of sessions exposed in the step by this
// router, by the other routers on the list, and by routers not on the list.
func (e *Evidence) exposedSessions(self Source, rollout *fleet.Rollout, state fleet.RolloutState, routers []fleet.Router) (own, live, dead int) {
	release := ident.Release{Model: rollout.Model, Version: rollout.To}
	c, ok := e.cells[Key{Release: release, Stratum: Stratum{Step: state.Step}}]
	if !ok {
		return 0, 0, 0
	}
	dead = int(c.folded[CountSessions])
	for s, r := range c.sources {
		n := int(r.counters[CountSessions])
		switch {
		case s == self:
			own += n
		case slices.ContainsFunc(routers, func(x fleet.Router) bool { return x.ID == s.Router }):
			live += n
		default:
			dead += n
		}
	}
	return own, live, dead
}

// evenShare returns this router's part of amount, split evenly. The remainder
// goes to the routers that rank first by a hash of the step and their ID.
func evenShare(amount int, self ident.RouterID, routers []fleet.Router, rollout *fleet.Rollout, step int) int {
	ids := make([]ident.RouterID, 0, len(routers)+1)
	ids = append(ids, self)
	for _, r := range routers {
		if r.ID != self {
			ids = append(ids, r.ID)
		}
	}
	salt := string(rollout.Model) + "@" + string(rollout.To) + "#" + strconv.Itoa(step) + "/"
	slices.SortFunc(ids, func(a, b ident.RouterID) int {
		order := cmp.Compare(xxhash.Sum64String(salt+string(a)), xxhash.Sum64String(salt+string(b)))
		return cmp.Or(order, cmp.Compare(a, b))
	})
	share := amount / len(ids)
	if slices.Index(ids, self) < amount%len(ids) {
		share++
	}
	return share
}
