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

// simulation holds a cold endpoint, the platform's steward object and routers with
// different clocks. The test decides when messages arrive, if at all. A router for
// which the test takes no step is paused.
type simulation struct {
	now         time.Time
	settings    permit.Settings
	lease       permit.Lease
	version     plat.Version
	routers     []*simulatedRouter
	running     map[ident.AttemptID]bool
	cold        int
	coldSince   time.Time
	warm        bool
	reportsZero bool // reports always count 0 requests; routers then end their attempts in time
	loads       []loadSample
	violation   string
	steps       []string
}

// loadSample is the number of running requests from a time on.
type loadSample struct {
	at      time.Time
	running int
}

type simulatedRouter struct {
	id           ident.RouterID
	skew         time.Duration
	steward      *permit.Steward
	tracker      *permit.Tracker
	writes       []permit.WriteLease
	writeResults []permit.WriteCompleted
	requests     []permit.Request
	grants       []permit.Permit
	attempts     int
	stopped      bool
}

func newSimulation(settings permit.Settings, routers, cold int) *simulation {
	s := &simulation{
		now: time.Unix(1_000_000, 0), settings: settings, cold: cold, running: map[ident.AttemptID]bool{},
	}
	s.coldSince = s.now
	for i := range routers {
		s.routers = append(s.routers, s.newRouter(fmt.Sprintf("r%d", i), time.Duration(i-1)*time.Hour))
	}
	return s
}

func (s *simulation) newRouter(id string, skew time.Duration) *simulatedRouter {
	r := &simulatedRouter{id: ident.RouterID(id), skew: skew}
	r.steward = permit.New(r.id, s.settings)
	r.tracker = permit.NewTracker(r.id, s.settings.SafetyMargin)
	return r
}

func (s *simulation) clock(r *simulatedRouter) time.Time { return s.now.Add(r.skew) }

func (s *simulation) router(id ident.RouterID) *simulatedRouter {
	for _, r := range s.routers {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (s *simulation) step(r *simulatedRouter, e permit.Event) {
	for _, a := range r.steward.Step(s.clock(r), e) {
		switch a := a.(type) {
		case permit.WriteLease:
			r.writes = append(r.writes, a)
		case permit.Grant:
			if requester := s.router(a.Permit.Router); requester != nil {
				requester.grants = append(requester.grants, a.Permit)
			}
		case permit.ReadLease, permit.Deny:
		}
	}
}

// checkInvariants returns the first violation, such as two stewards at once.
func (s *simulation) checkInvariants() string {
	holders := 0
	for _, r := range s.routers {
		if r.steward.HoldsLease(s.clock(r)) {
			holders++
		}
	}
	if holders > 1 && s.violation == "" {
		s.violation = "two routers hold the lease"
	}
	return s.violation
}

// The following steps report whether they applied.

func (s *simulation) tick(r *simulatedRouter) bool {
	s.step(r, permit.Tick{})
	return true
}

func (s *simulation) read(r *simulatedRouter) bool {
	s.step(r, permit.LeaseRead{Lease: s.lease, Version: s.version})
	return true
}

// commitWrite applies a router's oldest write to the platform and queues its result.
func (s *simulation) commitWrite(r *simulatedRouter) bool {
	if len(r.writes) == 0 {
		return false
	}
	a := r.writes[0]
	r.writes = r.writes[1:]
	answer := permit.WriteCompleted{Nonce: a.Lease.Nonce, Result: permit.ResultConflict}
	if a.ExpectedVersion == s.version {
		s.version++
		s.lease = a.Lease
		answer.Version, answer.Result = s.version, permit.ResultDone
	}
	r.writeResults = append(r.writeResults, answer)
	return true
}

func (s *simulation) deliverWriteResult(r *simulatedRouter, lost bool) bool {
	if len(r.writeResults) == 0 {
		return false
	}
	a := r.writeResults[0]
	r.writeResults = r.writeResults[1:]
	if lost {
		a = permit.WriteCompleted{Nonce: a.Nonce, Result: permit.ResultUncertain}
	}
	s.step(r, a)
	return true
}

func (s *simulation) sendRequest(r, steward *simulatedRouter) bool {
	r.attempts++
	attempt := ident.AttemptID(fmt.Sprintf("%s-%d", r.id, r.attempts))
	steward.requests = append(steward.requests, r.tracker.Request(s.clock(r), attempt, endpointID))
	return true
}

func (s *simulation) handleRequest(r *simulatedRouter) bool {
	if len(r.requests) == 0 {
		return false
	}
	q := r.requests[0]
	r.requests = r.requests[1:]
	s.step(r, q)
	return true
}

// deliverPermit delivers a permit to its router, which sends the request if allowed.
func (s *simulation) deliverPermit(r *simulatedRouter) bool {
	if len(r.grants) == 0 {
		return false
	}
	p := r.grants[0]
	r.grants = r.grants[1:]
	now := s.clock(r)
	defer s.recordLoad()
	if !r.tracker.ApplyPermit(now, p) || !r.tracker.MarkSent(now, p.Attempt) || s.warm {
		return true
	}
	s.running[p.Attempt] = true
	if len(s.running) > s.cold {
		s.violation = fmt.Sprintf("%d run on %d cold slots after %s", len(s.running), s.cold, p.Attempt)
	}
	return true
}

// observeEndpoint feeds a router a report with contents of the given age.
func (s *simulation) observeEndpoint(r *simulatedRouter, age time.Duration) bool {
	phase := fleet.PhaseCold
	if s.warm {
		phase = fleet.PhaseWarm
	}
	s.step(r, permit.EndpointObserved{
		Endpoint: endpointID, Phase: phase, ColdSlots: s.cold, Running: s.reportedLoad(age), ReportRequested: s.clock(r),
	})
	return true
}

func (s *simulation) reportedLoad(age time.Duration) int {
	running := 0
	for _, l := range s.loads {
		if !l.at.After(s.now.Add(-age)) {
			running = l.running
		}
	}
	if s.reportsZero {
		return 0
	}
	return running
}

func (s *simulation) recordLoad() {
	s.loads = append(s.loads, loadSample{at: s.now, running: len(s.running)})
}

// advance advances the clock. If reports count nothing, routers end their attempts
// in time.
func (s *simulation) advance(d time.Duration) bool {
	s.now = s.now.Add(d)
	if !s.reportsZero {
		return true
	}
	for _, r := range s.routers {
		for _, id := range r.tracker.Expiring(s.clock(r), 0) {
			s.endAttempt(r, id)
		}
	}
	return true
}

// endRun ends a router's first running attempt and releases it at all routers, one
// of which may be the steward.
func (s *simulation) endRun(r *simulatedRouter) bool {
	for _, id := range s.runningIDs() {
		if s.endAttempt(r, id) {
			return true
		}
	}
	return false
}

func (s *simulation) endAttempt(r *simulatedRouter, id ident.AttemptID) bool {
	released, ok := r.tracker.Release(id)
	if !ok {
		return false
	}
	delete(s.running, id)
	s.recordLoad()
	for _, other := range s.routers {
		s.step(other, released)
	}
	return true
}

// sendUnpermitted sends a request without a permit, from a router that still
// considers the endpoint warm. That is possible until the propagation delay has
// passed.
func (s *simulation) sendUnpermitted(name string) bool {
	if !s.warm && !s.now.Before(s.coldSince.Add(s.settings.PropagationDelay)) {
		return false
	}
	s.running[ident.AttemptID("warm-"+name)] = true
	s.recordLoad()
	return true
}

func (s *simulation) endUnpermitted() bool {
	for _, id := range s.runningIDs() {
		if id[:4] == "warm" {
			delete(s.running, id)
			s.recordLoad()
			return true
		}
	}
	return false
}

func (s *simulation) runningIDs() []ident.AttemptID {
	ids := make([]ident.AttemptID, 0, len(s.running))
	for id := range s.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
