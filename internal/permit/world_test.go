package permit_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	endpointID = ident.EndpointID("e")
	coldSlots  = 2
)

// world is one cold endpoint, the platform's object and some routers whose
// clocks differ. Messages arrive when the test says so, or never. A paused
// router is one for which the test takes no step.
type world struct {
	now      time.Time
	settings permit.Settings
	lease    permit.Lease
	version  plat.Version
	routers  []*router
	running  map[ident.AttemptID]bool
	cold     int
	coldAt   time.Time
	warm     bool
	lying    bool // reports count nothing; routers then end their runs in time
	loads    []load
	bad      string
	trace    []string
}

// load is the number of requests that ran from a time on.
type load struct {
	at      time.Time
	running int
}

type router struct {
	id        ident.RouterID
	skew      time.Duration
	steward   *permit.Steward
	holder    *permit.Tracker
	writes    []permit.WriteLease
	answers   []permit.WriteCompleted
	questions []permit.Request
	grants    []permit.Permit
	attempts  int
	stopped   bool
}

func newWorld(settings permit.Settings, routers, cold int) *world {
	w := &world{
		now: time.Unix(1_000_000, 0), settings: settings, cold: cold, running: map[ident.AttemptID]bool{},
	}
	w.coldAt = w.now
	for i := range routers {
		w.routers = append(w.routers, w.newRouter(fmt.Sprintf("r%d", i), time.Duration(i-1)*time.Hour))
	}
	return w
}

func (w *world) newRouter(id string, skew time.Duration) *router {
	r := &router{id: ident.RouterID(id), skew: skew}
	r.steward = permit.New(r.id, w.settings)
	r.holder = permit.NewTracker(r.id, w.settings.SafetyMargin)
	return r
}

func (w *world) clock(r *router) time.Time { return w.now.Add(r.skew) }

func (w *world) router(id ident.RouterID) *router {
	for _, r := range w.routers {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (w *world) step(r *router, e permit.Event) {
	for _, a := range r.steward.Step(w.clock(r), e) {
		switch a := a.(type) {
		case permit.WriteLease:
			r.writes = append(r.writes, a)
		case permit.Grant:
			if asker := w.router(a.Permit.Router); asker != nil {
				asker.grants = append(asker.grants, a.Permit)
			}
		case permit.ReadLease, permit.Deny:
		}
	}
}

// check looks for two stewards at once.
func (w *world) check() string {
	holders := 0
	for _, r := range w.routers {
		if r.steward.HoldsLease(w.clock(r)) {
			holders++
		}
	}
	if holders > 1 && w.bad == "" {
		w.bad = "two routers hold the lease"
	}
	return w.bad
}

// The steps of the world. Each tells whether it applied.

func (w *world) tick(r *router) bool {
	w.step(r, permit.Tick{})
	return true
}

func (w *world) read(r *router) bool {
	w.step(r, permit.LeaseRead{Lease: w.lease, Version: w.version})
	return true
}

// write lets a router's oldest write reach the platform; its answer waits.
func (w *world) write(r *router) bool {
	if len(r.writes) == 0 {
		return false
	}
	a := r.writes[0]
	r.writes = r.writes[1:]
	answer := permit.WriteCompleted{Nonce: a.Lease.Nonce, Result: permit.ResultConflict}
	if a.ExpectedVersion == w.version {
		w.version++
		w.lease = a.Lease
		answer.Version, answer.Result = w.version, permit.ResultDone
	}
	r.answers = append(r.answers, answer)
	return true
}

func (w *world) answer(r *router, lost bool) bool {
	if len(r.answers) == 0 {
		return false
	}
	a := r.answers[0]
	r.answers = r.answers[1:]
	if lost {
		a = permit.WriteCompleted{Nonce: a.Nonce, Result: permit.ResultUncertain}
	}
	w.step(r, a)
	return true
}

func (w *world) ask(r, steward *router) bool {
	r.attempts++
	attempt := ident.AttemptID(fmt.Sprintf("%s-%d", r.id, r.attempts))
	steward.questions = append(steward.questions, r.holder.Request(w.clock(r), attempt, endpointID))
	return true
}

func (w *world) serve(r *router) bool {
	if len(r.questions) == 0 {
		return false
	}
	q := r.questions[0]
	r.questions = r.questions[1:]
	w.step(r, q)
	return true
}

// grant lets a permit reach its router, which sends the request if it may.
func (w *world) grant(r *router) bool {
	if len(r.grants) == 0 {
		return false
	}
	p := r.grants[0]
	r.grants = r.grants[1:]
	now := w.clock(r)
	defer w.note()
	if !r.holder.ApplyPermit(now, p) || !r.holder.MarkSent(now, p.Attempt) || w.warm {
		return true
	}
	w.running[p.Attempt] = true
	if len(w.running) > w.cold {
		w.bad = fmt.Sprintf("%d run on %d cold slots after %s", len(w.running), w.cold, p.Attempt)
	}
	return true
}

// see lets a router ask for a report, which tells of a time up to age ago.
func (w *world) see(r *router, age time.Duration) bool {
	phase := fleet.PhaseCold
	if w.warm {
		phase = fleet.PhaseWarm
	}
	w.step(r, permit.EndpointObserved{
		Endpoint: endpointID, Phase: phase, ColdSlots: w.cold, Running: w.reported(age), ReportRequested: w.clock(r),
	})
	return true
}

func (w *world) reported(age time.Duration) int {
	running := 0
	for _, l := range w.loads {
		if !l.at.After(w.now.Add(-age)) {
			running = l.running
		}
	}
	if w.lying {
		return 0
	}
	return running
}

func (w *world) note() {
	w.loads = append(w.loads, load{at: w.now, running: len(w.running)})
}

// pass lets time pass. Routers that are not paused end their runs in time.
func (w *world) pass(d time.Duration) bool {
	w.now = w.now.Add(d)
	if !w.lying {
		return true
	}
	for _, r := range w.routers {
		for _, id := range r.holder.Expiring(w.clock(r), 0) {
			w.stop(r, id)
		}
	}
	return true
}

// end ends a router's first run and tells the routers, of which one may be the
// steward.
func (w *world) end(r *router) bool {
	for _, id := range w.sorted() {
		if w.stop(r, id) {
			return true
		}
	}
	return false
}

func (w *world) stop(r *router, id ident.AttemptID) bool {
	released, ok := r.holder.Release(id)
	if !ok {
		return false
	}
	delete(w.running, id)
	w.note()
	for _, s := range w.routers {
		w.step(s, released)
	}
	return true
}

// sendWarm is a request by a router that still takes the endpoint for warm,
// which it may until the word has spread.
func (w *world) sendWarm(name string) bool {
	if !w.warm && !w.now.Before(w.coldAt.Add(w.settings.PropagationDelay)) {
		return false
	}
	w.running[ident.AttemptID("warm-"+name)] = true
	w.note()
	return true
}

func (w *world) endWarm() bool {
	for _, id := range w.sorted() {
		if id[:4] == "warm" {
			delete(w.running, id)
			w.note()
			return true
		}
	}
	return false
}

func (w *world) sorted() []ident.AttemptID {
	ids := make([]ident.AttemptID, 0, len(w.running))
	for id := range w.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
