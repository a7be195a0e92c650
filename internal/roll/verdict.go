package roll

import (
	"fmt"
	"math"
	"slices"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// toleratedErrors and toleratedSlow are the shares of failed and of slow
	// answers by which a version may exceed the one that it replaces.
	toleratedErrors = 0.04
	toleratedSlow   = 0.15
	// toleratedSlowMoved replaces toleratedSlow once the target gives more answers than the
	// old version. Those of the old one are of another time and load then, and the target's
	// engines have few prompts cached. A sound version had 33 to 41 in 100 slow answers
	// where the old one had 9 to 18 before. It is what counts as a bad version, see badShare.
	toleratedSlowMoved = badShare
	// minComparedAnswers is the number of answers of the old version from which
	// a group is compared.
	minComparedAnswers = 8
	// minLoadShare is the share of the old version's answers from which the
	// answers to a group count as LoadAnswers.
	minLoadShare = 0.05
	// recentSliceCount is the number of latest time slices that are tested
	// separately, so that good results at the start do not hide a version that
	// starts to fail.
	recentSliceCount = 2
	// badShare is the share of bad answers that a bad version gives beyond those of
	// the old one.
	badShare = 0.33
	// maxExactAnswers is the number of answers up to which the tail probability
	// is computed exactly. Beyond it an upper bound is used.
	maxExactAnswers = 256
)

// Verdict is the result of comparing a version with the one that it replaces.
type Verdict struct {
	// PValue is an upper bound of the probability that a version within the
	// tolerated shares gives at least as many bad answers, corrected for the
	// number of comparisons. It is 1 if there is no evidence against the version.
	PValue      float64
	Kind        Kind    // kind of regression with the least p-value
	Group       Group   // the only affected group, or "" for all groups
	LoadAnswers uint64  // the version's answers to groups with a substantial share of the load
	LoadTimed   uint64  // those of LoadAnswers whose time could be compared
	Observed    Tally   // the version's answers from which PValue was computed
	Expected    float64 // bad answers expected of a version with the tolerated shares
	// Doubt is the probability that a version which fails a third of the requests, or is
	// slow in a third, gives as few bad answers as this one. It is near 1 while little is
	// known: a high PValue alone does not show that a version is sound.
	Doubt float64
}

// Describe returns the text that explains the verdict to an operator.
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

// Compare compares two versions on tens of answers, for roll-outs that last
// seconds and give the new version a small share of the load. The answers of the
// target are compared with all answers of the old version to the same group of
// requests in the same roll-out.
func (b *Tallies) Compare(rollout string, old, target ident.VersionID, slice int) Verdict {
	groups := b.answeredGroups(rollout, target)
	slices.Sort(groups)
	worst := Verdict{PValue: 1}
	starts := []int{0}
	if slice > recentSliceCount {
		starts = append(starts, slice-recentSliceCount+1)
	}
	tests := float64(len(starts) * 2 * (1 + len(groups)))
	for _, from := range starts {
		pairs := b.comparableGroups(rollout, old, target, groups, from)
		for i := range pairs {
			pairs[i].moved = b.hasMoved(rollout, old, target, pairs[i].group, slice)
		}
		for _, kind := range [...]Kind{KindErrors, KindSlow} {
			worst.update(kind, "", pairs, tests)
			for i := range pairs {
				worst.update(kind, pairs[i].group, pairs[i:i+1], tests)
			}
		}
	}
	worst.Doubt = doubt(b.comparableGroups(rollout, old, target, groups, 0))
	load := b.loadTally(rollout, old, target, groups)
	worst.LoadAnswers, worst.LoadTimed = load.Answers, load.Timed
	return worst
}

// doubt returns the greater probability, of the two kinds of regression, that a bad
// version gives as few bad answers on all groups together. A version that is bad on one
// route only is found by the p-value of that route.
func doubt(pairs []groupTallies) float64 {
	return max(badChance(KindErrors, pairs), badChance(KindSlow, pairs))
}

// badChance returns the probability that a version which gives badShare more bad answers
// than the old one gives at most as many as the target.
func badChance(kind Kind, pairs []groupTallies) float64 {
	// The good answers of a bad version: at least as many as the target's.
	var good []binomial
	hits := uint64(0)
	for _, p := range pairs {
		n, k, _ := p.counts(kind)
		old := p.oldShare(kind)
		good = append(good, newBinomial(n, (1-old)*(1-badShare)))
		hits += n - k
	}
	return upperTail(good, hits)
}

// groupTallies holds the tallies of both versions for one group.
type groupTallies struct {
	group       Group
	old, target Tally
	moved       bool // the target gives most of the answers now
}

// comparableGroups returns the tallies of the groups that can be compared, since
// a time slice. Where the old version has too few answers since then, all of its
// answers in the roll-out are used.
func (b *Tallies) comparableGroups(rollout string, old, target ident.VersionID, groups []Group, from int) []groupTallies {
	var list []groupTallies
	for _, g := range groups {
		p := groupTallies{group: g, old: b.total(rollout, old, g, from), target: b.total(rollout, target, g, from)}
		if p.old.Answers < minComparedAnswers {
			p.old = b.total(rollout, old, g, 0)
		}
		if p.old.Answers >= minComparedAnswers && p.target.Answers > 0 {
			list = append(list, p)
		}
	}
	return list
}

// hasMoved reports whether the target gives most of the answers to a group, as of the
// latest time slice, or the two latest while that has just begun.
func (b *Tallies) hasMoved(rollout string, old, target ident.VersionID, g Group, slice int) bool {
	answers := b.total(rollout, target, g, slice).Answers
	if answers < minComparedAnswers {
		slice--
		answers = b.total(rollout, target, g, slice).Answers
	}
	return b.total(rollout, old, g, slice).Answers < answers
}

// loadTally returns the target's answers to groups whose share of the old version's
// answers is at least minLoadShare.
func (b *Tallies) loadTally(rollout string, old, target ident.VersionID, groups []Group) Tally {
	all := uint64(0)
	each := make([]uint64, len(groups))
	for i, g := range groups {
		each[i] = b.total(rollout, old, g, 0).Answers
		all += each[i]
	}
	var sum Tally
	for i, g := range groups {
		if float64(each[i]) >= minLoadShare*float64(all) {
			sum = sum.Add(b.total(rollout, target, g, 0))
		}
	}
	return sum
}

// update replaces the verdict by a comparison with a lower p-value. The p-value
// is corrected (Bonferroni) for tests, the number of comparisons made together.
func (v *Verdict) update(kind Kind, group Group, pairs []groupTallies, tests float64) {
	var parts []binomial
	var sum Tally
	hits, mean := uint64(0), 0.0
	for _, p := range pairs {
		n, k, share := p.counts(kind)
		parts = append(parts, newBinomial(n, share))
		hits += k
		mean += float64(n) * share
		sum = sum.Add(p.target)
	}
	if p := min(1, tests*upperTail(parts, hits)); p < v.PValue {
		v.PValue, v.Kind, v.Group, v.Observed, v.Expected = p, kind, group, sum, mean
	}
}

// counts returns the number of the target's answers, the number of bad ones
// among them, and the tolerated share of bad ones.
func (p *groupTallies) counts(kind Kind) (n, bad uint64, share float64) {
	switch {
	case kind == KindSlow && p.moved:
		return p.target.Timed, p.target.Slow, p.oldShare(kind) + toleratedSlowMoved
	case kind == KindSlow:
		return p.target.Timed, p.target.Slow, p.oldShare(kind) + toleratedSlow
	}
	return p.target.Answers, p.target.Failed, p.oldShare(kind) + toleratedErrors
}

// oldShare returns the share of the old version's answers that are bad.
func (p *groupTallies) oldShare(kind Kind) float64 {
	if kind == KindSlow {
		return expectedShare(p.old.Slow, p.old.Timed)
	}
	return expectedShare(p.old.Failed, p.old.Answers)
}

// expectedShare estimates a share from counts by the rule of succession.
func expectedShare(hits, of uint64) float64 { return float64(hits+1) / float64(of+2) }

// binomial is the distribution of the bad answers among n answers of which each
// is bad with probability p.
type binomial struct {
	n int
	p float64
}

func newBinomial(n uint64, p float64) binomial { return binomial{n: int(n), p: min(p, 1)} }

// upperTail returns the probability of at least hits bad answers, or an upper
// bound of it.
func upperTail(all []binomial, hits uint64) float64 {
	n, mean := 0, 0.0
	for _, t := range all {
		n += t.n
		mean += float64(t.n) * t.p
	}
	switch {
	case float64(hits) <= mean:
		return 1
	case n <= maxExactAnswers:
		return exactUpperTail(all, n, int(hits))
	}
	return chernoffBound(all, float64(hits))
}

// exactUpperTail sums the upper tail of the distribution of the number of bad
// answers.
func exactUpperTail(all []binomial, n, hits int) float64 {
	mass := make([]float64, n+1)
	mass[0] = 1
	done := 0
	for _, t := range all {
		for range t.n {
			done++
			for k := done; k > 0; k-- {
				mass[k] = mass[k]*(1-t.p) + mass[k-1]*t.p
			}
			mass[0] *= 1 - t.p
		}
	}
	sum := 0.0
	for _, c := range mass[hits:] {
		sum += c
	}
	return min(1, sum)
}

// chernoffBound returns the Chernoff bound of the upper tail, minimised over the
// exponent.
func chernoffBound(all []binomial, hits float64) float64 {
	bound := func(s float64) float64 {
		sum := -s * hits
		for _, t := range all {
			sum += float64(t.n) * math.Log1p(t.p*math.Expm1(s))
		}
		return sum
	}
	low, high := 0.0, maxChernoffExponent
	for range chernoffSteps { // ternary search: bound is convex
		a, c := low+(high-low)/3, high-(high-low)/3
		if bound(a) < bound(c) {
			high = c
		} else {
			low = a
		}
	}
	return min(1, math.Exp(bound((low+high)/2)))
}

// maxChernoffExponent and chernoffSteps bound the search for the minimum. Odds
// beyond exp(8) do not change a verdict.
const (
	maxChernoffExponent = 8.0
	chernoffSteps       = 40
)
