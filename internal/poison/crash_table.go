package poison

import (
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	refusalCrashes = 2    // crashes from which a body is refused
	maxCrashes     = 1024 // crashes kept
	maxSuspects    = 256  // suspects kept per crash
)

// Incarnation identifies one run of an endpoint, from its start to its end.
type Incarnation struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	BootID   string           `json:"boot"`
}

// Crash is the unexpected end of an endpoint's incarnation with requests in
// flight. Several routers may report the same crash, each with its own suspects.
type Crash struct {
	Incarnation Incarnation         `json:"boot"`
	Suspects    []ident.Fingerprint `json:"suspects"` // in flight at the crash, at the reporting router
	Age         time.Duration       `json:"age"`      // time from the crash to the report
}

// Clearance records that a body completed a run alone after these crashes, and
// so did not cause them.
type Clearance struct {
	Fingerprint ident.Fingerprint `json:"fingerprint"`
	Crashes     []Incarnation     `json:"deaths"`
}

// Delta holds the changes of a router's table that are sent to other routers.
type Delta struct {
	Crashes    []Crash     `json:"deaths,omitempty"`
	Clearances []Clearance `json:"clearances,omitempty"`
	Parts      []PartCrash `json:"parts,omitempty"` // see PartTable
}

// IsEmpty reports whether the delta holds no change.
func (d Delta) IsEmpty() bool { return len(d.Crashes)+len(d.Clearances)+len(d.Parts) == 0 }

// Revision numbers the changes of a CrashTable.
type Revision uint64

// CrashTable holds the crashes observed by any router. Merging only adds to it;
// crashes older than the lifetime or beyond maxCrashes are evicted. It is not
// safe for concurrent use; only the control loop uses it.
type CrashTable struct {
	lifetime time.Duration
	revision Revision
	crashes  map[Incarnation]*crash
	suspects map[ident.Fingerprint]map[Incarnation]bool // true if cleared of the crash
}

type crash struct {
	at       time.Time // by this router's clock
	revision Revision  // of the latest change
	suspects map[ident.Fingerprint]struct{}
}

// NewCrashTable returns an empty table that keeps crashes for lifetime.
func NewCrashTable(lifetime time.Duration) *CrashTable {
	return &CrashTable{
		lifetime: lifetime,
		crashes:  make(map[Incarnation]*crash),
		suspects: make(map[ident.Fingerprint]map[Incarnation]bool),
	}
}

// Record adds a crash observed by this router. It reports whether the table
// changed.
func (t *CrashTable) Record(now time.Time, incarnation Incarnation, suspects []ident.Fingerprint) bool {
	return t.add(now, Crash{Incarnation: incarnation, Suspects: suspects})
}

// UnclearedCrashes returns the crashes that count against a body, sorted, to be
// passed to Clear when the body has completed a run alone.
func (t *CrashTable) UnclearedCrashes(now time.Time, body ident.Fingerprint) []Incarnation {
	t.expire(now)
	var crashes []Incarnation
	for i, cleared := range t.suspects[body] {
		if !cleared {
			crashes = append(crashes, i)
		}
	}
	sortIncarnations(crashes)
	return crashes
}

// Clear clears a body of the crashes that it was suspected of when it started a
// run that it completed alone. Later crashes still count. It reports whether the
// table changed.
func (t *CrashTable) Clear(now time.Time, body ident.Fingerprint, crashes []Incarnation) bool {
	t.expire(now)
	changed := false
	for _, i := range crashes {
		cleared, ok := t.suspects[body][i]
		if !ok || cleared {
			continue
		}
		t.revision++
		t.suspects[body][i] = true
		t.crashes[i].revision = t.revision
		changed = true
	}
	return changed
}

// Exonerate clears all suspects of a crash whose cause is known.
func (t *CrashTable) Exonerate(now time.Time, i Incarnation) { t.clearIncarnation(now, i) }

// clearIncarnation clears all suspects of a crash that was none. It reports whether the
// table changed.
func (t *CrashTable) clearIncarnation(now time.Time, i Incarnation) bool {
	x, known := t.crashes[i]
	if !known {
		return false
	}
	changed := false
	for body := range x.suspects {
		changed = t.Clear(now, body, []Incarnation{i}) || changed
	}
	return changed
}

// Suspicion returns the level of suspicion of a body.
func (t *CrashTable) Suspicion(now time.Time, body ident.Fingerprint) fleet.Suspicion {
	t.expire(now)
	return suspicionLevel(t.suspects[body])
}

// Suspicions returns the levels of all suspected bodies, for the snapshot.
func (t *CrashTable) Suspicions(now time.Time) map[ident.Fingerprint]fleet.Suspicion {
	t.expire(now)
	all := make(map[ident.Fingerprint]fleet.Suspicion, len(t.suspects))
	for body, crashes := range t.suspects {
		if s := suspicionLevel(crashes); s != fleet.SuspicionNone {
			all[body] = s
		}
	}
	return all
}

// Delta returns the changes after a revision, and the current revision.
func (t *CrashTable) Delta(now time.Time, since Revision) (Delta, Revision) {
	t.expire(now)
	var d Delta
	cleared := make(map[ident.Fingerprint][]Incarnation)
	for _, i := range t.sortedIncarnations() {
		x := t.crashes[i]
		if x.revision <= since {
			continue
		}
		d.Crashes = append(d.Crashes, Crash{Incarnation: i, Suspects: sortedFingerprints(x.suspects), Age: now.Sub(x.at)})
		for body := range x.suspects {
			if t.suspects[body][i] {
				cleared[body] = append(cleared[body], i)
			}
		}
	}
	for _, body := range sortedFingerprints(cleared) {
		d.Clearances = append(d.Clearances, Clearance{Fingerprint: body, Crashes: cleared[body]})
	}
	return d, t.revision
}

// Merge merges another router's delta. It reports whether the table changed.
func (t *CrashTable) Merge(now time.Time, d Delta) bool {
	changed := false
	for _, x := range d.Crashes {
		changed = t.add(now, x) || changed
	}
	for _, c := range d.Clearances {
		changed = t.Clear(now, c.Fingerprint, c.Crashes) || changed
	}
	return changed
}

// latestCrash returns the time of the latest crash that counts against a body.
func (t *CrashTable) latestCrash(body ident.Fingerprint) time.Time {
	var at time.Time
	for i, cleared := range t.suspects[body] {
		if c := t.crashes[i]; !cleared && c.at.After(at) {
			at = c.at
		}
	}
	return at
}

// CrashTime returns the time at which an incarnation crashed, or false if no
// crash of it is known.
func (t *CrashTable) CrashTime(i Incarnation) (time.Time, bool) {
	c, known := t.crashes[i]
	if !known {
		return time.Time{}, false
	}
	return c.at, true
}

func (t *CrashTable) add(now time.Time, c Crash) bool {
	t.expire(now)
	if c.Age >= t.lifetime {
		return false
	}
	x := t.crashes[c.Incarnation]
	changed := x == nil // others may suspect bodies of it
	if changed {
		x = &crash{at: now.Add(-c.Age), suspects: make(map[ident.Fingerprint]struct{})}
		t.crashes[c.Incarnation] = x
	}
	for _, body := range c.Suspects {
		changed = t.addSuspect(x, c.Incarnation, body) || changed
	}
	if changed {
		t.revision++
		x.revision = t.revision
	}
	t.evictOldest()
	return changed
}

// addSuspect adds a body to the suspects of a crash. It reports whether the body
// was added.
func (t *CrashTable) addSuspect(x *crash, incarnation Incarnation, body ident.Fingerprint) bool {
	if _, ok := x.suspects[body]; ok || len(x.suspects) >= maxSuspects {
		return false
	}
	x.suspects[body] = struct{}{}
	if t.suspects[body] == nil {
		t.suspects[body] = make(map[Incarnation]bool, 1)
	}
	t.suspects[body][incarnation] = false
	return true
}

// evictOldest removes the oldest crashes beyond maxCrashes.
func (t *CrashTable) evictOldest() {
	for len(t.crashes) > maxCrashes {
		var oldest Incarnation
		for _, i := range t.sortedIncarnations() {
			if x := t.crashes[oldest]; x == nil || t.crashes[i].at.Before(x.at) {
				oldest = i
			}
		}
		t.remove(oldest)
	}
}

func (t *CrashTable) expire(now time.Time) {
	for i, x := range t.crashes {
		if now.Sub(x.at) >= t.lifetime {
			t.remove(i)
		}
	}
}

func (t *CrashTable) remove(i Incarnation) {
	for body := range t.crashes[i].suspects {
		delete(t.suspects[body], i)
		if len(t.suspects[body]) == 0 {
			delete(t.suspects, body)
		}
	}
	delete(t.crashes, i)
}

func (t *CrashTable) sortedIncarnations() []Incarnation {
	incarnations := make([]Incarnation, 0, len(t.crashes))
	for i := range t.crashes {
		incarnations = append(incarnations, i)
	}
	sortIncarnations(incarnations)
	return incarnations
}

// suspicionLevel returns the level of suspicion for the crashes of a body, each
// with whether the body is cleared of it.
func suspicionLevel(crashes map[Incarnation]bool) fleet.Suspicion {
	count := 0
	for _, cleared := range crashes {
		if !cleared {
			count++
		}
	}
	switch {
	case count >= refusalCrashes:
		return fleet.SuspicionRefused
	case count > 0:
		return fleet.SuspicionIsolated
	}
	return fleet.SuspicionNone
}

func sortIncarnations(list []Incarnation) {
	sort.Slice(list, func(i, j int) bool {
		if list[i].Endpoint != list[j].Endpoint {
			return list[i].Endpoint < list[j].Endpoint
		}
		return list[i].BootID < list[j].BootID
	})
}

func sortedFingerprints[V any](set map[ident.Fingerprint]V) []ident.Fingerprint {
	bodies := make([]ident.Fingerprint, 0, len(set))
	for body := range set {
		bodies = append(bodies, body)
	}
	sort.Slice(bodies, func(i, j int) bool { return bodies[i] < bodies[j] })
	return bodies
}
