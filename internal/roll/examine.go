package roll

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Alpha bounds the probability that a version within its limits is withdrawn
// over a whole roll-out. It is divided evenly between the kinds of regression,
// between the whole roll-out and its windows, and between all teams together and
// each team separately. The part of the windows is divided evenly between the
// steps; the n-th window of a step gets 1/(n(n+1)) of the step's part.
const Alpha = 0.01

// suspicionThreshold is the fraction of the evidence needed for a withdrawal
// from which a roll-out does not advance.
const suspicionThreshold = 0.5

// kinds lists all kinds of regression.
var kinds = [...]Kind{KindErrors, KindEmpty, KindSlow, KindQuality}

// finding is the strongest evidence against the candidate.
type finding struct {
	kind     Kind
	team     ident.TeamID
	strength float64 // fraction of the evidence needed for a withdrawal
	counters Counters
}

// strongestFinding returns the strongest evidence that the candidate exceeds its
// limits.
func strongestFinding(now time.Time, config *fleet.Config, rollout *fleet.Rollout, state fleet.RolloutState, evidence *Evidence) finding {
	teams := make([]ident.TeamID, 0, len(config.Teams))
	for t := range config.Teams {
		teams = append(teams, t)
	}
	slices.Sort(teams)
	current := StratumAt(now, state)
	each := Alpha / float64(len(kinds)) / 2
	search := search{evidence: evidence, release: ident.Release{Model: rollout.Model, Version: rollout.To}, teams: teams}
	search.testAll(each, func(team ident.TeamID, sum *Counters) {
		for step := range current.Step + 1 {
			search.add(sum, team, Stratum{Step: step})
		}
	})
	for w := max(1, current.Window-keptWindows+1); w <= current.Window; w++ {
		search.testAll(each/float64(len(rollout.Steps)*w*(w+1)), func(team ident.TeamID, sum *Counters) {
			search.add(sum, team, Stratum{Step: current.Step, Window: w})
		})
	}
	return search.worst
}

// search holds the state of one search for the strongest finding.
type search struct {
	evidence *Evidence
	release  ident.Release
	teams    []ident.TeamID
	worst    finding
	counters Counters // sum of the cells under test
}

// testAll tests all teams together and each separately, on the counters that
// fill adds up.
func (s *search) testAll(alpha float64, fill func(ident.TeamID, *Counters)) {
	s.test("", alpha/2, fill)
	for _, t := range s.teams {
		s.test(t, alpha/2/float64(len(s.teams)), fill)
	}
}

// test tests one team, or all if team is empty, for each kind of regression.
func (s *search) test(team ident.TeamID, alpha float64, fill func(ident.TeamID, *Counters)) {
	s.counters = Counters{}
	sum := &s.counters
	fill(team, sum)
	if sum[CountRequests] == 0 && sum[CountRatings] == 0 {
		return
	}
	for _, k := range kinds {
		if strength := logEValue(sum, k) / math.Log(1/alpha); strength > s.worst.strength {
			s.worst = finding{kind: k, team: team, strength: strength, counters: *sum}
		}
	}
}

// add adds the counters of a cell to sum if the cell exists.
func (s *search) add(sum *Counters, team ident.TeamID, stratum Stratum) {
	if c, ok := s.evidence.cells[Key{Release: s.release, Team: team, Stratum: stratum}]; ok {
		sum.add(&c.total)
	}
}

// logEValue returns the logarithm of the e-value against the hypothesis that the
// candidate is within its limit for one kind of regression.
func logEValue(c *Counters, kind Kind) float64 {
	switch kind {
	case KindErrors:
		return setLogEValue(c, countErrorSets)
	case KindEmpty:
		return setLogEValue(c, countEmptySets)
	case KindSlow:
		return rankLogEValue(c, countLatencyRanks)
	default:
		return rankLogEValue(c, countQualityRanks)
	}
}

// describe returns the text that explains the finding to an operator.
func (f *finding) describe() string {
	c := &f.counters
	switch f.kind {
	case KindErrors:
		return fmt.Sprintf("%d of %d requests failed, more than on the default version at the same time", c[CountErrors], c[CountRequests])
	case KindEmpty:
		return fmt.Sprintf("%d of %d answers were empty, more than on the default version at the same time", c[CountEmpty], c[CountRequests])
	case KindSlow:
		return fmt.Sprintf("half of the first tokens took %s or more, longer than on the default version at the same time", c.MedianLatency())
	default:
		mean, _ := c.MeanRating()
		return fmt.Sprintf("mean rating %.3f of %d answers, lower than on the default version at the same time", mean, c[CountRatings])
	}
}
