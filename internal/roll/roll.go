// Package roll decides how a new version of a model is rolled out: which
// sessions get it, and when the evidence allows a step forward or demands a
// withdrawal.
package roll

import (
	"fmt"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Decision is what to do with a roll-out. It is sealed: Hold, Advance,
// Withdraw or Finish.
type Decision interface{ decision() }

// Hold leaves the roll-out at its step.
type Hold struct {
	Reason     string
	Suspicious bool // the evidence speaks against the candidate, if not enough
	Seen       int  // answers of the candidate in the step
}

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
type Finish struct {
	Step int
	// Strength is the part of the evidence needed for a withdrawal that speaks
	// against the candidate, below that of a suspicion.
	Strength float64
}

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
	if !model.IsActive(rollout.To) {
		return Hold{Reason: "the candidate is withdrawn"}
	}
	if state.Step >= len(rollout.Steps) {
		return Hold{Reason: "the roll-out is finished"}
	}
	worst := examine(now, config, rollout, state, evidence)
	if worst.strength >= 1 {
		return Withdraw{Kind: worst.kind, Team: worst.team, Reason: worst.describe()}
	}
	return forward(rollout, state, evidence, worst)
}

// forward decides on a step forward of a roll-out that is not withdrawn.
func forward(rollout *fleet.Rollout, state fleet.RolloutState, evidence *Evidence, worst finding) Decision {
	if rollout.Aborted {
		return Hold{Reason: "the roll-out is aborted"}
	}
	if rollout.Paused {
		return Hold{Reason: "the roll-out is paused"}
	}
	if worst.strength >= suspicious && state.Full {
		return Hold{Reason: "the session limit is used up and the candidate is under suspicion, raise the limit or abort: " + worst.describe(), Suspicious: true}
	}
	if worst.strength >= suspicious {
		return Hold{Reason: "the candidate is under suspicion: " + worst.describe(), Suspicious: true}
	}
	release := ident.Release{Model: rollout.Model, Version: rollout.To}
	whole := evidence.Total(Key{Release: release, Stratum: Stratum{Step: state.Step}})
	seen := whole[CountRequests]
	if wanted := rollout.Steps[state.Step].Evidence; seen < uint64(wanted) {
		return Hold{Reason: fmt.Sprintf("%d of %d answers seen in this step", seen, wanted), Seen: int(seen)}
	}
	if state.Step+1 == len(rollout.Steps) {
		return Finish{Step: len(rollout.Steps), Strength: worst.strength}
	}
	return Advance{Step: state.Step + 1}
}
