package roll

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
)

// Alpha bounds the probability that a roll-out of a version that keeps within
// its limits is withdrawn.
const Alpha = 0.01

// examine looks for evidence that the candidate is worse than its limits.
func examine(_ time.Time, _ *fleet.Config, _ *fleet.Rollout, _ fleet.RolloutState, _ *Evidence) (Withdraw, bool) {
	return Withdraw{}, false
}
