package steer

import (
	"encoding/json"
	"fmt"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// evidenceMark is the point up to which evidence was passed on.
type evidenceMark = roll.Mark

// shared is one cell of evidence as it is passed between routers.
type shared struct {
	Router      ident.RouterID  `json:"router"`
	Incarnation uint64          `json:"incarnation"`
	Model       ident.ModelID   `json:"model"`
	Version     ident.VersionID `json:"version"`
	Route       ident.TeamID    `json:"route,omitempty"`
	Step        int             `json:"step"`
	Window      int             `json:"window"`
	Counts      [][2]uint64     `json:"counts"` // counter and value
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
	var entries []roll.Entry
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

func pack(e roll.Entry) shared {
	s := shared{
		Router: e.Source.Router, Incarnation: e.Source.Incarnation,
		Model: e.Key.Release.Model, Version: e.Key.Release.Version, Route: e.Key.Team,
		Step: e.Key.Stratum.Step, Window: e.Key.Stratum.Window,
	}
	for _, c := range e.Counts {
		s.Counts = append(s.Counts, [2]uint64{uint64(c.Counter), c.Value})
	}
	return s
}

func unpack(raw json.RawMessage) (roll.Entry, error) {
	var s shared
	if err := json.Unmarshal(raw, &s); err != nil {
		return roll.Entry{}, fmt.Errorf("reading evidence: %w", err)
	}
	e := roll.Entry{
		Key: roll.Key{
			Release: ident.Release{Model: s.Model, Version: s.Version}, Team: s.Route,
			Stratum: roll.Stratum{Step: s.Step, Window: s.Window},
		},
		Source: roll.Source{Router: s.Router, Incarnation: s.Incarnation},
	}
	for _, c := range s.Counts {
		if c[0] >= roll.CounterCount {
			return roll.Entry{}, fmt.Errorf("evidence of router %q counts what is not known: %d", s.Router, c[0])
		}
		e.Counts = append(e.Counts, roll.Count{Counter: roll.Counter(c[0]), Value: c[1]})
	}
	return e, nil
}
