package roll

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
)

// windowLength is the length of the time windows that are tested separately, so
// that good results in the past do not hide a version that starts to fail.
const windowLength = 2 * time.Minute

// Stratum is a step of a roll-out or a time window within it. Window 0 stands
// for the whole step.
type Stratum struct {
	Step   int `json:"step"`
	Window int `json:"window"`
}

// StratumAt returns the stratum under which outcomes are recorded at now.
func StratumAt(now time.Time, state fleet.RolloutState) Stratum {
	window := 1 + int(max(0, now.Sub(state.Entered))/windowLength)
	return Stratum{Step: state.Step, Window: window}
}

// WholeStep returns the stratum of the whole step.
func (s Stratum) WholeStep() Stratum {
	return Stratum{Step: s.Step}
}
