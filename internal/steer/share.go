package steer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// shareEvery is the pause between exchanges of evidence while a version is
	// on trial, and shareMoving while the load moves to it: fifty bad answers
	// spread over all routers must be seen well within the roll-back bound.
	shareEvery  = 1200 * time.Millisecond
	shareMoving = 500 * time.Millisecond
	// shareEntries bounds the entries that one router shares: those of all
	// routes together come first.
	shareEntries = 12
	// shareFew is the number of routers up to which routes are shared apart.
	shareFew = 24
)

// sharedEntry is one cell of evidence as it is kept in the store.
type sharedEntry struct {
	Model   ident.ModelID   `json:"model"`
	Version ident.VersionID `json:"version"`
	Route   ident.TeamID    `json:"route,omitempty"`
	Step    int             `json:"step"`
	Window  int             `json:"window"`
	Counts  [][2]uint64     `json:"counts"` // counter and value
}

// sharedEvidence is one router's evidence as it is kept in the store.
type sharedEvidence struct {
	Incarnation uint64        `json:"incarnation"`
	Entries     []sharedEntry `json:"entries"`
}

// share exchanges evidence with the other routers until ctx ends.
func (t *Steer) share(ctx context.Context) {
	var mark roll.Mark
	for ctx.Err() == nil {
		pause, open := t.sharePause()
		if !open {
			sleep(ctx, shareMoving)
			continue
		}
		mark = t.giveEvidence(ctx, mark)
		t.takeEvidence(ctx)
		sleep(ctx, pause)
	}
}

// sharePause gives the pause between exchanges, and whether there is anything
// to exchange.
func (t *Steer) sharePause() (time.Duration, bool) {
	pause, open := shareEvery, false
	for _, r := range t.View().Rollouts {
		switch r.Stage {
		case world.StageTrial:
			open = true
		case world.StageMoving:
			pause, open = shareMoving, true
		case world.StageOrdered, world.StageFinished, world.StageUndone:
		}
	}
	return pause, open
}

// giveEvidence writes this router's own evidence, if there is any news.
func (t *Steer) giveEvidence(ctx context.Context, mark roll.Mark) roll.Mark {
	most := shareEntries
	if t.Routers() > shareFew {
		most = 2 // of all routes together, as a whole and in the window
	}
	t.lock.Lock()
	fresh, next := t.trials.evidence.Batch(t.trials.self, mark, 1, 0)
	entries, _ := t.trials.evidence.Batch(t.trials.self, 0, most, 0)
	t.lock.Unlock()
	if len(fresh) == 0 {
		return mark
	}
	s := sharedEvidence{Incarnation: t.trials.self.Incarnation}
	for _, e := range entries {
		s.Entries = append(s.Entries, pack(e))
	}
	value, err := json.Marshal(s)
	if err != nil {
		t.log.Error("evidence not written", zap.Error(err))
		return mark
	}
	_, err = t.store.Put(ctx, plat.ClassStatus, t.kinds.StatusKey(memberPrefix+plat.Key(t.settings.Router)), value, 0)
	if err != nil {
		if errors.Is(err, plat.ErrAbsent) {
			t.members.enter(ctx, t.store, t.log)
		}
		t.log.Info("evidence not written", zap.Error(err))
		return mark
	}
	return next
}

// takeEvidence reads the evidence of all routers.
func (t *Steer) takeEvidence(ctx context.Context) {
	objects, _, err := t.store.ListAt(ctx, plat.ClassStatus, memberPrefix)
	if err != nil {
		t.log.Info("evidence not read", zap.Error(err))
		return
	}
	t.members.counted(len(objects), t.log)
	for _, o := range objects {
		router := ident.RouterID(t.kinds.Name(o.Key))
		if router == t.settings.Router {
			continue
		}
		entries, err := t.unpack(router, o)
		if err != nil {
			t.unreadable(o, err)
			continue
		}
		t.lock.Lock()
		t.trials.evidence.Merge(entries)
		t.lock.Unlock()
	}
}

func pack(e roll.Entry) sharedEntry {
	s := sharedEntry{
		Model: e.Key.Release.Model, Version: e.Key.Release.Version, Route: e.Key.Team,
		Step: e.Key.Stratum.Step, Window: e.Key.Stratum.Window,
	}
	for _, c := range e.Counts {
		s.Counts = append(s.Counts, [2]uint64{uint64(c.Counter), c.Value})
	}
	return s
}

func (t *Steer) unpack(router ident.RouterID, o plat.Object) ([]roll.Entry, error) {
	raw, err := t.kinds.Status(o)
	if err != nil || len(raw) == 0 || string(raw) == "null" {
		return nil, err
	}
	var s sharedEvidence
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, fmt.Errorf("reading the evidence of router %q: %w", router, err)
	}
	source := roll.Source{Router: router, Incarnation: s.Incarnation}
	entries := make([]roll.Entry, 0, len(s.Entries))
	for _, e := range s.Entries {
		entry := roll.Entry{
			Key: roll.Key{
				Release: ident.Release{Model: e.Model, Version: e.Version}, Team: e.Route,
				Stratum: roll.Stratum{Step: e.Step, Window: e.Window},
			},
			Source: source,
		}
		for _, c := range e.Counts {
			if c[0] >= roll.CounterCount {
				return nil, fmt.Errorf("evidence of router %q counts what is not known: %d", router, c[0])
			}
			entry.Counts = append(entry.Counts, roll.Count{Counter: roll.Counter(c[0]), Value: c[1]})
		}
		entries = append(entries, entry)
	}
	return entries, nil
}
