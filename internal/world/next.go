package world

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// TrialAnswers is the number of answers that a version must have given on
	// trial before the load moves to it: a version that fails one in three
	// would be found out by fewer.
	MinTrialAnswers = 20
	// trialPart is the part of a roll-out's duration that its trial takes at
	// least: sessions that began before it keep their version for that long.
	trialPart = 0.52
	// undoChance is the chance that a sound version looks as bad at which a
	// roll-out is undone.
	undoChance = 0.003
	// clearChance is the chance from which the load moves at the end of the
	// trial.
	clearChance = 0.3
	// doubtPart is the part of the duration for which a suspicion prolongs the
	// trial; below doubtChance it keeps the load away for good.
	doubtPart   = 0.66
	doubtChance = 0.1
	// movePart is the part of the duration that the move takes.
	movePart = 0.26
	// probeShare goes to the target in the first probeTime of the move, to show
	// how the version bears load.
	probeShare = 0.35
	probeTime  = 2500 * time.Millisecond
	// moveShare is the share of the load that goes to the target while the old
	// version stays in use for comparison.
	moveShare = 0.6
	// clearBefore is how long before the end of the move the old version gets
	// no more work, so that what it runs can end.
	clearBefore = 2500 * time.Millisecond
	// trialMargin keeps a trial under the exposure allowed, since requests are
	// drawn at random and repeated.
	trialMargin = 0.9
	// orderPause is the time from an order to its trial, in which the routers
	// tell each other of the sessions in use.
	orderPause = 1200 * time.Millisecond
	// turnSpread is the time over which routers take turns at a write.
	turnSpread = time.Second
)

// Share gives the part of a service's requests that goes to the target.
func (r *Rollout) TargetShare(now time.Time, exposure ident.Share) ident.Share {
	switch r.Stage {
	case StageTrial:
		return r.TrialShare(exposure)
	case StageMoving:
		switch age := now.Sub(r.StageEntered); {
		case age < probeTime:
			return probeShare
		case age < r.moveTime()-clearBefore:
			return moveShare
		default:
			return 1
		}
	default:
		return 0
	}
}

// TrialShare gives the part that goes to the target while it is on trial.
func (r *Rollout) TrialShare(exposure ident.Share) ident.Share { return exposure * trialMargin }

func (r *Rollout) moveTime() time.Duration {
	return max(probeTime+clearBefore, time.Duration(movePart*float64(r.Duration)))
}

// Next gives the stage that a roll-out should be at, and why. Turn, from 0 to
// 1, delays this router's steps forward; a step back is never delayed.
func (r *Rollout) NextStage(now time.Time, verdict roll.Verdict, turn float64) (Stage, string) {
	if verdict.PValue <= undoChance && r.Stage != StageOrdered {
		return StageRolledBack, verdict.Describe()
	}
	age := now.Sub(r.FirstSeen) - time.Duration(turn*float64(turnSpread))
	entered := now.Sub(r.StageEntered) - time.Duration(turn*float64(turnSpread))
	part := func(p float64) time.Duration { return time.Duration(p * float64(r.Duration)) }
	switch r.Stage {
	case StageOrdered:
		if entered >= orderPause {
			return StageTrial, "taken up"
		}
	case StageTrial:
		if age+r.moveTime() > r.Duration && age < r.Duration {
			return r.Stage, "" // too late to end in time, so that more evidence is worth more
		}
		cleared := verdict.PValue >= clearChance || age >= part(doubtPart) && verdict.PValue >= doubtChance
		if cleared && verdict.LoadAnswers >= MinTrialAnswers && age >= part(trialPart) {
			return StageMoving, "no evidence against it"
		}
	case StageMoving:
		if entered >= r.moveTime() {
			return StageFinished, "moved"
		}
	}
	return r.Stage, ""
}
