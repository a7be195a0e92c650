package syncer

import (
	"encoding/json"
	"fmt"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// evidenceCursor is the position up to which evidence was sent.
type evidenceCursor = roll.Revision

// evidenceRecord is the wire form of one tally.
type evidenceRecord struct {
	Router      ident.RouterID  `json:"router"`
	Incarnation uint64          `json:"incarnation"`
	Order       string          `json:"order"`
	Version     ident.VersionID `json:"version"`
	Route       roll.Group      `json:"route"`
	Slice       int             `json:"slice"`
	Counts      [4]uint64       `json:"counts"` // answers, failed, timed, slow
}

// evidenceSince returns the evidence of all routers that changed after cursor, and
// advances cursor.
func (c *Controller) evidenceSince(cursor *evidenceCursor) []json.RawMessage {
	c.lock.Lock()
	entries, next := c.tracker.evidence.Delta(*cursor)
	c.lock.Unlock()
	*cursor = next
	var out []json.RawMessage
	for _, e := range entries {
		raw, err := json.Marshal(encodeEvidence(e))
		if err != nil {
			c.log.Error("evidence not passed on", zap.Error(err))
			continue
		}
		out = append(out, raw)
	}
	return out
}

// mergeEvidence merges evidence from other routers.
func (c *Controller) mergeEvidence(list []json.RawMessage) {
	var entries []roll.TallyEntry
	for _, raw := range list {
		e, err := decodeEvidence(raw)
		if err != nil {
			c.log.Warn("evidence passed over", zap.Error(err))
			continue
		}
		if e.Source != c.tracker.source {
			entries = append(entries, e)
		}
	}
	if len(entries) == 0 {
		return
	}
	c.lock.Lock()
	c.tracker.evidence.Merge(entries)
	c.lock.Unlock()
}

func encodeEvidence(e roll.TallyEntry) evidenceRecord {
	return evidenceRecord{
		Router: e.Source.Router, Incarnation: e.Source.Incarnation,
		Order: e.Key.Rollout, Version: e.Key.Version, Route: e.Key.Group, Slice: e.Key.Slice,
		Counts: [4]uint64{e.Tally.Answers, e.Tally.Failed, e.Tally.Timed, e.Tally.Slow},
	}
}

func decodeEvidence(raw json.RawMessage) (roll.TallyEntry, error) {
	var s evidenceRecord
	if err := json.Unmarshal(raw, &s); err != nil {
		return roll.TallyEntry{}, fmt.Errorf("decoding evidence: %w", err)
	}
	c := s.Counts
	if c[1] > c[0] || c[3] > c[2] {
		return roll.TallyEntry{}, fmt.Errorf("evidence of router %q counts more failed or slow responses than responses: %v", s.Router, c)
	}
	return roll.TallyEntry{
		Key:    roll.TallyKey{Rollout: s.Order, Version: s.Version, Group: s.Route, Slice: s.Slice},
		Source: roll.Source{Router: s.Router, Incarnation: s.Incarnation},
		Tally:  roll.Tally{Answers: c[0], Failed: c[1], Timed: c[2], Slow: c[3]},
	}, nil
}
