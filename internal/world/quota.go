package world

import "github.com/marigoldscale/marigoldscale/pkg/ident"

const (
	// trialBoost multiplies the share of requests without a session while the
	// target has received less than its allowance.
	trialBoost = 3.0
	// usedSlackFraction is the fraction of the slack that a trial uses. The rest is
	// for retries and for routers that have lost their counts.
	usedSlackFraction = 0.4
)

// Quota counts the requests of a service that one router has sent to a roll-out's
// target. On a service with little load a trial would get too few answers by its
// share alone, so the requests allowed beyond the share are used at the start,
// when nothing is known of the version yet.
type Quota struct{ all, target float64 }

// Record counts an attempt.
func (q *Quota) Record(target bool) {
	q.all++
	if target {
		q.target++
	}
}

// Share returns the target's share of the requests without a session, where slack
// is the number of requests that all routers together may send beyond exposure.
func (q *Quota) Share(exposure ident.Share, slack float64, routers int) ident.Share {
	base := exposure * trialMargin
	if q.target+1 <= float64(base)*q.all+usedSlackFraction*slack/float64(max(1, routers)) {
		return min(base*trialBoost, 1)
	}
	return base
}
