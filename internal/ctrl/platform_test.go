package ctrl_test

import (
	"maps"
	"slices"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// callPlatform simulates a platform call with a delay each way, subject to the
// injected faults.
func (cl *cluster) callPlatform(n *node, a ctrl.Action) {
	requestedAt := cl.now
	cl.schedule(messageDelay, func() {
		if n.platformCut || cl.store.down {
			cl.schedule(messageDelay, func() { cl.failCall(n, a) })
			return
		}
		e := cl.store.apply(n, a, cl.store.loseReplies)
		if read, ok := e.(ctrl.PlatformRead); ok {
			read.RequestedAt = requestedAt
			e = read
		}
		cl.schedule(messageDelay, func() {
			if e != nil {
				cl.handle(n, e)
			}
		})
	})
}

// failCall reports a call that failed without effect.
func (cl *cluster) failCall(n *node, a ctrl.Action) {
	switch a := a.(type) {
	case ctrl.ReadPlatform:
		cl.handle(n, ctrl.PlatformReadFailed{Error: plat.ErrUnavailable})
	case ctrl.PutRollout:
		cl.handle(n, ctrl.ObjectWritten{Key: plat.RolloutPrefix + plat.Key(a.State.Model), Error: plat.ErrUnavailable})
	case ctrl.PutWithdrawn:
		cl.handle(n, ctrl.ObjectWritten{Key: plat.WithdrawnKey, Error: plat.ErrUnavailable})
	case ctrl.PutLease:
		cl.handle(n, ctrl.LeaseWritten{Zone: a.Zone, Result: permit.WriteCompleted{Nonce: a.Lease.Nonce, Result: permit.ResultFailed}})
	case ctrl.ReadLease:
		cl.handle(n, ctrl.LeaseReadFailed{Zone: a.Zone})
	}
}

// apply executes a call and returns its outcome event.
func (s *store) apply(n *node, a ctrl.Action, lose bool) ctrl.Event {
	switch a := a.(type) {
	case ctrl.ReadPlatform:
		return s.read(n)
	case ctrl.ListInstances:
		return ctrl.InstancesListed{Instances: s.list()}
	case ctrl.Announce:
		s.instances[string(a.Router.ID)] = plat.Instance{ID: string(a.Router.ID), Zone: string(a.Router.Zone), Address: a.Router.Peer, Leaving: a.Router.Leaving}
	case ctrl.PutRollout:
		return s.putRollout(a, lose)
	case ctrl.PutWithdrawn:
		err := s.conflict(a.Expect, s.withdrawn.Version)
		if err == nil {
			s.version++
			s.withdrawn = ctrl.WithdrawnObject{List: a.List, Version: s.version}
			err = lostReply(lose)
		}
		return ctrl.ObjectWritten{Key: plat.WithdrawnKey, Error: err}
	case ctrl.PutLease:
		return s.putLease(a, lose)
	case ctrl.ReadLease:
		return ctrl.LeaseRead{Zone: a.Zone, Lease: s.leases[a.Zone]}
	}
	return nil
}

func (s *store) read(n *node) ctrl.Event {
	head := s.heads[max(0, len(s.heads)-1-s.staleGenerations)]
	e := ctrl.PlatformRead{Head: head, Withdrawn: s.withdrawn}
	if n.view == nil || n.view.Config.Generation < head.Generation {
		e.Config = s.configs[head.Generation]
	}
	for _, r := range s.rollouts {
		e.Rollouts = append(e.Rollouts, r)
	}
	return e
}

func (s *store) list() []plat.Instance {
	from := s.instances
	if s.laggedInstances != nil {
		from = s.laggedInstances
	}
	var list []plat.Instance
	for _, id := range slices.Sorted(maps.Keys(from)) {
		list = append(list, from[id])
	}
	return list
}

func (s *store) putRollout(a ctrl.PutRollout, lose bool) ctrl.Event {
	err := s.conflict(a.Expect, s.rollouts[a.State.Model].Version)
	if err == nil {
		s.version++
		s.rollouts[a.State.Model] = ctrl.RolloutObject{State: a.State, Version: s.version}
		s.rolloutWrites = append(s.rolloutWrites, a.State)
		err = lostReply(lose)
	}
	return ctrl.ObjectWritten{Key: plat.RolloutPrefix + plat.Key(a.State.Model), Error: err}
}

func (s *store) putLease(a ctrl.PutLease, lose bool) ctrl.Event {
	wrote := permit.WriteCompleted{Nonce: a.Lease.Nonce, Result: permit.ResultConflict}
	if s.leases[a.Zone].Version == a.Expect {
		s.version++
		s.leases[a.Zone] = permit.LeaseRead{Lease: a.Lease, Version: s.version}
		wrote.Result, wrote.Version = permit.ResultDone, s.version
	}
	if lose {
		wrote.Result, wrote.Version = permit.ResultUncertain, 0
	}
	return ctrl.LeaseWritten{Zone: a.Zone, Result: wrote}
}

func (s *store) conflict(expect, version plat.Version) error {
	if expect != version {
		return plat.ErrConflict
	}
	return nil
}

func lostReply(lose bool) error {
	if lose {
		return plat.ErrUncertain
	}
	return nil
}

// stepsTaken returns the sequence of roll-out steps written, without repeats.
func (s *store) stepsTaken() []int {
	var steps []int
	for _, r := range s.rolloutWrites {
		if len(steps) == 0 || steps[len(steps)-1] != r.Step {
			steps = append(steps, r.Step)
		}
	}
	return steps
}
