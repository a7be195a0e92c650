// Package roll decides how a new version of a model is rolled out: which
// sessions get it, and when the evidence allows a step forward or demands a
// withdrawal.
package roll

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Decision is what to do with a roll-out. It is sealed: Hold, Advance,
// Withdraw or Finish.
type Decision interface{ decision() }

// Hold leaves the roll-out at its step.
type Hold struct{ Reason string }

// Advance moves the roll-out to a step, by a conditional write on its object.
type Advance struct{ Step int }

// Withdraw withdraws the candidate. It needs no platform.
type Withdraw struct {
	Kind   Kind
	Team   ident.TeamID // the team that alone suffers, or empty for all
	Reason string
}

// Finish makes the candidate the version of all new sessions: the step is set
// to the number of steps.
type Finish struct{ Step int }

func (Hold) decision()     {}
func (Advance) decision()  {}
func (Withdraw) decision() {}
func (Finish) decision()   {}

// Kind is a way in which a version can be worse than the default one.
type Kind string

// The kinds of badness that are tested.
const (
	KindErrors  Kind = "errors"
	KindEmpty   Kind = "empty"
	KindSlow    Kind = "slow"
	KindQuality Kind = "quality"
)

// Decide compares the candidate with the default version on the fleet's
// evidence. It may be called at any time and as often as wanted: over a whole
// roll-out, a version no worse than the limits allow is withdrawn with
// probability of at most Alpha.
func Decide(now time.Time, config *fleet.Config, state fleet.RolloutState, evidence *Evidence) Decision {
	rollout := config.Rollouts[state.Model]
	model := config.Models[state.Model]
	if rollout == nil || model == nil || rollout.To != state.To {
		return Hold{Reason: "no roll-out of this version is declared"}
	}
	if !model.Has(rollout.To) {
		return Hold{Reason: "the candidate is withdrawn"}
	}
	if rollout.Aborted {
		return Hold{Reason: "the roll-out is aborted"}
	}
	if state.Step >= len(rollout.Steps) {
		return Hold{Reason: "the roll-out is finished"}
	}
	if w, bad := examine(now, config, rollout, state, evidence); bad {
		return w
	}
	return forward(rollout, state, evidence, ident.Release{Model: rollout.Model, Version: rollout.To})
}

// forward decides on a step forward of a roll-out without findings.
func forward(rollout *fleet.Rollout, state fleet.RolloutState, evidence *Evidence, release ident.Release) Decision {
	if rollout.Paused {
		return Hold{Reason: "the roll-out is paused"}
	}
	seen := evidence.step(release, state.Step).Requests
	if seen < uint64(rollout.Steps[state.Step].Evidence) {
		return Hold{Reason: "too few answers seen in this step"}
	}
	if state.Step+1 == len(rollout.Steps) {
		return Finish{Step: len(rollout.Steps)}
	}
	return Advance{Step: state.Step + 1}
}

// step adds up what all teams saw of a release in a step.
func (e *Evidence) step(release ident.Release, step int) Counters {
	var sum Counters
	for k, c := range e.cells {
		if k.Release == release && k.Stratum == (Stratum{Step: step}) {
			sum.add(&c.total)
		}
	}
	return sum
}
