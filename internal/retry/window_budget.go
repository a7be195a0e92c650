package retry

import (
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// windowParts is the number of parts in which a window is counted.
const windowParts = 20

// Window bounds the attempts beyond the first of each request to a share of
// the requests in any window of a length, and some more. It answers the pattern
// of a crash that breaks many requests at once after a time in which few were
// sent again: what the whole window allows may be used in a moment. It is safe
// for use by many goroutines.
type WindowBudget struct {
	lock   sync.Mutex
	share  ident.Share
	extra  float64
	part   time.Duration
	start  time.Time               // from which parts are numbered, without regard to the time of day
	counts [windowParts + 1]counts // a ring; one part more than the window
	last   int64                   // number of the newest part
}

// counts are what came in one part of a window.
type counts struct{ first, again float64 }

// NewWindow gives a budget that allows share of the first attempts, and extra
// more, in any window of the length.
func NewWindowBudget(share ident.Share, extra float64, length time.Duration) *WindowBudget {
	return &WindowBudget{share: share, extra: extra, part: max(length/windowParts, 1)}
}

// Earn records a first attempt.
func (w *WindowBudget) RecordFirst(now time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.at(now).first++
}

// Take asks for one more attempt, and tells whether it is allowed. Reserve is
// the part of what the window allows that the attempt must leave for others.
func (w *WindowBudget) Allow(now time.Time, reserve ident.Share) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	newest := w.at(now)
	var sum counts
	for _, c := range w.counts {
		sum.first += c.first
		sum.again += c.again
	}
	most := float64(w.share)*(sum.first-w.oldest().first) + w.extra
	if sum.again+1 > most*(1-float64(reserve)) {
		return false
	}
	newest.again++
	return true
}

// oldest gives the part that has only partly left the window: its repeats still
// count, and its first attempts no more.
func (w *WindowBudget) oldest() counts { return w.counts[(w.last+1)%(windowParts+1)] }

// at gives the counts of the present part, and empties those that have left the
// window. A clock that goes back stays in the newest part.
func (w *WindowBudget) at(now time.Time) *counts {
	if w.start.IsZero() {
		w.start = now
	}
	number := max(int64(now.Sub(w.start)/w.part), w.last)
	if number-w.last > windowParts {
		w.counts = [windowParts + 1]counts{}
		w.last = number
	}
	for w.last < number {
		w.last++
		w.counts[w.last%(windowParts+1)] = counts{}
	}
	return &w.counts[number%(windowParts+1)]
}
