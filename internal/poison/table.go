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
type Boot struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	Boot     string           `json:"boot"`
}

// Death is the end of an endpoint's life with requests in flight. Several
// routers tell of the same death, each with its own suspects.
type Death struct {
	Boot     Boot                `json:"boot"`
	Suspects []ident.Fingerprint `json:"suspects"` // in flight then, on this router
	Age      time.Duration       `json:"age"`      // since the death, when told
}

// Clearance says that a body ran alone to the end after these deaths, and so
// was not their cause.
type Clearance struct {
	Fingerprint ident.Fingerprint `json:"fingerprint"`
	Deaths      []Boot            `json:"deaths"`
}

// Delta is what one router tells others of its table.
type Delta struct {
	Deaths     []Death     `json:"deaths,omitempty"`
	Clearances []Clearance `json:"clearances,omitempty"`
}

// Version counts the changes of a Table, to ask for what is new since.
type Version uint64

// Table holds the deaths that any router saw. It only grows by merging, and
// forgets what is older than its lifetime or beyond its bound. It is owned by
// the control thread.
type Table struct {
	lifetime time.Duration
	version  Version
	deaths   map[Boot]*death
	bodies   map[ident.Fingerprint]map[Boot]bool // true if cleared of this death
}

type death struct {
	at       time.Time // by this router's clock
	version  Version   // of the newest change
	suspects map[ident.Fingerprint]struct{}
}

// New gives an empty table that keeps deaths for lifetime.
func New(lifetime time.Duration) *Table {
	return &Table{
		lifetime: lifetime,
		deaths:   make(map[Boot]*death),
		bodies:   make(map[ident.Fingerprint]map[Boot]bool),
	}
}

// Record adds a death seen by this router, and tells whether anything changed.
func (t *Table) Record(now time.Time, boot Boot, suspects []ident.Fingerprint) bool {
	return t.add(now, Death{Boot: boot, Suspects: suspects})
}

// Known gives the deaths that count against a body, to be handed to Clear when
// the body has run alone to the end.
func (t *Table) Known(now time.Time, body ident.Fingerprint) []Boot {
	t.expire(now)
	var boots []Boot
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
func (t *Table) Clear(now time.Time, body ident.Fingerprint, deaths []Boot) bool {
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
func (t *Table) Suspicion(now time.Time, body ident.Fingerprint) fleet.Suspicion {
	t.expire(now)
	return grade(t.bodies[body])
}

// Suspicions gives all bodies that are suspected, for the snapshot.
func (t *Table) Suspicions(now time.Time) map[ident.Fingerprint]fleet.Suspicion {
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
func (t *Table) Delta(now time.Time, since Version) (Delta, Version) {
	t.expire(now)
	var d Delta
	cleared := make(map[ident.Fingerprint][]Boot)
	for _, b := range t.sorted() {
		x := t.deaths[b]
		if x.version <= since {
			continue
		}
		d.Deaths = append(d.Deaths, Death{Boot: b, Suspects: sortedBodies(x.suspects), Age: now.Sub(x.at)})
		for body := range x.suspects {
			if t.bodies[body][b] {
				cleared[body] = append(cleared[body], b)
			}
		}
	}
	for _, body := range sortedBodies(cleared) {
		d.Clearances = append(d.Clearances, Clearance{Fingerprint: body, Deaths: cleared[body]})
	}
	return d, t.version
}

// Merge takes in another router's delta, and tells whether anything changed.
func (t *Table) Merge(now time.Time, d Delta) bool {
	changed := false
	for _, x := range d.Deaths {
		changed = t.add(now, x) || changed
	}
	for _, c := range d.Clearances {
		changed = t.Clear(now, c.Fingerprint, c.Deaths) || changed
	}
	return changed
}

// newest gives the time of the last death that counts against a body.
func (t *Table) newest(body ident.Fingerprint) time.Time {
	var at time.Time
	for b, cleared := range t.bodies[body] {
		if d := t.deaths[b]; !cleared && d.at.After(at) {
			at = d.at
		}
	}
	return at
}

// died gives the time at which a life of an endpoint ended, if that is known.
func (t *Table) died(b Boot) (time.Time, bool) {
	d, known := t.deaths[b]
	if !known {
		return time.Time{}, false
	}
	return d.at, true
}

func (t *Table) add(now time.Time, d Death) bool {
	t.expire(now)
	if d.Age >= t.lifetime {
		return false
	}
	x := t.deaths[d.Boot]
	if x == nil {
		x = &death{at: now.Add(-d.Age), suspects: make(map[ident.Fingerprint]struct{})}
		t.deaths[d.Boot] = x
	}
	changed := false
	for _, body := range d.Suspects {
		changed = t.suspect(x, d.Boot, body) || changed
	}
	if changed {
		t.version++
		x.version = t.version
	}
	t.bound()
	return changed
}

func (t *Table) suspect(x *death, boot Boot, body ident.Fingerprint) bool {
	if _, ok := x.suspects[body]; ok || len(x.suspects) >= maxSuspects {
		return false
	}
	x.suspects[body] = struct{}{}
	if t.bodies[body] == nil {
		t.bodies[body] = make(map[Boot]bool, 1)
	}
	t.bodies[body][boot] = false
	return true
}

// bound drops the oldest deaths beyond the bound.
func (t *Table) bound() {
	for len(t.deaths) > maxDeaths {
		var oldest Boot
		for _, b := range t.sorted() {
			if x := t.deaths[oldest]; x == nil || t.deaths[b].at.Before(x.at) {
				oldest = b
			}
		}
		t.drop(oldest)
	}
}

func (t *Table) expire(now time.Time) {
	for b, x := range t.deaths {
		if now.Sub(x.at) >= t.lifetime {
			t.drop(b)
		}
	}
}

func (t *Table) drop(b Boot) {
	for body := range t.deaths[b].suspects {
		delete(t.bodies[body], b)
		if len(t.bodies[body]) == 0 {
			delete(t.bodies, body)
		}
	}
	delete(t.deaths, b)
}

func (t *Table) sorted() []Boot {
	boots := make([]Boot, 0, len(t.deaths))
	for b := range t.deaths {
		boots = append(boots, b)
	}
	sortBoots(boots)
	return boots
}

func grade(deaths map[Boot]bool) fleet.Suspicion {
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
		return fleet.SuspicionIsolated
	}
	return fleet.SuspicionNone
}

func sortBoots(boots []Boot) {
	sort.Slice(boots, func(i, j int) bool {
		if boots[i].Endpoint != boots[j].Endpoint {
			return boots[i].Endpoint < boots[j].Endpoint
		}
		return boots[i].Boot < boots[j].Boot
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
