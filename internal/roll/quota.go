package roll

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Quota is how many more sessions this router may expose in the step in force.
type Quota struct {
	Limited   bool
	Remaining int  // sessions
	Full      bool // the whole fleet has used the step's limit up
}

// Share gives this router its share of the step's session limit. The shares of
// all routers with the same list add up to the limit, less what routers no
// longer on the list have used. A router that has not yet merged a peer's
// evidence passes synced as false and gets nothing, unless it is alone.
func (e *Evidence) SessionQuota(self Source, rollout *fleet.Rollout, state fleet.RolloutState, routers []fleet.Router, synced bool) Quota {
	if state.Step >= len(rollout.Steps) || rollout.Steps[state.Step].Sessions == 0 {
		return Quota{}
	}
	limit := rollout.Steps[state.Step].Sessions
	own, live, dead := e.exposed(self, rollout, state, routers)
	full := own+live+dead >= limit
	if !synced && len(routers) > 1 {
		return Quota{Limited: true, Full: full}
	}
	part := portion(max(0, limit-dead), self.Router, routers, rollout, state.Step)
	left := min(part-own, limit-own-live-dead)
	return Quota{Limited: true, Remaining: max(0, left), Full: full}
}

// exposed counts the step's sessions of this router, of other routers on the
// list, and of all others.
func (e *Evidence) exposed(self Source, rollout *fleet.Rollout, state fleet.RolloutState, routers []fleet.Router) (own, live, dead int) {
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

// portion splits amount evenly; what does not divide goes to the routers that
// rank first by a hash of the step.
func portion(amount int, self ident.RouterID, routers []fleet.Router, rollout *fleet.Rollout, step int) int {
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
