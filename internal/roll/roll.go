// Package roll controls the roll-out of a new version of a model: it assigns
// sessions to versions and decides, on the outcomes observed, when a roll-out
// advances to its next step and when the new version is withdrawn.
package roll

import (
	"fmt"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Decision is the next action of a roll-out. It is one of Hold, Advance,
// Withdraw and Finish.
type Decision interface{ decision() }

// Hold keeps the roll-out at its current step.
type Hold struct {
	Reason     string
	Suspicious bool // the evidence against the candidate reaches the suspicion threshold
	Answers    int  // answers of the candidate in the step
}

// Advance moves the roll-out to the given step. The caller applies it by a
// conditional write on the roll-out's object.
type Advance struct{ Step int }

// Withdraw withdraws the candidate. The caller applies it without waiting for the
// platform.
type Withdraw struct {
	Kind   Kind
	Team   ident.TeamID // the only affected team, or empty for all teams
	Reason string
}

// Finish completes the roll-out: the step is set to the number of steps, and
// all new sessions get the candidate.
type Finish struct {
	Step int
	// Strength is the evidence against the candidate as a fraction of that
	// needed for a withdrawal. It is below the suspicion threshold.
	Strength float64
}

func (Hold) decision()     {}
func (Advance) decision()  {}
func (Withdraw) decision() {}
func (Finish) decision()   {}

// Kind is a kind of regression: a respect in which a version can be worse than
// the default one.
type Kind string

// The kinds of regression that are tested.
const (
	KindErrors  Kind = "errors"
	KindEmpty   Kind = "empty"
	KindSlow    Kind = "slow"
	KindQuality Kind = "quality"
)

// Decide compares the candidate with the default version on the evidence of the
// whole fleet and returns the next action. It may be called at any time and any
// number of times: over a whole roll-out, a version within the limits is
// withdrawn with probability at most Alpha.
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
	worst := strongestFinding(now, config, rollout, state, evidence)
	if worst.strength >= 1 {
		return Withdraw{Kind: worst.kind, Team: worst.team, Reason: worst.describe()}
	}
	return decideAdvance(rollout, state, evidence, worst)
}

// decideAdvance decides whether a roll-out that is not withdrawn advances.
func decideAdvance(rollout *fleet.Rollout, state fleet.RolloutState, evidence *Evidence, worst finding) Decision {
	if rollout.Aborted {
		return Hold{Reason: "the roll-out is aborted"}
	}
	if rollout.Paused {
		return Hold{Reason: "the roll-out is paused"}
	}
	if worst.strength >= suspicionThreshold && state.Full {
		return Hold{Reason: "the session limit is used up and the candidate is under suspicion, raise the limit or abort: " + worst.describe(), Suspicious: true}
	}
	if worst.strength >= suspicionThreshold {
		return Hold{Reason: "the candidate is under suspicion: " + worst.describe(), Suspicious: true}
	}
	release := ident.Release{Model: rollout.Model, Version: rollout.To}
	total := evidence.Total(Key{Release: release, Stratum: Stratum{Step: state.Step}})
	answers := total[CountRequests]
	if required := rollout.Steps[state.Step].Evidence; answers < uint64(required) {
		return Hold{Reason: fmt.Sprintf("%d of %d answers seen in this step", answers, required), Answers: int(answers)}
	}
	if state.Step+1 == len(rollout.Steps) {
		return Finish{Step: len(rollout.Steps), Strength: worst.strength}
	}
	return Advance{Step: state.Step + 1}
}
