package roll

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Alpha bounds the probability that a roll-out of a version that keeps within
// its limits is withdrawn. It is divided evenly between the kinds, the steps,
// all teams together and each team apart, and the whole step and its windows;
// the n-th window of a step gets 1/(n(n+1)) of the windows' part.
const Alpha = 0.01

// suspicious is the part of the evidence needed for a withdrawal at which no
// step forward is taken.
const suspicious = 0.5

// kinds are all kinds of badness.
var kinds = [...]Kind{KindErrors, KindEmpty, KindSlow, KindQuality}

// finding is the strongest evidence against the candidate.
type finding struct {
	kind     Kind
	team     ident.TeamID
	strength float64 // part of the evidence needed; 1 demands a withdrawal
	counters *Counters
}

// examine looks for the strongest evidence that the candidate is worse than
// its limits allow.
func examine(now time.Time, config *fleet.Config, rollout *fleet.Rollout, state fleet.RolloutState, evidence *Evidence) finding {
	teams := make([]ident.TeamID, 0, len(config.Teams))
	for t := range config.Teams {
		teams = append(teams, t)
	}
	slices.Sort(teams)
	current := StratumAt(now, state)
	each := Alpha / float64(len(kinds)*len(rollout.Steps)) / 2
	worst := evidence.strongest(finding{}, rollout, current.Whole(), teams, each)
	for w := max(1, current.Window-keptWindows+1); w <= current.Window; w++ {
		current.Window = w
		worst = evidence.strongest(worst, rollout, current, teams, each/float64(w*(w+1)))
	}
	return worst
}

// strongest gives the stronger of a finding and those of one stratum.
func (e *Evidence) strongest(worst finding, rollout *fleet.Rollout, stratum Stratum, teams []ident.TeamID, alpha float64) finding {
	release := ident.Release{Model: rollout.Model, Version: rollout.To}
	look := func(team ident.TeamID, alpha float64) {
		c, ok := e.cells[Key{Release: release, Team: team, Stratum: stratum}]
		if !ok {
			return
		}
		for _, k := range kinds {
			if s := wealth(&c.total, k) / math.Log(1/alpha); s > worst.strength {
				worst = finding{kind: k, team: team, strength: s, counters: &c.total}
			}
		}
	}
	look("", alpha/2)
	for _, t := range teams {
		look(t, alpha/2/float64(len(teams)))
	}
	return worst
}

// wealth gives the logarithm of the e-value against one kind of badness.
func wealth(c *Counters, kind Kind) float64 {
	switch kind {
	case KindErrors:
		return setWealth(c, countErrorSets)
	case KindEmpty:
		return setWealth(c, countEmptySets)
	case KindSlow:
		return rankWealth(c, countSlowRanks)
	default:
		return rankWealth(c, countLackRanks)
	}
}

// describe says in words what was found.
func (f *finding) describe() string {
	c := f.counters
	switch f.kind {
	case KindErrors:
		return fmt.Sprintf("%d of %d requests failed, more than on the default version at the same time", c[CountErrors], c[CountRequests])
	case KindEmpty:
		return fmt.Sprintf("%d of %d answers were empty, more than on the default version at the same time", c[CountEmpty], c[CountRequests])
	case KindSlow:
		return fmt.Sprintf("half of the first tokens took %s or more, longer than on the default version at the same time", c.Median())
	default:
		mean, _ := c.Mean()
		return fmt.Sprintf("mean rating %.3f of %d answers, lower than on the default version at the same time", mean, c[CountRatings])
	}
}
