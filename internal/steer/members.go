package steer

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// memberPrefix is the kind under which routers enter themselves. An entry
	// is written once in a router's life and never removed: what is shared out
	// by their number then stays within its limit.
	memberPrefix plat.Key = "routers/"
	// memberPause is the pause between counts of the routers.
	memberPause = 10 * time.Second
	// membersUnknown is taken for their number before they were counted.
	membersUnknown = 64
)

// members counts the routers that share what the platform limits.
type members struct {
	self  ident.RouterID
	count atomic.Int64
}

func newMembers(self ident.RouterID) *members {
	m := &members{self: self}
	m.count.Store(membersUnknown)
	return m
}

// run enters this router and counts the others until ctx ends.
func (m *members) run(ctx context.Context, store Store, log *zap.Logger) {
	entered := false
	for ctx.Err() == nil {
		if !entered {
			entered = m.enter(ctx, store, log)
		}
		objects, _, err := store.ListAt(ctx, plat.ClassStatus, memberPrefix)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			log.Info("routers not counted", zap.Error(err))
			sleep(ctx, retryLast)
			continue
		}
		m.counted(len(objects), log)
		sleep(ctx, spread(memberPause))
	}
}

// counted takes in the number of routers that have entered themselves.
func (m *members) counted(n int, log *zap.Logger) {
	n = max(1, n)
	if m.count.Swap(int64(n)) != int64(n) {
		log.Info("routers counted", zap.Int("routers", n))
	}
}

// enter writes this router's entry, and tells whether it is there.
func (m *members) enter(ctx context.Context, store Store, log *zap.Logger) bool {
	value, _ := json.Marshal(struct {
		Router ident.RouterID `json:"router"`
	}{m.self}) // of a string, cannot fail
	_, err := store.Put(ctx, plat.ClassStatus, memberPrefix+plat.Key(m.self), value, 0)
	if err != nil && !errors.Is(err, plat.ErrConflict) {
		log.Info("router not entered", zap.Error(err))
		return false
	}
	return true
}

// Routers gives the number of routers that share the endpoints, at most.
func (t *Steer) Routers() int { return int(t.members.count.Load()) }
