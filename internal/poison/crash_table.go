package poison

import (
	"slices"
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	refusalCrashes = 2    // crashes from which a body is refused
	maxCrashes     = 1024 // crashes kept
	maxSuspects    = 256  // suspects kept per crash
	// lifeMargin is subtracted from the time of a proof of life of another router, which
	// seems later by as long as its report took. A crash just after it must still count.
	lifeMargin = 500 * time.Millisecond
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
	// LivedAge is the time from the latest proof that the incarnation lived to the report,
	// 0 if none is known. An earlier crash was none.
	LivedAge time.Duration `json:"lived_age,omitempty"`
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

// crash is the end of an incarnation, by this router's clock. A connection that breaks is
// taken for one; if the incarnation turns out to have lived later, the next one counts anew.
type crash struct {
	at       time.Time                       // of the first observation after lived, if there is one
	last     time.Time                       // of the latest observation
	lived    time.Time                       // latest proof of life, zero for none
	revision Revision                        // of the latest change
	suspects map[ident.Fingerprint]time.Time // latest observation of each
}

// refuted reports whether the incarnation lived after all observations of its crash.
func (x *crash) refuted() bool { return x.last.Before(x.lived) }

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
func (t *CrashTable) Exonerate(now time.Time, i Incarnation) {
	if x, known := t.crashes[i]; known {
		t.clearSuspects(now, i, x, x.last)
	}
}

// RecordLife records that an incarnation lived at a time, so that what was taken for its
// crash before was none. It reports whether that clears any suspect.
func (t *CrashTable) RecordLife(now time.Time, i Incarnation, at time.Time) bool {
	x, known := t.crashes[i]
	if !known || !at.After(x.lived) {
		return false
	}
	before := x.lived
	x.lived = at
	if !at.After(x.at) {
		return false
	}
	if !before.After(x.last) || !before.After(x.last.Add(lifeMargin)) && at.After(x.last.Add(lifeMargin)) {
		t.revision++ // the first proof is reported, and the first that other routers take as one
		x.revision = t.revision
	}
	if !x.refuted() {
		x.at = x.last
		for _, seen := range x.suspects {
			if seen.After(at) && seen.Before(x.at) {
				x.at = seen
			}
		}
	}
	return t.clearSuspects(now, i, x, at)
}

// RecordEntries records that the incarnations which are announced lived at a time, as
// PartTable.RecordEntries does. It returns those whose crash was none, sorted.
func (t *CrashTable) RecordEntries(now, lived time.Time, announced func(Incarnation) bool) []Incarnation {
	var refuted []Incarnation
	for _, i := range t.sortedIncarnations() {
		x := t.crashes[i]
		if x.at.Before(lived) && x.lived.Before(lived) && !x.refuted() && announced(i) && t.RecordLife(now, i, lived) {
			refuted = append(refuted, i)
		}
	}
	return refuted
}

// clearSuspects clears the suspects of a crash that were observed up to a time. It reports
// whether the table changed.
func (t *CrashTable) clearSuspects(now time.Time, i Incarnation, x *crash, upTo time.Time) bool {
	changed := false
	for body, seen := range x.suspects {
		if !seen.After(upTo) {
			changed = t.Clear(now, body, []Incarnation{i}) || changed
		}
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
		c := Crash{Incarnation: i, Suspects: sortedFingerprints(x.suspects), Age: now.Sub(x.at)}
		if !x.lived.IsZero() {
			c.LivedAge = now.Sub(x.lived)
		}
		d.Crashes = append(d.Crashes, c)
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
	outdated := map[Incarnation]bool{} // crashes that were none, while a later one counts
	for _, c := range d.Crashes {
		if c.LivedAge > 0 {
			changed = t.RecordLife(now, c.Incarnation, now.Add(-c.LivedAge-lifeMargin)) || changed
		}
		x := t.crashes[c.Incarnation]
		if x != nil && !x.refuted() && now.Add(-c.Age).Before(x.lived) {
			outdated[c.Incarnation] = true
			continue
		}
		changed = t.add(now, c) || changed
	}
	for _, c := range d.Clearances {
		current := slices.DeleteFunc(slices.Clone(c.Crashes), func(i Incarnation) bool { return outdated[i] })
		changed = t.Clear(now, c.Fingerprint, current) || changed
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
// crash of it is known, or if it has lived since.
func (t *CrashTable) CrashTime(i Incarnation) (time.Time, bool) {
	c, known := t.crashes[i]
	if !known || c.refuted() {
		return time.Time{}, false
	}
	return c.at, true
}

func (t *CrashTable) add(now time.Time, c Crash) bool {
	t.expire(now)
	if c.Age >= t.lifetime {
		return false
	}
	at := now.Add(-c.Age)
	x := t.crashes[c.Incarnation]
	changed := x == nil // others may suspect bodies of it
	switch {
	case changed:
		x = &crash{at: at, last: at, suspects: make(map[ident.Fingerprint]time.Time)}
		if c.LivedAge > 0 {
			x.lived = now.Add(-c.LivedAge - lifeMargin)
		}
		t.crashes[c.Incarnation] = x
	case x.refuted() && at.After(x.lived): // what was taken for a crash before was none
		t.removeSuspects(c.Incarnation, x)
		x.at, x.last, changed = at, at, true
		clear(x.suspects)
	case at.After(x.last):
		x.last = at
	}
	for _, body := range c.Suspects {
		changed = t.addSuspect(x, c.Incarnation, body, at) || changed
	}
	if x.refuted() {
		t.clearSuspects(now, c.Incarnation, x, x.last)
	}
	if changed {
		t.revision++
		x.revision = t.revision
	}
	t.evictOldest()
	return changed
}

// addSuspect adds a body to the suspects of a crash. It reports whether the body
// was added, or suspected again after the incarnation had lived.
func (t *CrashTable) addSuspect(x *crash, incarnation Incarnation, body ident.Fingerprint, at time.Time) bool {
	seen, known := x.suspects[body]
	if !known && len(x.suspects) >= maxSuspects {
		return false
	}
	if at.After(seen) {
		x.suspects[body] = at
	}
	if known && (seen.After(x.lived) || !at.After(x.lived)) {
		return false
	}
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
	t.removeSuspects(i, t.crashes[i])
	delete(t.crashes, i)
}

func (t *CrashTable) removeSuspects(i Incarnation, x *crash) {
	for body := range x.suspects {
		delete(t.suspects[body], i)
		if len(t.suspects[body]) == 0 {
			delete(t.suspects, body)
		}
	}
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
