package roll

import (
	"slices"
	"sync"
)

const (
	// baselineAnswers is the number of latest answers in the baseline of a kind.
	baselineAnswers = 33
	// minBaselineAnswers is the number of answers from which a baseline is used.
	minBaselineAnswers = 5
	// slowFactor is the multiple of the baseline's median above which an answer
	// is slow: half the slowdown expected of a slow version.
	slowFactor = 3.0
	// maxBaselineKinds limits the number of kinds of answers with a baseline. All
	// baselines are dropped when it is reached.
	maxBaselineKinds = 1024
)

// LatencyBaseline records the latest durations of each kind of answer, as ratios
// to the expected work. It is safe for concurrent use.
type LatencyBaseline struct {
	lock  sync.Mutex
	kinds map[string]*recentRatios
}

type recentRatios struct {
	values [baselineAnswers]float64
	count  int
}

// NewLatencyBaseline returns an empty LatencyBaseline.
func NewLatencyBaseline() *LatencyBaseline {
	return &LatencyBaseline{kinds: map[string]*recentRatios{}}
}

// Add records an answer of a version that is not being tested.
func (b *LatencyBaseline) Add(kind string, ratio float64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	l := b.kinds[kind]
	if l == nil {
		if len(b.kinds) >= maxBaselineKinds {
			clear(b.kinds)
		}
		l = &recentRatios{}
		b.kinds[kind] = l
	}
	l.values[l.count%baselineAnswers] = ratio
	l.count++
}

// Slow reports whether an answer took more than slowFactor times the median of
// its kind. Known is false while the kind has too few answers.
func (b *LatencyBaseline) Slow(kind string, ratio float64) (slow, known bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	l := b.kinds[kind]
	if l == nil || l.count < minBaselineAnswers {
		return false, false
	}
	sorted := slices.Clone(l.values[:min(l.count, baselineAnswers)])
	slices.Sort(sorted)
	return ratio > slowFactor*sorted[len(sorted)/2], true
}
