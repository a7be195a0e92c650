package poison

import (
	"slices"
	"time"
)

const (
	// withdrawnSuspicion is how long after its router has stopped waiting for it a run may
	// still crash its endpoint.
	withdrawnSuspicion = time.Second
	// withdrawnMemory is how long the end of an endpoint may take to become known: until
	// the entry of one that no router connects to any more has lapsed.
	withdrawnMemory = 6 * time.Second
	// maxWithdrawnRuns is the number of runs kept; later ones are not suspected.
	maxWithdrawnRuns = 1024
)

// WithdrawnRuns holds the runs that a router has stopped waiting for, since their endpoint
// was silent, their time was over or their caller had left. Nobody sees how they end, and
// they may crash their endpoint a moment later. It is not safe for concurrent use.
type WithdrawnRuns struct {
	byIncarnation map[Incarnation][]withdrawnRun
	count         int
}

type withdrawnRun struct {
	RunEnd
	at time.Time
}

// NewWithdrawnRuns returns an empty WithdrawnRuns.
func NewWithdrawnRuns() *WithdrawnRuns {
	return &WithdrawnRuns{byIncarnation: map[Incarnation][]withdrawnRun{}}
}

// Add adds a run that is withdrawn now.
func (w *WithdrawnRuns) Add(now time.Time, r RunEnd) {
	for i := range w.byIncarnation {
		w.remove(i, func(x withdrawnRun) bool { return now.Sub(x.at) >= withdrawnMemory })
	}
	if w.count < maxWithdrawnRuns {
		w.byIncarnation[r.Incarnation] = append(w.byIncarnation[r.Incarnation], withdrawnRun{r, now})
		w.count++
	}
}

// Answered records the answer to a run. Its endpoint outlived the runs withdrawn long
// before, and a request with a whole answer crashes none.
func (w *WithdrawnRuns) Answered(r RunEnd) {
	w.remove(r.Incarnation, func(x withdrawnRun) bool { return r.Started.Sub(x.at) > withdrawnSuspicion })
	if !r.Complete || w.count == 0 {
		return
	}
	for i := range w.byIncarnation {
		w.remove(i, func(x withdrawnRun) bool { return x.Fingerprint == r.Fingerprint })
	}
}

// TakeCrashed removes the runs on an incarnation that was found to have crashed, and
// returns those that may have crashed it, as runs that broke. Runs that began later are
// kept: the incarnation may turn out to have lived, and crash again.
func (w *WithdrawnRuns) TakeCrashed(now time.Time, i Incarnation, crashed time.Time) []RunEnd {
	var suspects []RunEnd
	for _, x := range w.byIncarnation[i] {
		if x.Started.Before(crashed) && now.Sub(x.at) < withdrawnMemory {
			end := x.RunEnd
			end.Withdrawn, end.Broke = false, true
			suspects = append(suspects, end)
		}
	}
	w.remove(i, func(x withdrawnRun) bool { return x.Started.Before(crashed) || now.Sub(x.at) >= withdrawnMemory })
	return suspects
}

// Incarnations returns the endpoints of the runs that began up to a time, sorted.
func (w *WithdrawnRuns) Incarnations(began time.Time) []Incarnation {
	list := make([]Incarnation, 0, len(w.byIncarnation))
	for i, runs := range w.byIncarnation {
		if slices.ContainsFunc(runs, func(x withdrawnRun) bool { return !x.Started.After(began) }) {
			list = append(list, i)
		}
	}
	sortIncarnations(list)
	return list
}

func (w *WithdrawnRuns) remove(i Incarnation, match func(withdrawnRun) bool) {
	kept := w.byIncarnation[i][:0]
	for _, x := range w.byIncarnation[i] {
		if !match(x) {
			kept = append(kept, x)
		}
	}
	w.count -= len(w.byIncarnation[i]) - len(kept)
	if len(kept) == 0 {
		delete(w.byIncarnation, i)
		return
	}
	w.byIncarnation[i] = kept
}
