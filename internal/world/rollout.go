package world

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Stage is how far a roll-out has come.
type Stage string

// The stages of a roll-out.
const (
	StageOrdered    Stage = ""         // no router has taken it up
	StageTrial      Stage = "trial"    // a small share goes to the target
	StageMoving     Stage = "moving"   // all new requests go to the target
	StageFinished   Stage = "finished" // only the target is left
	StageRolledBack Stage = "undone"   // nothing goes to the target
)

// Rollout is an order to bring a service to a version.
type Rollout struct {
	Service      ident.ServiceID
	Target       ident.VersionID
	Duration     time.Duration // within which it is to be finished
	OrderID      string        // tells the order from an earlier one for the same service
	Stage        Stage
	Revision     uint64    // of the object in the store, for the next conditional write
	FirstSeen    time.Time // when this router first heard of the order
	StageEntered time.Time // when this router first saw the stage
}

// Open tells whether the roll-out still wants a decision.
func (r *Rollout) Active() bool {
	return r.Stage != StageFinished && r.Stage != StageRolledBack
}

func (w *State) order(now time.Time, x RolloutsChanged) bool {
	w.ordered = true
	named := map[ident.ServiceID]bool{}
	for _, r := range x.Present {
		named[r.Service] = true
		w.rollout(now, r)
	}
	for _, id := range x.Removed {
		w.withdrawn(id)
	}
	if x.Full {
		for id := range w.rollouts {
			if !named[id] {
				w.withdrawn(id)
			}
		}
	}
	return true
}

func (w *State) rollout(now time.Time, r Rollout) {
	old, known := w.rollouts[r.Service]
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
	w.rollouts[r.Service] = r
	if r.Stage == StageFinished {
		w.stable[r.Service] = r.Target
	}
	if !known || old.Stage != r.Stage || old.Target != r.Target {
		w.note("rollout "+stageWord(r.Stage), string(r.Service), "target %s, revision %d", r.Target, r.Revision)
	}
}

func (w *State) withdrawn(id ident.ServiceID) {
	if _, known := w.rollouts[id]; known {
		delete(w.rollouts, id)
		w.note("rollout removed", string(id), "")
	}
}

func stageWord(s Stage) string {
	if s == StageOrdered {
		return "ordered"
	}
	return string(s)
}
