package ctrl

import (
	"sync/atomic"

	"github.com/marigoldscale/marigoldscale/internal/casc"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// View is what the control thread publishes for the traffic threads. It is
// immutable but for the quotas, which count down as sessions are assigned.
type View struct {
	*fleet.Snapshot
	Quotas    map[ident.ModelID]*Quota
	Estimates *casc.Estimates
}

// Quota is how many more sessions this router may expose to a version under
// roll-out before the control thread publishes the next view. It is safe for
// use by many goroutines.
type Quota struct {
	Limited bool
	left    atomic.Int64
}

// NewQuota gives a quota of the given number of sessions.
func NewQuota(limited bool, left int) *Quota {
	q := &Quota{Limited: limited}
	q.left.Store(int64(left))
	return q
}

// Left gives the number of sessions left.
func (q *Quota) Left() int {
	return int(max(0, q.left.Load()))
}

// Take counts one session down, and tells whether there was one left.
func (q *Quota) Take() bool {
	return !q.Limited || q.left.Add(-1) >= 0
}

// Quota gives what the choice of a version depends on.
func (v *View) Quota(model ident.ModelID) roll.Quota {
	q, ok := v.Quotas[model]
	if !ok {
		return roll.Quota{}
	}
	return roll.Quota{Limited: q.Limited, Left: q.Left()}
}
