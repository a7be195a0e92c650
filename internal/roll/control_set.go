package roll

import (
	"math"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// A candidate's outcome is compared with a matched set of controls: outcomes of
// the default version that the same router observed just before, each used once.
// If the candidate is no worse, the outcomes of a set are exchangeable whatever
// the current conditions are. Only the position of the candidate's outcome in its
// set is counted.

// setSizes are the numbers of controls in a set, in order of preference.
var setSizes = [...]int{16, 4, 1}

// positionCount is the number of positions that a candidate's outcome can have,
// summed over the sizes of sets: one more than each size.
const positionCount = 17 + 5 + 2

// positionOffset returns the offset of the positions of a set size.
func positionOffset(size int) int {
	switch size {
	case 16:
		return 0
	case 4:
		return 17
	default:
		return 22
	}
}

// The maximum age of a control: within the traffic of all teams, which is dense,
// and within that of one team.
const (
	maxControlAgeAll  = 10 * time.Second
	maxControlAgeTeam = 2 * time.Minute
)

// sample is one outcome of the default version.
type sample struct {
	value float64 // greater is worse
	at    time.Time
}

// controlSamples is a ring buffer of the latest controls of one kind.
type controlSamples struct {
	samples [16]sample
	next    int
	unused  int
}

func (p *controlSamples) push(now time.Time, value float64) {
	p.samples[p.next] = sample{value: value, at: now}
	p.next = (p.next + 1) % len(p.samples)
	p.unused = min(p.unused+1, len(p.samples))
}

// take removes the latest controls that make up the largest possible set, and
// returns their values in buffer. Controls older than maxAge are dropped.
func (p *controlSamples) take(now time.Time, maxAge time.Duration, buffer *[16]float64) []float64 {
	valid := 0
	for valid < p.unused && now.Sub(p.recent(valid).at) <= maxAge {
		valid++
	}
	p.unused = valid
	for _, size := range setSizes {
		if valid < size {
			continue
		}
		for i := range size {
			buffer[i] = p.recent(i).value
		}
		p.unused -= size
		p.next = (p.next - size + len(p.samples)) % len(p.samples)
		return buffer[:size]
	}
	return nil
}

// recent returns the sample that was pushed back samples before the latest.
func (p *controlSamples) recent(back int) *sample {
	n := len(p.samples)
	return &p.samples[(p.next-1-back+2*n)%n]
}

// controlKey identifies the controls for a candidate within the traffic of one
// team, or of all teams if team is empty.
type controlKey struct {
	candidate ident.Release
	team      ident.TeamID
}

// controlSets holds the controls of all candidates and teams.
type controlSets map[controlKey]*controlSet

// controlSet holds the controls of one key for each kind of regression.
type controlSet struct {
	errors, empty, latency, qualityLoss controlSamples
}

// at returns the controls for a candidate and team, added if missing.
func (p controlSets) at(candidate ident.Release, team ident.TeamID) *controlSet {
	k := controlKey{candidate: candidate, team: team}
	found, ok := p[k]
	if !ok {
		found = &controlSet{}
		p[k] = found
	}
	return found
}

// push adds an outcome of the default version to the controls. A failed one
// counts for errors only.
func (w *controlSet) push(now time.Time, outcome Outcome) {
	w.errors.push(now, indicatorValue(outcome.Failed))
	if outcome.Failed {
		return
	}
	w.empty.push(now, indicatorValue(outcome.Empty))
	if outcome.FirstToken > 0 {
		w.latency.push(now, float64(outcome.FirstToken))
	}
}

func indicatorValue(hit bool) float64 {
	if hit {
		return 1
	}
	return 0
}

// generator is a pseudo-random generator that depends only on its seed.
type generator struct{ state uint64 }

func (d *generator) next() float64 {
	d.state++
	return float64(splitMix64(d.state)>>11) / math.Exp2(53)
}

// setCounter returns the counter for a set in which the candidate failed (hit)
// or did not, given the number of failures in the set. Failures are added to the
// controls at the tolerated rate, so that a candidate within its limit is no
// worse than they are. It returns false for a set without failures or controls,
// which gives no evidence.
func (d *generator) setCounter(first Counter, hit bool, set []float64, tolerance float64) (Counter, bool) {
	hits := 0
	for _, v := range set {
		if v > 0 || d.next() < tolerance {
			hits++
		}
	}
	offset := Counter(positionOffset(len(set)))
	if hit {
		return first + 2*(offset+Counter(hits)) + 1, len(set) > 0
	}
	return first + 2*(offset+Counter(hits-1)), hits > 0
}

// rankCounter returns the counter for the rank of a candidate's value among the
// controls of a set, each shifted by the tolerance. Ties are broken at random. It
// returns false if the set is empty.
func (d *generator) rankCounter(first Counter, value float64, set []float64, tolerated func(float64) float64) (Counter, bool) {
	worse, equal := 0, 0
	for _, v := range set {
		switch t := tolerated(v); {
		case value > t:
			worse++
		case value == t:
			equal++
		}
	}
	worse += int(d.next() * float64(equal+1))
	return first + Counter(positionOffset(len(set))+worse), len(set) > 0
}

func maxControlAge(team ident.TeamID) time.Duration {
	if team == "" {
		return maxControlAgeAll
	}
	return maxControlAgeTeam
}

// tolerances holds a roll-out's limits in the form that the comparisons use.
type tolerances struct {
	errors  float64
	latency float64
	quality float64
}

func tolerancesOf(limits fleet.RolloutLimits) tolerances {
	return tolerances{
		errors:  float64(limits.Errors),
		latency: math.Max(1, limits.Latency),
		quality: float64(limits.Quality),
	}
}
