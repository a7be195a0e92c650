package steer

import (
	"encoding/json"
	"fmt"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// evidenceMark is the point up to which evidence was passed on.
type evidenceMark = roll.Revision

// shared is one tally as it is passed between routers.
type shared struct {
	Router      ident.RouterID  `json:"router"`
	Incarnation uint64          `json:"incarnation"`
	Order       string          `json:"order"`
	Version     ident.VersionID `json:"version"`
	Route       roll.Group      `json:"route"`
	Slice       int             `json:"slice"`
	Counts      [4]uint64       `json:"counts"` // answers, failed, timed, slow
}

// evidence gives the evidence of all routers that changed after the mark.
func (t *Steer) evidence(mark *evidenceMark) []json.RawMessage {
	t.lock.Lock()
	entries, next := t.trials.evidence.Delta(*mark)
	t.lock.Unlock()
	*mark = next
	var out []json.RawMessage
	for _, e := range entries {
		raw, err := json.Marshal(pack(e))
		if err != nil {
			t.log.Error("evidence not passed on", zap.Error(err))
			continue
		}
		out = append(out, raw)
	}
	return out
}

// merge takes in evidence from other routers.
func (t *Steer) merge(list []json.RawMessage) {
	var entries []roll.TallyEntry
	for _, raw := range list {
		e, err := unpack(raw)
		if err != nil {
			t.log.Warn("evidence passed over", zap.Error(err))
			continue
		}
		if e.Source != t.trials.self {
			entries = append(entries, e)
		}
	}
	if len(entries) == 0 {
		return
	}
	t.lock.Lock()
	t.trials.evidence.Merge(entries)
	t.lock.Unlock()
}

func pack(e roll.TallyEntry) shared {
	return shared{
		Router: e.Source.Router, Incarnation: e.Source.Incarnation,
		Order: e.Key.Rollout, Version: e.Key.Version, Route: e.Key.Group, Slice: e.Key.Slice,
		Counts: [4]uint64{e.Tally.Answers, e.Tally.Failed, e.Tally.Timed, e.Tally.Slow},
	}
}

func unpack(raw json.RawMessage) (roll.TallyEntry, error) {
	var s shared
	if err := json.Unmarshal(raw, &s); err != nil {
		return roll.TallyEntry{}, fmt.Errorf("reading evidence: %w", err)
	}
	c := s.Counts
	if c[1] > c[0] || c[3] > c[2] {
		return roll.TallyEntry{}, fmt.Errorf("evidence of router %q has more bad answers than answers: %v", s.Router, c)
	}
	return roll.TallyEntry{
		Key:    roll.TallyKey{Rollout: s.Order, Version: s.Version, Group: s.Route, Slice: s.Slice},
		Source: roll.Source{Router: s.Router, Incarnation: s.Incarnation},
		Tally:  roll.Tally{Answers: c[0], Failed: c[1], Timed: c[2], Slow: c[3]},
	}, nil
}
