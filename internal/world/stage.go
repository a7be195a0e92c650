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
	// minTrialFraction is the minimum length of the trial as a fraction of the
	// roll-out's duration. Sessions that began before the trial keep their
	// version for that long.
	minTrialFraction = 0.52
	// rollbackPValue is the p-value at or below which a roll-out is rolled back.
	// It is the probability that a version no worse than the stable one gives
	// answers as bad.
	rollbackPValue = 0.003
	// promotePValue is the p-value from which the trial ends at its minimum
	// length.
	promotePValue = 0.3
	// extendedTrialFraction is the length, as a fraction of the duration, to which
	// the trial is extended if the p-value is lower. Below minPromotePValue the
	// version stays on trial.
	extendedTrialFraction = 0.66
	minPromotePValue      = 0.1
	// maxPromoteDoubt is the doubt, as of roll.Verdict, above which the version stays on
	// trial: it must be known to be sound, and not only not known to be bad.
	maxPromoteDoubt = 0.05
	// movingFraction is the length of the moving stage as a fraction of the
	// duration.
	movingFraction = 0.26
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
	// writeSpread is the time over which the routers' writes are staggered.
	writeSpread = time.Second
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
	return max(probeTime+drainTime, time.Duration(movingFraction*float64(r.Duration)))
}

// NextStage returns the stage that is to be written to the store, and the reason, or
// the current stage without a reason. This router's writes are delayed by
// delayFraction, from 0 to 1, of writeSpread; that of a rollback is never delayed.
func (r *Rollout) NextStage(now time.Time, verdict roll.Verdict, delayFraction float64) (Stage, string) {
	if r.Active() && verdict.PValue <= rollbackPValue && r.Stage != StageOrdered {
		return StageRolledBack, verdict.Describe()
	}
	delay := time.Duration(delayFraction * float64(writeSpread))
	if !r.UnstoredSince.IsZero() {
		if now.Sub(r.UnstoredSince) < delay {
			return r.Stage, ""
		}
		return r.Stage, "lost by the store"
	}
	age, inStage := now.Sub(r.FirstSeen)-delay, now.Sub(r.StageEntered)-delay
	ofDuration := func(fraction float64) time.Duration { return time.Duration(fraction * float64(r.Duration)) }
	switch r.Stage {
	case StageOrdered:
		if inStage >= trialDelay {
			return StageTrial, "taken up"
		}
	case StageTrial:
		if age+r.movingTime() > r.Duration && age < r.Duration {
			return r.Stage, "" // too late to finish in time, so collect more evidence
		}
		promote := verdict.PValue >= promotePValue || age >= ofDuration(extendedTrialFraction) && verdict.PValue >= minPromotePValue
		if promote && verdict.Doubt <= maxPromoteDoubt && verdict.LoadAnswers >= MinTrialAnswers && age >= ofDuration(minTrialFraction) {
			return StageMoving, "sound on trial"
		}
	case StageMoving:
		if inStage >= r.movingTime() {
			return StageFinished, "moved"
		}
	}
	return r.Stage, ""
}
