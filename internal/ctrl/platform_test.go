package ctrl_test

import (
	"maps"
	"slices"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// callPlatform carries out a call after a delay each way, through the faults.
func (w *world) callPlatform(n *node, a ctrl.Action) {
	asked := w.now
	w.after(delay, func() {
		if n.apart || w.store.down {
			w.after(delay, func() { w.refuse(n, a) })
			return
		}
		e := w.store.take(n, a, w.store.lose)
		if read, ok := e.(ctrl.Read); ok {
			read.Asked = asked
			e = read
		}
		w.after(delay, func() {
			if e != nil {
				w.tell(n, e)
			}
		})
	})
}

// refuse answers a call that had no effect.
func (w *world) refuse(n *node, a ctrl.Action) {
	switch a := a.(type) {
	case ctrl.ReadPlatform:
		w.tell(n, ctrl.ReadFailed{Error: plat.ErrUnavailable})
	case ctrl.PutRollout:
		w.tell(n, ctrl.Wrote{Key: plat.RolloutPrefix + plat.Key(a.State.Model), Error: plat.ErrUnavailable})
	case ctrl.PutWithdrawn:
		w.tell(n, ctrl.Wrote{Key: plat.WithdrawnKey, Error: plat.ErrUnavailable})
	case ctrl.PutLease:
		w.tell(n, ctrl.Leased{Zone: a.Zone, Wrote: permit.WriteCompleted{Nonce: a.Lease.Nonce, Result: permit.ResultFailed}})
	case ctrl.ReadLease:
		w.tell(n, ctrl.LeaseUnread{Zone: a.Zone})
	}
}

// take makes the call's effect and gives its answer.
func (s *store) take(n *node, a ctrl.Action, lose bool) ctrl.Event {
	switch a := a.(type) {
	case ctrl.ReadPlatform:
		return s.read(n)
	case ctrl.List:
		return ctrl.Listed{Instances: s.list()}
	case ctrl.Announce:
		s.instances[string(a.Router.ID)] = plat.Instance{ID: string(a.Router.ID), Zone: string(a.Router.Zone), Address: a.Router.Peer, Leaving: a.Router.Leaving}
	case ctrl.PutRollout:
		return s.putRollout(a, lose)
	case ctrl.PutWithdrawn:
		err := s.conflict(a.Expect, s.withdrawn.Version)
		if err == nil {
			s.version++
			s.withdrawn = ctrl.Withdrawn{List: a.List, Version: s.version}
			err = lost(lose)
		}
		return ctrl.Wrote{Key: plat.WithdrawnKey, Error: err}
	case ctrl.PutLease:
		return s.putLease(a, lose)
	case ctrl.ReadLease:
		return ctrl.LeaseRead{Zone: a.Zone, Read: s.leases[a.Zone]}
	}
	return nil
}

func (s *store) read(n *node) ctrl.Event {
	head := s.heads[max(0, len(s.heads)-1-s.stale)]
	e := ctrl.Read{Head: head, Withdrawn: s.withdrawn}
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
	if s.before != nil {
		from = s.before
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
		s.rollouts[a.State.Model] = ctrl.Rollout{State: a.State, Version: s.version}
		s.steps = append(s.steps, a.State)
		err = lost(lose)
	}
	return ctrl.Wrote{Key: plat.RolloutPrefix + plat.Key(a.State.Model), Error: err}
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
	return ctrl.Leased{Zone: a.Zone, Wrote: wrote}
}

func (s *store) conflict(expect, version plat.Version) error {
	if expect != version {
		return plat.ErrConflict
	}
	return nil
}

func lost(lose bool) error {
	if lose {
		return plat.ErrUncertain
	}
	return nil
}

// stepsTaken gives the steps that the model's roll-out went through.
func (s *store) stepsTaken() []int {
	var steps []int
	for _, r := range s.steps {
		if len(steps) == 0 || steps[len(steps)-1] != r.Step {
			steps = append(steps, r.Step)
		}
	}
	return steps
}
