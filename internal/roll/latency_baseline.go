package roll

import (
	"slices"
	"sync"
)

const (
	// usualKept is the number of latest answers by which what is usual is told.
	usualKept = 33
	// usualLeast is the number from which it can be told.
	usualLeast = 5
	// slowFactor is how many times the usual an answer takes that is slow:
	// half of what a version that is slow by several times is known for.
	slowFactor = 3.0
	// usualGroups bounds the kinds of answers that are remembered.
	usualGroups = 1024
)

// Usual remembers how long answers of a kind take, in proportion to the work
// that was foreseen. It is safe for use by many goroutines.
type LatencyBaseline struct {
	lock  sync.Mutex
	kinds map[string]*latest
}

type latest struct {
	values [usualKept]float64
	count  int
}

// NewUsual gives a Usual that has seen nothing.
func NewLatencyBaseline() *LatencyBaseline { return &LatencyBaseline{kinds: map[string]*latest{}} }

// Add takes in an answer of a version that is trusted.
func (u *LatencyBaseline) Add(kind string, ratio float64) {
	u.lock.Lock()
	defer u.lock.Unlock()
	l := u.kinds[kind]
	if l == nil {
		if len(u.kinds) >= usualGroups {
			clear(u.kinds)
		}
		l = &latest{}
		u.kinds[kind] = l
	}
	l.values[l.count%usualKept] = ratio
	l.count++
}

// Slow tells whether an answer took several times the usual, and false if that
// cannot be told yet.
func (u *LatencyBaseline) Slow(kind string, ratio float64) (slow, known bool) {
	u.lock.Lock()
	defer u.lock.Unlock()
	l := u.kinds[kind]
	if l == nil || l.count < usualLeast {
		return false, false
	}
	sorted := slices.Clone(l.values[:min(l.count, usualKept)])
	slices.Sort(sorted)
	return ratio > slowFactor*sorted[len(sorted)/2], true
}
