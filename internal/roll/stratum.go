package roll

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
)

// windowLength is the time within which a version's evidence is compared on
// its own, so that a version which turns bad is not hidden by a good past.
const windowLength = 2 * time.Minute

// Stratum is a part of a roll-out. Window 0 stands for the whole step.
type Stratum struct {
	Step   int `json:"step"`
	Window int `json:"window"`
}

// StratumAt gives the stratum in force, under which outcomes are recorded.
func StratumAt(now time.Time, state fleet.RolloutState) Stratum {
	window := 1 + int(max(0, now.Sub(state.Entered))/windowLength)
	return Stratum{Step: state.Step, Window: window}
}

// Whole gives the stratum of the whole step.
func (s Stratum) WholeStep() Stratum {
	return Stratum{Step: s.Step}
}
