package world

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// MinTrialAnswers is the number of answers that a version must have given on
	// trial before it gets more load. A version that fails one in three would
	// be detected with fewer.
	MinTrialAnswers = 20
	// minTrialPart is the minimum length of the trial as a fraction of the
	// roll-out's duration. Sessions that began before the trial keep their
	// version for that long.
	minTrialPart = 0.52
	// rollbackChance is the chance of a sound version giving answers as bad at
	// or below which a roll-out is rolled back.
	rollbackChance = 0.003
	// promoteChance is the chance from which the trial ends at its minimum
	// length.
	promoteChance = 0.3
	// extendedTrialPart is the length, as a fraction of the duration, to which
	// the trial is extended if the chance is lower. Below minPromoteChance the
	// version stays on trial.
	extendedTrialPart = 0.66
	minPromoteChance  = 0.1
	// movingPart is the length of the moving stage as a fraction of the
	// duration.
	movingPart = 0.26
	// probeShare is the target's share of the requests in the first probeTime
	// of the moving stage, which shows how the version performs under load.
	probeShare = 0.35
	probeTime  = 2500 * time.Millisecond
	// moveShare is the target's share of the requests while the old version
	// stays in use for comparison.
	moveShare = 0.6
	// drainTime is how long before the end of the moving stage the old version
	// gets no new requests, so that running ones can end.
	drainTime = 2500 * time.Millisecond
	// trialMargin keeps a trial's share below the allowed exposure, since
	// requests are selected at random and may be retried.
	trialMargin = 0.9
	// trialDelay is the time from an order to its trial, in which the routers
	// exchange the sessions in use.
	trialDelay = 1200 * time.Millisecond
	// turnSpread is the time over which the routers' writes are staggered.
	turnSpread = time.Second
)

// TargetShare returns the target's share of the service's requests.
func (r *Rollout) TargetShare(now time.Time, exposure ident.Share) ident.Share {
	switch r.Stage {
	case StageTrial:
		return r.TrialShare(exposure)
	case StageMoving:
		switch age := now.Sub(r.StageEntered); {
		case age < probeTime:
			return probeShare
		case age < r.movingTime()-drainTime:
			return moveShare
		default:
			return 1
		}
	default:
		return 0
	}
}

// TrialShare returns the target's share while it is on trial.
func (r *Rollout) TrialShare(exposure ident.Share) ident.Share { return exposure * trialMargin }

// movingTime returns the length of the moving stage.
func (r *Rollout) movingTime() time.Duration {
	return max(probeTime+drainTime, time.Duration(movingPart*float64(r.Duration)))
}

// NextStage returns the stage that the roll-out should be at and, if it differs
// from the present one, the reason. The turn, from 0 to 1, delays this router's
// steps forward; a rollback is never delayed.
func (r *Rollout) NextStage(now time.Time, verdict roll.Verdict, turn float64) (Stage, string) {
	if verdict.PValue <= rollbackChance && r.Stage != StageOrdered {
		return StageRolledBack, verdict.Describe()
	}
	age := now.Sub(r.FirstSeen) - time.Duration(turn*float64(turnSpread))
	inStage := now.Sub(r.StageEntered) - time.Duration(turn*float64(turnSpread))
	part := func(p float64) time.Duration { return time.Duration(p * float64(r.Duration)) }
	switch r.Stage {
	case StageOrdered:
		if inStage >= trialDelay {
			return StageTrial, "taken up"
		}
	case StageTrial:
		if age+r.movingTime() > r.Duration && age < r.Duration {
			return r.Stage, "" // too late to finish in time, so collect more evidence
		}
		promote := verdict.PValue >= promoteChance || age >= part(extendedTrialPart) && verdict.PValue >= minPromoteChance
		if promote && verdict.LoadAnswers >= MinTrialAnswers && age >= part(minTrialPart) {
			return StageMoving, "no evidence against it"
		}
	case StageMoving:
		if inStage >= r.movingTime() {
			return StageFinished, "moved"
		}
	}
	return r.Stage, ""
}
