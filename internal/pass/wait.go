package pass

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/paths"
)

const (
	streamKind = paths.KindStream
	// patienceShare is the part of a route's objective after which silence is
	// taken for a hung endpoint, if more than the expected time has passed: a
	// second attempt can then still be on time.
	patienceShare = 0.5
	// patienceFactor is how far a first event may lie beyond what was expected.
	patienceFactor = 4
	// returnShare is the largest part of the time left that a caller waits
	// before it comes back; callers ignore more.
	returnShare = 0.3
	// returnSpread is the part of a return time by which callers are spread.
	returnSpread = 0.5
	// returnDefault is when to come back if nothing is known.
	returnDefault = 250 * time.Millisecond
	// returnStep delays each less urgent priority, as a part of the return time.
	returnStep = 0.15
	// urgentLevels is the number of priorities that are told apart.
	urgentLevels = 4
)

// patience gives the time at which an attempt's silence is taken for a hung
// endpoint. It answers the pattern of an endpoint whose health is good and
// that leaves a part of its requests without an answer.
func patience(now time.Time, r Request, expected time.Duration) (time.Time, bool) {
	if !r.Route.Repeatable() || r.Route.TargetLatency <= 0 {
		return time.Time{}, false
	}
	wait := max(time.Duration(float64(r.Route.TargetLatency)*patienceShare), patienceFactor*expected)
	at := now.Add(wait)
	return at, at.Before(r.Limit)
}

// Return says when a caller whose request did not run is to come back. Callers
// are spread, the urgent before the others, within a part of the time that
// they have left. It answers the pattern of a burst that is refused together
// and would return together.
func Return(seed uint64, priority int, after, left time.Duration) time.Duration {
	if after <= 0 {
		after = returnDefault
	}
	part := float64(seed>>40&0xffff) / 0xffff
	level := float64(min(max(priority, 0), urgentLevels))
	wait := time.Duration(float64(after) * (1 + returnStep*level + returnSpread*part))
	if most := time.Duration(float64(left) * returnShare); wait > most {
		wait = most
	}
	return max(0, wait)
}
