// Package world keeps what a router of pass-through routes believes of its
// surroundings: the configuration in force, the endpoints that live, the
// availability zones taken out and the roll-outs under way. It is a pure state
// machine, fed with what the platform's store tells.
package world

import (
	"fmt"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Settings are the bounds that a World keeps to.
type Settings struct {
	Router ident.RouterID
	// Lapse is how long an entry that was removed while the store was away is
	// still used after the store's return: living endpoints are back by then.
	RemovalGrace time.Duration
}

// Endpoint is one life of a back end, as it announced itself.
type Endpoint struct {
	ID            ident.EndpointID
	Service       ident.ServiceID
	Address       string // host:port
	Zone          ident.ZoneID
	Version       ident.VersionID // of its software
	Slots         int
	StartedMillis int64 // Unix milliseconds of its start, 0 if not told
	Leaving       bool
	// ColdUntil is when the endpoint bears its full load; it is zero if it did
	// not announce a cold start.
	ColdUntil time.Time
}

// Cold tells whether the endpoint bears only a small load.
func (e *Endpoint) Cold(now time.Time) bool { return now.Before(e.ColdUntil) }

// Event is something that a World learns: Endpoints, Configured, Ordered,
// ZonesOut, Away or Back.
type Event interface{ event() }

// Announcement is an endpoint's entry in the store.
type Announcement struct {
	Endpoint Endpoint      // ColdUntil is not set
	ColdFor  time.Duration // how much longer the endpoint stays cold
}

// Endpoints tells of entries that are new or changed, and of those removed.
// Whole means that entries not named are gone.
type EndpointsChanged struct {
	Present []Announcement
	Removed []ident.EndpointID
	Full    bool
}

// Configured tells of the newest configuration.
type ConfigChanged struct{ Config *paths.Config }

// Ordered tells of roll-outs. Whole means that those not named are gone.
type RolloutsChanged struct {
	Present []Rollout
	Removed []ident.ServiceID
	Full    bool
}

// ZonesOut names zones that operators take out or put back. Whole means that
// zones not named are in use.
type ZonesChanged struct {
	Out      []ident.ZoneID
	Restored []ident.ZoneID
	Full     bool
}

// Away tells that the store does not answer for the endpoints' entries.
type StoreDown struct{}

// Back tells that the store answers again.
type StoreUp struct{}

func (EndpointsChanged) event() {}
func (ConfigChanged) event()    {}
func (RolloutsChanged) event()  {}
func (ZonesChanged) event()     {}
func (StoreDown) event()        {}
func (StoreUp) event()          {}

// Note is a change of belief, for the log.
type Change struct {
	Message string // such as "endpoint leaving"
	Name    string // of what changed
	Detail  string
}

// World is the state. It belongs to one goroutine.
type State struct {
	settings  Settings
	config    *paths.Config
	endpoints map[ident.EndpointID]*Endpoint
	lapsed    map[ident.EndpointID]time.Time // when removed, and not yet given up
	rollouts  map[ident.ServiceID]Rollout
	out       map[ident.ZoneID]bool
	away      bool
	returned  time.Time
	listed    bool // endpoints have been listed once
	ordered   bool
	zoned     bool
	stable    map[ident.ServiceID]ident.VersionID
	view      *View
	notes     []Change
}

// New makes a World that knows nothing yet.
func New(s Settings) *State {
	w := &State{
		settings:  s,
		endpoints: map[ident.EndpointID]*Endpoint{},
		lapsed:    map[ident.EndpointID]time.Time{},
		rollouts:  map[ident.ServiceID]Rollout{},
		out:       map[ident.ZoneID]bool{},
		stable:    map[ident.ServiceID]ident.VersionID{},
	}
	w.view = w.build()
	return w
}

// View gives the newest view. It is immutable.
func (w *State) View() *View { return w.view }

// Step takes in an event and gives the changes of belief that follow from it.
func (w *State) Step(now time.Time, e Event) []Change {
	w.notes = nil
	changed := false
	switch x := e.(type) {
	case EndpointsChanged:
		changed = w.announced(now, x)
	case ConfigChanged:
		changed = w.configured(x.Config)
	case RolloutsChanged:
		changed = w.order(now, x)
	case ZonesChanged:
		changed = w.zones(now, x)
	case StoreDown:
		w.away = true
	case StoreUp:
		w.away = false
		w.returned = now
	}
	if w.expire(now) || changed {
		w.view = w.build()
	}
	return w.notes
}

// Expire gives up entries that stayed removed after the store's return.
func (w *State) Expire(now time.Time) []Change {
	w.notes = nil
	if w.expire(now) {
		w.view = w.build()
	}
	return w.notes
}

func (w *State) note(what, name, format string, args ...any) {
	w.notes = append(w.notes, Change{Message: what, Name: name, Detail: fmt.Sprintf(format, args...)})
}

// configured takes a configuration that is newer than the one in force.
func (w *State) configured(c *paths.Config) bool {
	if w.config != nil && c.Generation <= w.config.Generation {
		if c.Generation < w.config.Generation {
			w.note("configuration ignored", fmt.Sprint(c.Generation), "older than generation %d in force", w.config.Generation)
		}
		return false
	}
	w.config = c
	w.note("configuration in force", fmt.Sprint(c.Generation), "%d routes, %d services", c.RouteCount(), len(c.Services))
	return true
}

func (w *State) zones(now time.Time, z ZonesChanged) bool {
	w.zoned = true
	next := map[ident.ZoneID]bool{}
	if !z.Full {
		for id := range w.out {
			next[id] = true
		}
	}
	for _, id := range z.Out {
		next[id] = true
	}
	for _, id := range z.Restored {
		delete(next, id)
	}
	for id := range next {
		if !w.out[id] {
			w.note("zone out", string(id), "")
		}
	}
	for id := range w.out {
		if !next[id] {
			w.note("zone back", string(id), "")
			w.warm(now, id)
		}
	}
	w.out = next
	return true
}

// warm takes the endpoints of a zone that was put back for cold: they had no
// work, and their own word on it comes late.
func (w *State) warm(now time.Time, zone ident.ZoneID) {
	for id, e := range w.endpoints {
		s := w.service(e.Service)
		if e.Zone != zone || s == nil || s.ColdStart <= 0 {
			continue
		}
		fresh := *e
		if until := now.Add(s.ColdStart); until.After(fresh.ColdUntil) {
			fresh.ColdUntil = until
		}
		w.endpoints[id] = &fresh
	}
}

func (w *State) service(id ident.ServiceID) *paths.Service {
	if w.config == nil {
		return nil
	}
	return w.config.Services[id]
}
