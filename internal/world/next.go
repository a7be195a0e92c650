package world

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// TrialAnswers is the number of answers that a version must have given on
	// trial before more of the load moves to it.
	TrialAnswers = 12
	// trialPart is the part of a roll-out's duration that its trial takes:
	// sessions that began before it keep their version for that long.
	trialPart = 0.52
	// trialMost is the part of the duration after which the load moves although
	// few answers were seen, if none of them speaks against the version.
	trialMost = 0.65
	// movePart is the part of the duration that the move takes.
	movePart = 0.2
	// moveShare is the share of the load that goes to the target while the old
	// version stays in use for comparison.
	moveShare = 0.9
	// clearBefore is how long before the end of the move the old version gets
	// no more work, so that what it runs can end.
	clearBefore = 3 * time.Second
	// trialMargin keeps a trial under the exposure allowed, since requests are
	// drawn at random and repeated.
	trialMargin = 0.6
	// turnSpread is the time over which routers take turns at a write.
	turnSpread = 1500 * time.Millisecond
)

// Share gives the part of a service's requests that goes to the target.
func (r *Rollout) Share(now time.Time, exposure ident.Share) ident.Share {
	switch r.Stage {
	case StageTrial:
		return exposure * trialMargin
	case StageMoving:
		if now.Sub(r.Entered) >= r.moveTime()-clearBefore {
			return 1
		}
		return moveShare
	default:
		return 0
	}
}

func (r *Rollout) moveTime() time.Duration {
	return max(clearBefore, time.Duration(movePart*float64(r.Duration)))
}

// Next gives the stage that a roll-out should be at, and why. Turn, from 0 to
// 1, delays this router's steps forward; a step back is never delayed.
func (r *Rollout) Next(now time.Time, evidence roll.Decision, turn float64) (Stage, string) {
	if w, bad := evidence.(roll.Withdraw); bad && r.Stage != StageOrdered {
		return StageUndone, w.Reason
	}
	age := now.Sub(r.Seen) - time.Duration(turn*float64(turnSpread))
	entered := now.Sub(r.Entered) - time.Duration(turn*float64(turnSpread))
	part := func(p float64) time.Duration { return time.Duration(p * float64(r.Duration)) }
	switch r.Stage {
	case StageOrdered:
		if entered >= 0 {
			return StageTrial, "taken up"
		}
	case StageTrial:
		_, enough := evidence.(roll.Finish)
		if age >= part(trialPart) && enough {
			return StageMoving, "no evidence against it"
		}
		if hold, held := evidence.(roll.Hold); held && age >= part(trialMost) && !hold.Suspicious {
			return StageMoving, "few answers, none against it"
		}
	case StageMoving:
		if entered >= r.moveTime() {
			return StageFinished, "moved"
		}
	}
	return r.Stage, ""
}
