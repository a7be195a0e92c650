package world

import "github.com/marigoldscale/marigoldscale/pkg/ident"

const (
	// quotaBoost is by how much the share of requests without a session grows
	// while what the target got is below what it may get.
	quotaBoost = 3.0
	// slackPart is the part of the allowance beyond the share that a trial uses;
	// the rest is for repeats and for routers that have lost count.
	slackPart = 0.4
)

// Quota counts what one router sent of a service's requests to a roll-out's
// target. It answers the pattern of a service with little load, whose trial
// would get too few answers by its share alone: what may be sent beyond the
// share is used at the beginning, when nothing is known of the version yet.
type Quota struct{ all, target float64 }

// Add counts an attempt.
func (q *Quota) Record(target bool) {
	q.all++
	if target {
		q.target++
	}
}

// Share gives the part of the requests without a session that goes to the
// target, where slack is what all routers together may send beyond exposure.
func (q *Quota) Share(exposure ident.Share, slack, routers int) ident.Share {
	base := exposure * trialMargin
	if q.target+1 <= float64(base)*q.all+slackPart*float64(slack)/float64(max(1, routers)) {
		return min(base*quotaBoost, 1)
	}
	return base
}
