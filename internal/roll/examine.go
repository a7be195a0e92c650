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
// its limits is withdrawn. It is divided evenly between the kinds, between the
// whole roll-out and its windows, and between all teams together and each team
// apart; each step has the same part of the windows' share, and its n-th window
// 1/(n(n+1)) of that.
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
	counters Counters
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
	each := Alpha / float64(len(kinds)) / 2
	search := search{evidence: evidence, release: ident.Release{Model: rollout.Model, Version: rollout.To}, teams: teams}
	search.look(each, func(team ident.TeamID, sum *Counters) {
		for step := range current.Step + 1 {
			search.add(sum, team, Stratum{Step: step})
		}
	})
	for w := max(1, current.Window-keptWindows+1); w <= current.Window; w++ {
		search.look(each/float64(len(rollout.Steps)*w*(w+1)), func(team ident.TeamID, sum *Counters) {
			search.add(sum, team, Stratum{Step: current.Step, Window: w})
		})
	}
	return search.worst
}

// search is the state of one search for findings.
type search struct {
	evidence *Evidence
	release  ident.Release
	teams    []ident.TeamID
	worst    finding
	sum      Counters // of the cells looked at
}

// look tests all teams together and each apart on the counters that fill gives.
func (s *search) look(alpha float64, fill func(ident.TeamID, *Counters)) {
	s.test("", alpha/2, fill)
	for _, t := range s.teams {
		s.test(t, alpha/2/float64(len(s.teams)), fill)
	}
}

func (s *search) test(team ident.TeamID, alpha float64, fill func(ident.TeamID, *Counters)) {
	s.sum = Counters{}
	sum := &s.sum
	fill(team, sum)
	if sum[CountRequests] == 0 && sum[CountRatings] == 0 {
		return
	}
	for _, k := range kinds {
		if strength := wealth(sum, k) / math.Log(1/alpha); strength > s.worst.strength {
			s.worst = finding{kind: k, team: team, strength: strength, counters: *sum}
		}
	}
}

// add adds a cell, if there is one.
func (s *search) add(sum *Counters, team ident.TeamID, stratum Stratum) {
	if c, ok := s.evidence.cells[Key{Release: s.release, Team: team, Stratum: stratum}]; ok {
		sum.add(&c.total)
	}
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
