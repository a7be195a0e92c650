package copies_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/copies"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// router is a router with its sender, its holder and the pending records of its
// journal.
type router struct {
	self        fleet.Router
	incarnation copies.Incarnation
	down        bool
	sender      *copies.Sender
	holder      *copies.Holder
	pending     map[copies.EncodedRecord]bool
}

// simulation simulates routers during an outage of the platform.
type simulation struct {
	now          time.Time
	routers      []*router
	acknowledged map[copies.EncodedRecord]bool // records whose callers were answered
	durable      map[copies.EncodedRecord]bool
}

func newSimulation() *simulation {
	s := &simulation{now: start, acknowledged: map[copies.EncodedRecord]bool{}, durable: map[copies.EncodedRecord]bool{}}
	for _, self := range fleetRouters("a1", "a2", "b1", "c1") {
		r := &router{self: self}
		s.routers = append(s.routers, r)
		s.restart(r)
	}
	return s
}

// restart starts a new incarnation of a router, without the state of the last one.
func (s *simulation) restart(r *router) {
	s.now = s.now.Add(time.Millisecond)
	r.down, r.incarnation = false, copies.Incarnation{Router: r.self.ID, Start: uint64(s.now.UnixNano())}
	r.sender, r.holder = copies.NewSender(r.self, settings), copies.NewHolder(settings)
	r.pending = map[copies.EncodedRecord]bool{}
}

func (s *simulation) live() []fleet.Router {
	var live []fleet.Router
	for _, r := range s.routers {
		if !r.down {
			live = append(live, r.self)
		}
	}
	return live
}

func (s *simulation) router(id ident.RouterID) *router {
	return s.routers[slices.IndexFunc(s.routers, func(r *router) bool { return r.self.ID == id })]
}

// addBill queues a bill and copies it to peers.
func (s *simulation) addBill(r *router) {
	record := copies.EncodedRecord(fmt.Sprintf("%s-%d-%d", r.self.ID, r.incarnation.Start, len(s.acknowledged)))
	if r.down {
		return
	}
	r.pending[record] = true
	sequence := r.sender.NextSequence()
	for _, to := range r.sender.Targets(s.now, s.live()) {
		if s.router(to.ID).holder.Receive(copies.Batch{From: r.incarnation, Sequence: sequence, Records: []copies.EncodedRecord{record}}) == nil {
			s.acknowledged[record] = true
		}
		r.sender.RecordAddition(to.ID, sequence)
	}
}

// prepareUpdates returns a function that delivers the updates for the present state.
func (s *simulation) prepareUpdates(r *router) func() {
	if r.down {
		return func() {}
	}
	sequence := r.sender.NextSequence()
	pending := slices.Sorted(maps.Keys(r.pending))
	r.holder.RemoveDurable(pending)
	updates := r.sender.Updates(s.now, s.live(), pending)
	return func() {
		for _, u := range updates {
			if s.router(u.To.ID).holder.Receive(copies.Batch{From: r.incarnation, Sequence: sequence, Replace: true, Records: u.Records}) == nil {
				r.sender.RecordUpdate(s.now, u, sequence)
			}
		}
	}
}

// tick runs one iteration of the router's loop.
func (s *simulation) tick(r *router) {
	if r.down {
		return
	}
	s.prepareUpdates(r)()
	orphaned := r.holder.Orphaned(s.now, routerIDs(s.live()))
	for _, record := range orphaned {
		r.pending[record] = true
	}
	r.holder.MarkAdopted(orphaned)
}

// waitForAdoption advances the time until the copies of dead routers are adopted.
func (s *simulation) waitForAdoption() {
	for range 3 {
		for _, r := range s.routers {
			s.tick(r)
		}
		s.now = s.now.Add(settings.DeadTimeout + time.Second)
	}
}

// makeDurable makes the pending records of a router durable.
func (s *simulation) makeDurable(r *router) {
	if !r.down {
		maps.Copy(s.durable, r.pending)
		clear(r.pending)
	}
}
