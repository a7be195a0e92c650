package world

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Stage is the stage of a roll-out.
type Stage string

// The stages of a roll-out.
const (
	StageOrdered    Stage = ""         // not started by any router
	StageTrial      Stage = "trial"    // a small share of the requests goes to the target
	StageMoving     Stage = "moving"   // a growing share of the requests goes to the target
	StageFinished   Stage = "finished" // only the target is used
	StageRolledBack Stage = "undone"   // the target gets no requests
)

// Rollout is an order to move a service to a version.
type Rollout struct {
	Service      ident.ServiceID
	Target       ident.VersionID
	Duration     time.Duration // time within which it should be finished
	OrderID      string        // distinguishes the order from earlier ones for the same service
	Stage        Stage
	Revision     plat.Version // of the object in the store, for the next conditional write
	FirstSeen    time.Time    // when this router first saw the order
	StageEntered time.Time    // when this router first saw the stage
	// UnstoredSince is when this router found that the store had lost the stage and
	// holds an earlier one, or the zero time.
	UnstoredSince time.Time
}

// Active reports whether the roll-out is neither finished nor rolled back.
func (r *Rollout) Active() bool {
	return r.Stage != StageFinished && r.Stage != StageRolledBack
}

// applyRollouts applies changes of roll-outs and reports that the view changes.
func (s *State) applyRollouts(now time.Time, x RolloutsChanged) bool {
	s.rolloutsKnown = true
	if x.Rewound {
		for id, r := range s.rollouts {
			s.lostRollouts[id] = r
		}
	}
	listed := map[ident.ServiceID]bool{}
	for _, r := range x.Present {
		listed[r.Service] = true
		s.applyRollout(now, r)
	}
	for _, id := range x.Removed {
		s.removeRollout(id)
		delete(s.lostRollouts, id) // by the operator, so that a later order is a new one
	}
	if x.Full {
		for id := range s.rollouts {
			if !listed[id] {
				s.removeRollout(id)
			}
		}
	}
	return true
}

// applyRollout applies one roll-out unless a newer revision of it is known.
func (s *State) applyRollout(now time.Time, r Rollout) {
	old, known := s.rollouts[r.Service]
	if known && old.Revision > r.Revision {
		return
	}
	if stage := s.knownStage(r); stage != r.Stage {
		r.Stage, r.UnstoredSince = stage, now
	}
	r.FirstSeen, r.StageEntered = now, now
	if known && old.Target == r.Target && old.OrderID == r.OrderID && (old.Active() || !r.Active()) {
		r.FirstSeen = old.FirstSeen
		if old.Stage == r.Stage {
			r.StageEntered = old.StageEntered
		}
	}
	s.rollouts[r.Service] = r
	if r.Stage == StageFinished {
		s.stable[r.Service] = r.Target
	}
	if !known || old.Stage != r.Stage || old.Target != r.Target {
		s.record("rollout "+stageName(r.Stage), string(r.Service), "target %s, revision %v", r.Target, r.Revision)
	}
}

// knownStage returns the stage of a roll-out: the one in the store, or a later one
// that the store lost when it was rewound. A version that was undone or finished
// stays so even if its order was lost and has been written again; a roll-out in
// progress continues only under the same order, by which its evidence is counted.
func (s *State) knownStage(r Rollout) Stage {
	lost, known := s.lostRollouts[r.Service]
	if !known {
		return r.Stage
	}
	if lost.Target != r.Target {
		delete(s.lostRollouts, r.Service)
		return r.Stage
	}
	if lost.Active() && lost.OrderID != r.OrderID || stageRank(lost.Stage) <= stageRank(r.Stage) {
		return r.Stage
	}
	return lost.Stage
}

// stageRank orders the stages of a roll-out; finished and undone are both last.
func stageRank(s Stage) int {
	switch s {
	case StageTrial:
		return 1
	case StageMoving:
		return 2
	case StageFinished, StageRolledBack:
		return 3
	case StageOrdered:
	}
	return 0
}

func (s *State) removeRollout(id ident.ServiceID) {
	if _, known := s.rollouts[id]; known {
		delete(s.rollouts, id)
		s.record("rollout removed", string(id), "")
	}
}

// stageName returns the stage's name in log messages.
func stageName(s Stage) string {
	if s == StageOrdered {
		return "ordered"
	}
	return string(s)
}
