package poison

import (
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	refusedDeaths = 2    // deaths after which a body is refused
	maxDeaths     = 1024 // deaths kept
	maxSuspects   = 256  // bodies kept of one death
)

// Boot names one life of an endpoint.
type Incarnation struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	BootID   string           `json:"boot"`
}

// Death is the end of an endpoint's life with requests in flight. Several
// routers tell of the same death, each with its own suspects.
type Crash struct {
	Incarnation Incarnation         `json:"boot"`
	Suspects    []ident.Fingerprint `json:"suspects"` // in flight then, on this router
	Age         time.Duration       `json:"age"`      // since the death, when told
}

// Clearance says that a body ran alone to the end after these deaths, and so
// was not their cause.
type Clearance struct {
	Fingerprint ident.Fingerprint `json:"fingerprint"`
	Crashes     []Incarnation     `json:"deaths"`
}

// Delta is what one router tells others of its table.
type Delta struct {
	Crashes    []Crash     `json:"deaths,omitempty"`
	Clearances []Clearance `json:"clearances,omitempty"`
}

// Version counts the changes of a Table, to ask for what is new since.
type Revision uint64

// Table holds the deaths that any router saw. It only grows by merging, and
// forgets what is older than its lifetime or beyond its bound. It is owned by
// the control thread.
type CrashTable struct {
	lifetime time.Duration
	version  Revision
	deaths   map[Incarnation]*death
	bodies   map[ident.Fingerprint]map[Incarnation]bool // true if cleared of this death
}

type death struct {
	at       time.Time // by this router's clock
	version  Revision  // of the newest change
	suspects map[ident.Fingerprint]struct{}
}

// New gives an empty table that keeps deaths for lifetime.
func NewCrashTable(lifetime time.Duration) *CrashTable {
	return &CrashTable{
		lifetime: lifetime,
		deaths:   make(map[Incarnation]*death),
		bodies:   make(map[ident.Fingerprint]map[Incarnation]bool),
	}
}

// Record adds a death seen by this router, and tells whether anything changed.
func (t *CrashTable) Record(now time.Time, boot Incarnation, suspects []ident.Fingerprint) bool {
	return t.add(now, Crash{Incarnation: boot, Suspects: suspects})
}

// Known gives the deaths that count against a body, to be handed to Clear when
// the body has run alone to the end.
func (t *CrashTable) UnclearedCrashes(now time.Time, body ident.Fingerprint) []Incarnation {
	t.expire(now)
	var boots []Incarnation
	for b, cleared := range t.bodies[body] {
		if !cleared {
			boots = append(boots, b)
		}
	}
	sortBoots(boots)
	return boots
}

// Clear records that a body ran alone to the end, having been suspected of
// these deaths when it started. Later deaths still count.
func (t *CrashTable) Clear(now time.Time, body ident.Fingerprint, deaths []Incarnation) bool {
	t.expire(now)
	changed := false
	for _, b := range deaths {
		cleared, ok := t.bodies[body][b]
		if !ok || cleared {
			continue
		}
		t.version++
		t.bodies[body][b] = true
		t.deaths[b].version = t.version
		changed = true
	}
	return changed
}

// Suspicion gives how far a body is suspected.
func (t *CrashTable) Suspicion(now time.Time, body ident.Fingerprint) fleet.Suspicion {
	t.expire(now)
	return grade(t.bodies[body])
}

// Suspicions gives all bodies that are suspected, for the snapshot.
func (t *CrashTable) Suspicions(now time.Time) map[ident.Fingerprint]fleet.Suspicion {
	t.expire(now)
	all := make(map[ident.Fingerprint]fleet.Suspicion, len(t.bodies))
	for body, deaths := range t.bodies {
		if s := grade(deaths); s != fleet.SuspicionNone {
			all[body] = s
		}
	}
	return all
}

// Delta gives what has changed since a version, and the version now.
func (t *CrashTable) Delta(now time.Time, since Revision) (Delta, Revision) {
	t.expire(now)
	var d Delta
	cleared := make(map[ident.Fingerprint][]Incarnation)
	for _, b := range t.sorted() {
		x := t.deaths[b]
		if x.version <= since {
			continue
		}
		d.Crashes = append(d.Crashes, Crash{Incarnation: b, Suspects: sortedBodies(x.suspects), Age: now.Sub(x.at)})
		for body := range x.suspects {
			if t.bodies[body][b] {
				cleared[body] = append(cleared[body], b)
			}
		}
	}
	for _, body := range sortedBodies(cleared) {
		d.Clearances = append(d.Clearances, Clearance{Fingerprint: body, Crashes: cleared[body]})
	}
	return d, t.version
}

// Merge takes in another router's delta, and tells whether anything changed.
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

// newest gives the time of the last death that counts against a body.
func (t *CrashTable) newest(body ident.Fingerprint) time.Time {
	var at time.Time
	for b, cleared := range t.bodies[body] {
		if d := t.deaths[b]; !cleared && d.at.After(at) {
			at = d.at
		}
	}
	return at
}

// died gives the time at which a life of an endpoint ended, if that is known.
func (t *CrashTable) died(b Incarnation) (time.Time, bool) {
	d, known := t.deaths[b]
	if !known {
		return time.Time{}, false
	}
	return d.at, true
}

func (t *CrashTable) add(now time.Time, d Crash) bool {
	t.expire(now)
	if d.Age >= t.lifetime {
		return false
	}
	x := t.deaths[d.Incarnation]
	if x == nil {
		x = &death{at: now.Add(-d.Age), suspects: make(map[ident.Fingerprint]struct{})}
		t.deaths[d.Incarnation] = x
	}
	changed := false
	for _, body := range d.Suspects {
		changed = t.suspect(x, d.Incarnation, body) || changed
	}
	if changed {
		t.version++
		x.version = t.version
	}
	t.bound()
	return changed
}

func (t *CrashTable) suspect(x *death, boot Incarnation, body ident.Fingerprint) bool {
	if _, ok := x.suspects[body]; ok || len(x.suspects) >= maxSuspects {
		return false
	}
	x.suspects[body] = struct{}{}
	if t.bodies[body] == nil {
		t.bodies[body] = make(map[Incarnation]bool, 1)
	}
	t.bodies[body][boot] = false
	return true
}

// bound drops the oldest deaths beyond the bound.
func (t *CrashTable) bound() {
	for len(t.deaths) > maxDeaths {
		var oldest Incarnation
		for _, b := range t.sorted() {
			if x := t.deaths[oldest]; x == nil || t.deaths[b].at.Before(x.at) {
				oldest = b
			}
		}
		t.drop(oldest)
	}
}

func (t *CrashTable) expire(now time.Time) {
	for b, x := range t.deaths {
		if now.Sub(x.at) >= t.lifetime {
			t.drop(b)
		}
	}
}

func (t *CrashTable) drop(b Incarnation) {
	for body := range t.deaths[b].suspects {
		delete(t.bodies[body], b)
		if len(t.bodies[body]) == 0 {
			delete(t.bodies, body)
		}
	}
	delete(t.deaths, b)
}

func (t *CrashTable) sorted() []Incarnation {
	boots := make([]Incarnation, 0, len(t.deaths))
	for b := range t.deaths {
		boots = append(boots, b)
	}
	sortBoots(boots)
	return boots
}

func grade(deaths map[Incarnation]bool) fleet.Suspicion {
	count := 0
	for _, cleared := range deaths {
		if !cleared {
			count++
		}
	}
	switch {
	case count >= refusedDeaths:
		return fleet.SuspicionRefused
	case count > 0:
		return fleet.SuspicionAlone
	}
	return fleet.SuspicionNone
}

func sortBoots(boots []Incarnation) {
	sort.Slice(boots, func(i, j int) bool {
		if boots[i].Endpoint != boots[j].Endpoint {
			return boots[i].Endpoint < boots[j].Endpoint
		}
		return boots[i].BootID < boots[j].BootID
	})
}

func sortedBodies[V any](set map[ident.Fingerprint]V) []ident.Fingerprint {
	bodies := make([]ident.Fingerprint, 0, len(set))
	for body := range set {
		bodies = append(bodies, body)
	}
	sort.Slice(bodies, func(i, j int) bool { return bodies[i] < bodies[j] })
	return bodies
}
