package world

import (
	"time"

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
	Revision     uint64    // of the object in the store, for the next conditional write
	FirstSeen    time.Time // when this router first saw the order
	StageEntered time.Time // when this router first saw the stage
}

// Active reports whether the roll-out is neither finished nor rolled back.
func (r *Rollout) Active() bool {
	return r.Stage != StageFinished && r.Stage != StageRolledBack
}

// applyRollouts applies changes of roll-outs and reports that the view changes.
func (s *State) applyRollouts(now time.Time, x RolloutsChanged) bool {
	s.rolloutsKnown = true
	listed := map[ident.ServiceID]bool{}
	for _, r := range x.Present {
		listed[r.Service] = true
		s.applyRollout(now, r)
	}
	for _, id := range x.Removed {
		s.removeRollout(id)
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
		s.record("rollout "+stageName(r.Stage), string(r.Service), "target %s, revision %d", r.Target, r.Revision)
	}
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
