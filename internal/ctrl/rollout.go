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

// mergeRollouts keeps the newest version of each roll-out object.
func (c *Control) mergeRollouts(rollouts []RolloutObject) {
	for _, r := range rollouts {
		if known, ok := c.rollouts[r.State.Model]; ok && known.Version >= r.Version {
			continue
		}
		c.rollouts[r.State.Model] = r
		c.viewDirty = true
	}
}

// rolloutComparison returns the comparison under which outcomes of a model are
// recorded, or false if no roll-out of it is in progress.
func (c *Control) rolloutComparison(now time.Time, model ident.ModelID) (roll.Comparison, bool) {
	state, ok := c.rollouts[model]
	if !ok || c.config == nil {
		return roll.Comparison{}, false
	}
	return roll.ComparisonAt(now, c.config, state.State)
}

func (c *Control) recordRating(now time.Time, e AnswerRated) {
	c.estimates.Observe(now, casc.Source(c.source), casc.Key{Class: e.Class, Model: e.Release.Model, Escalated: e.Escalated}, e.Quality)
	if comparison, ok := c.rolloutComparison(now, e.Release.Model); ok {
		c.evidence.RecordRating(now, c.source, comparison, e.Team, e.Release, e.Quality)
	}
}

func (c *Control) recordExposure(now time.Time, e SessionExposed) {
	if comparison, ok := c.rolloutComparison(now, e.Release.Model); ok {
		c.evidence.RecordExposure(c.source, comparison, e.Team)
	}
}

// decideRollouts starts, advances or finishes each configured roll-out, or
// withdraws its version.
func (c *Control) decideRollouts(now time.Time) []Action {
	if c.config == nil {
		return nil
	}
	var actions []Action
	for model, rollout := range c.config.Rollouts {
		state, ok := c.rollouts[model]
		if !ok || state.State.To != rollout.To {
			if c.writesRollout(now, model) {
				actions = append(actions, c.putRollout(fleet.RolloutState{Model: model, To: rollout.To, Entered: now}, state.Version)...)
			}
			continue
		}
		actions = append(actions, c.decideRollout(now, rollout, state)...)
	}
	return actions
}

func (c *Control) decideRollout(now time.Time, rollout *fleet.Rollout, state RolloutObject) []Action {
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
		if state.State.Full || !c.sessionQuota(now, rollout, state.State).Full {
			return nil
		}
		next.Full = true
	}
	if !c.writesRollout(now, rollout.Model) {
		return nil
	}
	if next.Step != state.State.Step {
		next.Entered = now
		next.Full = false
	}
	return c.putRollout(next, state.Version)
}

// writesRollout reports whether this router writes the model's roll-out object,
// by rendezvous hashing over the live routers. The conditional write prevents a
// step from being taken twice; a single writer only saves calls.
func (c *Control) writesRollout(now time.Time, model ident.ModelID) bool {
	var best ident.RouterID
	var top uint64
	for _, r := range c.membership(now).live {
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
	if c.pendingWrites[key] || !c.platform.reachable {
		return nil
	}
	c.pendingWrites[key] = true
	return []Action{
		PutRollout{State: state, Expect: expect},
		LogEvent{Message: "writing roll-out state", Release: ident.Release{Model: state.Model, Version: state.To}},
	}
}

// sessionQuota returns this router's share of a step's session limit. The share
// is zero until the router is synced with its peers.
func (c *Control) sessionQuota(now time.Time, rollout *fleet.Rollout, state fleet.RolloutState) roll.Quota {
	synced := c.synced(now)
	q := c.evidence.SessionQuota(c.source, rollout, state, c.membership(now).live, synced)
	if !synced {
		q.Remaining = 0
	}
	return q
}

// objectWritten marks a write as completed, whatever its result, and schedules a
// read, which shows its effect.
func (c *Control) objectWritten(e ObjectWritten) []Action {
	delete(c.pendingWrites, e.Key)
	c.lastRead = time.Time{}
	c.rereadNeeded = true
	return nil
}
