package roll

import (
	"fmt"
	"math"
	"slices"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// toleratedErrors and toleratedSlow are the shares of failed and of slow
	// answers that a version may have beyond the one it replaces.
	toleratedErrors = 0.04
	toleratedSlow   = 0.15
	// comparedLeast is the number of answers of the old version from which a
	// group can be compared.
	comparedLeast = 8
	// busyShare is the part of the old version's answers from which a group
	// counts towards the answers that a trial needs.
	busyShare = 0.05
	// recentSlices is the number of slices that are judged apart from the
	// whole, so that a good start does not hide a version that turns bad.
	recentSlices = 2
	// exactLeast is the number of answers up to which the chance is computed
	// exactly; it is bounded from above beyond.
	exactLeast = 256
)

// Verdict is what the evidence says of a version against the one it replaces.
type Verdict struct {
	// Chance bounds the probability that a version which is within what is
	// tolerated looks as bad at the moment of looking, 1 if nothing speaks
	// against it.
	PValue      float64
	Kind        Kind   // in which it looks worst
	Group       Group  // that alone suffers, "" for all
	LoadAnswers uint64 // of the version, to groups that carry a part of the load
	Observed    Tally  // on which Chance rests
	Expected    float64
}

// Describe says in words what speaks against the version.
func (v Verdict) Describe() string {
	what, hits, of := "failed", v.Observed.Failed, v.Observed.Answers
	if v.Kind == KindSlow {
		what, hits, of = "were slow", v.Observed.Slow, v.Observed.Timed
	}
	where := "on all routes"
	if v.Group != "" {
		where = fmt.Sprintf("on route %q", string(v.Group))
	}
	return fmt.Sprintf("%d of %d answers %s %s, %.1f expected, chance %.2g", hits, of, what, where, v.Expected, v.PValue)
}

// Judge compares two versions on tens of answers. It answers the pattern of a
// roll-out that is over in seconds, in which the version on trial may get a
// small share of the load: each of its answers is compared with all answers of
// the old version to the same group of requests in the same roll-out.
func (b *Tallies) Compare(order string, old, target ident.VersionID, slice int) Verdict {
	groups := b.groups(order, target)
	slices.Sort(groups)
	worst := Verdict{PValue: 1}
	looks := []int{0}
	if slice > recentSlices {
		looks = append(looks, slice-recentSlices+1)
	}
	tests := float64(len(looks) * 2 * (1 + len(groups)))
	for _, from := range looks {
		pairs := b.pairs(order, old, target, groups, from)
		for _, kind := range [...]Kind{KindErrors, KindSlow} {
			worst.note(kind, "", pairs, tests)
			for i := range pairs {
				worst.note(kind, pairs[i].group, pairs[i:i+1], tests)
			}
		}
	}
	worst.LoadAnswers = b.answers(order, old, target, groups)
	return worst
}

// pair is what both versions answered to one group.
type pair struct {
	group       Group
	old, target Tally
}

// pairs gives the groups that can be compared. The old version's answers are
// those of the same time if they are enough, and all of the roll-out otherwise.
func (b *Tallies) pairs(order string, old, target ident.VersionID, groups []Group, from int) []pair {
	var list []pair
	for _, g := range groups {
		p := pair{group: g, old: b.sum(order, old, g, from), target: b.sum(order, target, g, from)}
		if p.old.Answers < comparedLeast {
			p.old = b.sum(order, old, g, 0)
		}
		if p.old.Answers >= comparedLeast && p.target.Answers > 0 {
			list = append(list, p)
		}
	}
	return list
}

// answers counts the target's answers to groups that carry a part of the load.
func (b *Tallies) answers(order string, old, target ident.VersionID, groups []Group) uint64 {
	all := uint64(0)
	each := make([]uint64, len(groups))
	for i, g := range groups {
		each[i] = b.sum(order, old, g, 0).Answers
		all += each[i]
	}
	n := uint64(0)
	for i, g := range groups {
		if float64(each[i]) >= busyShare*float64(all) {
			n += b.sum(order, target, g, 0).Answers
		}
	}
	return n
}

// note takes a comparison in if it speaks more against the version than what
// was seen before. Tests is the number of comparisons made together.
func (v *Verdict) note(kind Kind, group Group, pairs []pair, tests float64) {
	var trials []trials
	var sum Tally
	hits, usual := uint64(0), 0.0
	for _, p := range pairs {
		n, k, share := p.compare(kind)
		trials = append(trials, newTrials(n, share))
		hits += k
		usual += float64(n) * share
		sum = sum.Add(p.target)
	}
	if chance := min(1, tests*tail(trials, hits)); chance < v.PValue {
		v.PValue, v.Kind, v.Group, v.Observed, v.Expected = chance, kind, group, sum, usual
	}
}

// compare gives the target's answers, those of them that are bad, and the share
// that may be.
func (p *pair) compare(kind Kind) (n, bad uint64, share float64) {
	if kind == KindSlow {
		return p.target.Timed, p.target.Slow, expected(p.old.Slow, p.old.Timed) + toleratedSlow
	}
	return p.target.Answers, p.target.Failed, expected(p.old.Failed, p.old.Answers) + toleratedErrors
}

// expected estimates a share from counts, by the rule of succession.
func expected(hits, of uint64) float64 { return float64(hits+1) / float64(of+2) }

// trials are answers of which each is bad with the same probability.
type trials struct {
	n int
	p float64
}

func newTrials(n uint64, p float64) trials { return trials{n: int(n), p: min(p, 1)} }

// tail gives the probability of at least hits bad answers, or a bound on it.
func tail(all []trials, hits uint64) float64 {
	n, mean := 0, 0.0
	for _, t := range all {
		n += t.n
		mean += float64(t.n) * t.p
	}
	switch {
	case float64(hits) <= mean:
		return 1
	case n <= exactLeast:
		return exactTail(all, n, int(hits))
	}
	return chernoff(all, float64(hits))
}

// exactTail adds up the distribution of the number of bad answers.
func exactTail(all []trials, n, hits int) float64 {
	chance := make([]float64, n+1)
	chance[0] = 1
	done := 0
	for _, t := range all {
		for range t.n {
			done++
			for k := done; k > 0; k-- {
				chance[k] = chance[k]*(1-t.p) + chance[k-1]*t.p
			}
			chance[0] *= 1 - t.p
		}
	}
	sum := 0.0
	for _, c := range chance[hits:] {
		sum += c
	}
	return min(1, sum)
}

// chernoff bounds the tail by the exponential moment that is least.
func chernoff(all []trials, hits float64) float64 {
	bound := func(s float64) float64 {
		sum := -s * hits
		for _, t := range all {
			sum += float64(t.n) * math.Log1p(t.p*math.Expm1(s))
		}
		return sum
	}
	low, high := 0.0, chernoffMost
	for range chernoffSteps { // bound is convex
		a, c := low+(high-low)/3, high-(high-low)/3
		if bound(a) < bound(c) {
			high = c
		} else {
			low = a
		}
	}
	return min(1, math.Exp(bound((low+high)/2)))
}

// chernoffMost and chernoffSteps bound the search for the least moment; odds
// beyond exp(8) change nothing in a verdict.
const (
	chernoffMost  = 8.0
	chernoffSteps = 40
)
