package ctrl

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/casc"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

func (c *Control) mergeRollouts(rollouts []Rollout) {
	for _, r := range rollouts {
		if known, ok := c.rollouts[r.State.Model]; ok && known.Version >= r.Version {
			continue
		}
		c.rollouts[r.State.Model] = r
		c.changed = true
	}
}

// look gives what recording evidence needs to know of a model's roll-out, and
// false if none is in progress.
func (c *Control) look(now time.Time, model ident.ModelID) (roll.Comparison, bool) {
	state, ok := c.rollouts[model]
	if !ok || c.config == nil {
		return roll.Comparison{}, false
	}
	return roll.ComparisonAt(now, c.config, state.State)
}

func (c *Control) rated(now time.Time, e Rated) {
	c.estimates.Observe(now, casc.Source(c.source), casc.Key{Class: e.Class, Model: e.Release.Model, Escalated: e.Escalated}, e.Quality)
	if view, ok := c.look(now, e.Release.Model); ok {
		c.evidence.RecordRating(now, c.source, view, e.Team, e.Release, e.Quality)
	}
}

func (c *Control) exposed(now time.Time, e Exposed) {
	if view, ok := c.look(now, e.Release.Model); ok {
		c.evidence.RecordExposure(c.source, view, e.Team)
	}
}

// decide moves each roll-out on, or withdraws its version.
func (c *Control) decide(now time.Time) []Action {
	if c.config == nil {
		return nil
	}
	var actions []Action
	for model, rollout := range c.config.Rollouts {
		state, ok := c.rollouts[model]
		if !ok || state.State.To != rollout.To {
			if c.decides(now, model) {
				actions = append(actions, c.putRollout(fleet.RolloutState{Model: model, To: rollout.To, Entered: now}, state.Version)...)
			}
			continue
		}
		actions = append(actions, c.decideOne(now, rollout, state)...)
	}
	return actions
}

func (c *Control) decideOne(now time.Time, rollout *fleet.Rollout, state Rollout) []Action {
	release := ident.Release{Model: rollout.Model, Version: rollout.To}
	if _, withdrawn := c.withdrawn[release]; withdrawn {
		return nil
	}
	next := state.State
	switch d := roll.Decide(now, c.config, state.State, c.evidence).(type) {
	case roll.Withdraw:
		return c.withdraw(now, fleet.Withdrawal{Release: release, Reason: d.Reason, At: now, By: string(c.self.ID)})
	case roll.Advance:
		next.Step = d.Step
	case roll.Finish:
		next.Step = d.Step
	case roll.Hold:
		if state.State.Full || !c.quota(now, rollout, state.State).Full {
			return nil
		}
		next.Full = true
	}
	if !c.decides(now, rollout.Model) {
		return nil
	}
	if next.Step != state.State.Step {
		next.Entered = now
		next.Full = false
	}
	return c.putRollout(next, state.Version)
}

// decides tells whether this router writes the model's roll-out object now.
// The conditional write keeps a step from being taken twice; having one writer
// only saves calls.
func (c *Control) decides(now time.Time, model ident.ModelID) bool {
	var best ident.RouterID
	var top uint64
	for _, r := range c.roster(now).live {
		if r.Leaving && r.ID != c.self.ID {
			continue
		}
		if score := xxhash.Sum64String(string(model) + "/" + string(r.ID)); best == "" || score > top {
			best, top = r.ID, score
		}
	}
	return best == c.self.ID
}

func (c *Control) putRollout(state fleet.RolloutState, expect plat.Version) []Action {
	key := plat.RolloutPrefix + plat.Key(state.Model)
	if c.writing[key] || !c.platform.reachable {
		return nil
	}
	c.writing[key] = true
	return []Action{
		PutRollout{State: state, Expect: expect},
		Note{Message: "roll-out moves on", Release: ident.Release{Model: state.Model, Version: state.To}},
	}
}

// quota gives this router's share of a step's session limit; until it has heard
// who else there is, it has none.
func (c *Control) quota(now time.Time, rollout *fleet.Rollout, state fleet.RolloutState) roll.Quota {
	synced := c.synced(now)
	q := c.evidence.SessionQuota(c.source, rollout, state, c.roster(now).live, synced)
	if !synced {
		q.Remaining = 0
	}
	return q
}

// wrote takes note that a write is over. Its effect shows in the next read,
// which is made at once.
func (c *Control) wrote(e Wrote) []Action {
	delete(c.writing, e.Key)
	c.lastRead = time.Time{}
	c.reread = true
	return nil
}
