package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Status is what a view holds of a router.
type Status int

// The statuses.
const (
	// StatusSilent means listed by the platform, but not heard of late enough.
	// Such a router owns nothing.
	StatusSilent Status = iota
	// StatusLive means heard of late.
	StatusLive
	// StatusSuspect means not heard of for longer than usual. The router keeps
	// what it owns for the moment, so that a pause moves nothing.
	StatusSuspect
)

// Event is what a view learns. It is sealed: Listed, Heard or Tick.
type Event interface{ event() }

// Listed is the platform's list of routers, which lags.
type Listed struct{ Routers []fleet.Router }

// Heard is a heartbeat, or what a peer's heartbeat says of another router.
type Heard struct {
	Router      fleet.Router
	Incarnation uint64    // grows with each start of the same router
	At          time.Time // when it was alive, by this router's clock
}

// Tick lets time pass.
type Tick struct{}

func (Listed) event() {}
func (Heard) event()  {}
func (Tick) event()   {}

// Change is a router's new status.
type Change struct {
	Router ident.RouterID
	Status Status
	Gone   bool // the view no longer holds the router
}

// unlistedFor is how long a router that is heard counts without being listed.
const unlistedFor = time.Minute

// maxMembers bounds the routers that a view holds.
const maxMembers = 2048

// View is one router's view of which routers are alive. It belongs to the
// control thread.
type View struct {
	self    fleet.Router
	members map[ident.RouterID]*member
}

type member struct {
	router      fleet.Router
	incarnation uint64
	status      Status
	heard       time.Time // the zero time if never
	listed      bool      // on the last list
	since       time.Time // when the router was first heard or last on a list
}

// New gives the view of a router that has heard nothing.
func New(self fleet.Router) *View {
	return &View{self: self, members: map[ident.RouterID]*member{}}
}

// Step takes an event in and gives what it changed, sorted by router.
func (v *View) Step(now time.Time, event Event) []Change {
	var changes []Change
	switch e := event.(type) {
	case Listed:
		v.list(now, e.Routers)
	case Heard:
		v.hear(now, e)
	case Tick:
	}
	for id, m := range v.members {
		if m.forgotten(now) {
			delete(v.members, id)
			changes = append(changes, Change{Router: id, Status: StatusSilent, Gone: true})
			continue
		}
		if s := m.judge(now, len(v.members)); s != m.status {
			m.status = s
			changes = append(changes, Change{Router: id, Status: s})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Router, b.Router) })
	return changes
}

func (v *View) list(now time.Time, routers []fleet.Router) {
	for _, m := range v.members {
		m.listed = false
	}
	for _, r := range routers {
		m, ok := v.member(r)
		if !ok {
			continue
		}
		m.listed, m.since = true, now
		// A router once known to leave does not come back under its name, but
		// for a new incarnation.
		m.router.Leaving = m.router.Leaving || r.Leaving
	}
	for _, m := range v.members {
		if !m.listed && now.Sub(m.since) > unlistedFor {
			m.heard = time.Time{}
		}
	}
}

func (v *View) hear(now time.Time, e Heard) {
	m, ok := v.member(e.Router)
	if !ok || e.Incarnation < m.incarnation {
		return
	}
	if m.heard.IsZero() && !m.listed {
		m.since = now
	}
	leaving := m.router.Leaving && e.Incarnation == m.incarnation
	m.router, m.incarnation = e.Router, e.Incarnation
	m.router.Leaving = e.Router.Leaving || leaving
	if at := earlier(e.At, now); at.After(m.heard) {
		m.heard = at
	}
}

// member gives a router's entry, a new one if there is room.
func (v *View) member(r fleet.Router) (*member, bool) {
	if r.ID == v.self.ID {
		return nil, false
	}
	m, ok := v.members[r.ID]
	if ok {
		return m, true
	}
	if len(v.members) >= maxMembers {
		return nil, false
	}
	m = &member{router: r}
	v.members[r.ID] = m
	return m, true
}

// Live gives the routers that may own anything, this one included, sorted by
// id. Leaving ones are among them and marked.
func (v *View) Live() []fleet.Router {
	live := make([]fleet.Router, 0, len(v.members)+1)
	live = append(live, v.self)
	for _, m := range v.members {
		if m.status != StatusSilent {
			live = append(live, m.router)
		}
	}
	slices.SortFunc(live, func(a, b fleet.Router) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// Reach gives what Fresh needs to know, with the newest confirmation.
func (v *View) Reach(confirmed time.Time) Reach {
	r := Reach{Confirmed: confirmed}
	for _, m := range v.members {
		if m.status == StatusLive {
			r.Live++
		}
		if m.listed && !m.router.Leaving {
			r.Listed++
		}
	}
	return r
}

// Leave marks this router as leaving.
func (v *View) Leave() {
	v.self.Leaving = true
}

// Silence gives how long a router of a fleet may not be heard of before it is
// suspected; after twice that it is silent. Word of a router takes more rounds
// through a larger fleet, see Ages.
func Silence(routers int) time.Duration {
	if routers <= maxAllPairs {
		return 3 * heartbeatAll
	}
	return 15 * time.Second
}

// judge gives the status at a time.
func (m *member) judge(now time.Time, others int) Status {
	silence := Silence(others + 1)
	switch quiet := now.Sub(m.heard); {
	case m.heard.IsZero() || quiet > 2*silence:
		return StatusSilent
	case quiet > silence:
		return StatusSuspect
	default:
		return StatusLive
	}
}

// forgotten tells whether nothing speaks for the member any more.
func (m *member) forgotten(now time.Time) bool {
	return !m.listed && now.Sub(m.heard) > unlistedFor && now.Sub(m.since) > unlistedFor
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
