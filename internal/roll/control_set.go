package roll

import (
	"math"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// A candidate's outcome is compared with a set of outcomes of the default
// version that the same router saw just before, each used once. Within a set
// the outcomes are exchangeable if the candidate is no worse, whatever the
// conditions of the moment are. Only the place of the candidate's outcome in
// its set is counted.

// setSizes are the numbers of default outcomes in a set.
var setSizes = [...]int{16, 4, 1}

// places is the number of places that a candidate's outcome can take over all
// sizes of sets: one more than the size of each.
const places = 17 + 5 + 2

// firstPlace gives where the places of a size begin.
func firstPlace(size int) int {
	switch size {
	case 16:
		return 0
	case 4:
		return 17
	default:
		return 22
	}
}

// The longest time that a default outcome waits to be compared: within the
// traffic of all teams, which is dense, and within that of one team.
const (
	maxAgeAll  = 10 * time.Second
	maxAgeTeam = 2 * time.Minute
)

// sample is one outcome of the default version.
type sample struct {
	value float64 // the greater the worse
	at    time.Time
}

// partners are the latest default outcomes of one kind not yet used.
type partners struct {
	samples [16]sample
	next    int
	fresh   int
}

func (p *partners) push(now time.Time, value float64) {
	p.samples[p.next] = sample{value: value, at: now}
	p.next = (p.next + 1) % len(p.samples)
	p.fresh = min(p.fresh+1, len(p.samples))
}

// take gives the newest unused outcomes, as many as make a set, and uses them
// up. Those that are too old are dropped.
func (p *partners) take(now time.Time, age time.Duration, into *[16]float64) []float64 {
	young := 0
	for young < p.fresh && now.Sub(p.latest(young).at) <= age {
		young++
	}
	p.fresh = young
	for _, size := range setSizes {
		if young < size {
			continue
		}
		for i := range size {
			into[i] = p.latest(i).value
		}
		p.fresh -= size
		p.next = (p.next - size + len(p.samples)) % len(p.samples)
		return into[:size]
	}
	return nil
}

func (p *partners) latest(back int) *sample {
	n := len(p.samples)
	return &p.samples[(p.next-1-back+2*n)%n]
}

// pool is where partners wait: for one team or, with no team, for all.
type pool struct {
	candidate ident.Release
	team      ident.TeamID
}

// pools holds the partners by kind.
type pools map[pool]*waiting

// waiting is one pool's partners, one for each kind.
type waiting struct {
	errors, empty, slow, lack partners
}

func (p pools) at(candidate ident.Release, team ident.TeamID) *waiting {
	k := pool{candidate: candidate, team: team}
	found, ok := p[k]
	if !ok {
		found = &waiting{}
		p[k] = found
	}
	return found
}

// push lets an outcome of the default version wait.
func (w *waiting) push(now time.Time, outcome Outcome) {
	w.errors.push(now, indicator(outcome.Failed))
	if outcome.Failed {
		return
	}
	w.empty.push(now, indicator(outcome.Empty))
	if outcome.FirstToken > 0 {
		w.slow.push(now, float64(outcome.FirstToken))
	}
}

func indicator(hit bool) float64 {
	if hit {
		return 1
	}
	return 0
}

// draw gives random numbers that depend on nothing but a seed.
type draw struct{ state uint64 }

func (d *draw) next() float64 {
	d.state++
	return float64(mix(d.state)>>11) / math.Exp2(53)
}

// tally gives the counter of a candidate's failure, or of its absence, among
// the failures of a set. Failures are added to the default version's at the
// tolerated rate, so that a candidate within its limit is no worse. A set
// without any failure shows nothing.
func (d *draw) tally(first Counter, hit bool, set []float64, tolerance float64) (Counter, bool) {
	hits := 0
	for _, v := range set {
		if v > 0 || d.next() < tolerance {
			hits++
		}
	}
	place := Counter(firstPlace(len(set)))
	if hit {
		return first + 2*(place+Counter(hits)) + 1, len(set) > 0
	}
	return first + 2*(place+Counter(hits-1)), hits > 0
}

// rank gives the counter of the place of a candidate's value among those of a
// set, each scaled to what is tolerated. Equal values are ordered at random.
func (d *draw) rank(first Counter, value float64, set []float64, tolerated func(float64) float64) (Counter, bool) {
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
	return first + Counter(firstPlace(len(set))+worse), len(set) > 0
}

func maxAge(team ident.TeamID) time.Duration {
	if team == "" {
		return maxAgeAll
	}
	return maxAgeTeam
}

// tolerances are a roll-out's limits as the comparisons use them.
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
