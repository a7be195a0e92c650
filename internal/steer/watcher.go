package steer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/feed"
	"github.com/marigoldscale/marigoldscale/internal/plat"
)

const (
	// retryFirst and retryLast bound the pause after a failed call; it doubles.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// retryFollower bounds it for routers that read only because those they
	// follow have no news either: in an outage, a few routers ask often.
	maxFollowerRetryPause = 2 * time.Second
	// outagePoll is the pause between looks whether an outage is over.
	outagePollInterval = 200 * time.Millisecond
	// beginPoll is the pause between looks whether the first call was answered.
	firstCallPollInterval = 10 * time.Millisecond
)

// outage tells whether the store answers, as one kind's watcher finds; the
// others wait for it.
type storeStatus struct {
	probe      plat.Key // the kind whose watcher asks
	down       atomic.Bool
	elected    atomic.Bool  // this router reads for others
	lastAnswer atomic.Int64 // when the probe was last answered, in Unix nanoseconds
	readStart  atomic.Int64 // when this router last began to read
}

// wait holds a kind's watcher back while another one probes: after a failed
// call, and when this router begins to read, since the store may then have no
// news for anybody.
func (s *storeStatus) waitForProbe(ctx context.Context, kind plat.Key) {
	if kind == s.probe {
		return
	}
	for s.lastAnswer.Load() < s.readStart.Load() && !s.down.Load() && ctx.Err() == nil {
		sleep(ctx, firstCallPollInterval)
	}
	for s.down.Load() && ctx.Err() == nil {
		sleep(ctx, outagePollInterval)
	}
}

// begin notes that this router begins to read.
func (s *storeStatus) markReadStart(now time.Time) { s.readStart.Store(now.UnixNano()) }

// longest is the longest pause between failed calls.
func (s *storeStatus) maxPause() time.Duration {
	if s.elected.Load() {
		return maxRetryPause
	}
	return maxFollowerRetryPause
}

// told takes in the outcome of a call.
func (s *storeStatus) recordCall(now time.Time, kind plat.Key, failed bool) {
	if kind != s.probe {
		return
	}
	s.down.Store(failed)
	if !failed {
		s.lastAnswer.Store(now.UnixNano())
	}
}

// answered tells whether the store has answered this router lately.
func (s *storeStatus) answeredWithin(now time.Time, within time.Duration) bool {
	return now.Sub(time.Unix(0, s.lastAnswer.Load())) < within
}

// Store is what is read and written of the platform's store.
type Store interface {
	ListAt(ctx context.Context, class plat.Class, prefix plat.Key) ([]plat.Object, plat.Version, error)
	Watch(ctx context.Context, class plat.Class, prefix plat.Key, after plat.Version, wait time.Duration) ([]plat.Change, plat.Version, error)
	Put(ctx context.Context, class plat.Class, key plat.Key, value []byte, expect plat.Version) (plat.Version, error)
}

// Pace is how often a kind of objects is looked at.
type WatchTiming struct {
	Timeout     time.Duration // that a watch waits for a change
	MinInterval time.Duration // at least, from one call to the next
}

// watcher follows one kind of objects in the store, while its router reads.
type watcher struct {
	kind   plat.Key
	timing WatchTiming
	store  Store
	log    *zap.Logger
	clock  func() time.Time
	gate   *gate
	reset  func() // drops connections that may be dead
	// outage is shared by all watchers.
	status *storeStatus
	// state gives the version up to which the kind is known, and whether it is.
	position func() (plat.Version, bool)
	// take takes in what was read, lapse that it must be listed again.
	onUpdate   func(now time.Time, n feed.Update)
	invalidate func()
	failing    bool
}

// run follows the kind until ctx ends.
func (w *watcher) run(ctx context.Context) {
	pause := minRetryPause
	for w.gate.wait(ctx) {
		w.status.waitForProbe(ctx, w.kind)
		if !w.gate.isOpen() {
			continue // another router has news again
		}
		began := w.clock()
		err := w.poll(ctx)
		w.status.recordCall(w.clock(), w.kind, err != nil && !errors.Is(err, plat.ErrCompacted))
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, plat.ErrCompacted):
			w.log.Info("history gone", zap.String("kind", string(w.kind)))
			w.invalidate()
		case err != nil:
			w.recordFailure(err)
			sleep(ctx, jitter(pause))
			pause = min(2*pause, w.status.maxPause())
		default:
			w.recordSuccess()
			pause = minRetryPause
			sleep(ctx, w.timing.MinInterval-w.clock().Sub(began))
		}
	}
}

// call lists the kind, or waits for changes if it is known.
func (w *watcher) poll(ctx context.Context) error {
	at, listed := w.position()
	if !listed {
		objects, upto, err := w.store.ListAt(ctx, plat.ClassConfig, w.kind)
		if err != nil {
			return err
		}
		changes := make([]plat.Change, len(objects))
		for i, o := range objects {
			changes[i] = plat.Change{Object: o, At: o.Version}
		}
		w.onUpdate(w.clock(), feed.Update{Kind: w.kind, Full: true, Revision: upto, Changes: changes})
		return nil
	}
	changes, upto, err := w.store.Watch(ctx, plat.ClassConfig, w.kind, at, w.timing.Timeout)
	if err != nil {
		return err
	}
	w.onUpdate(w.clock(), feed.Update{Kind: w.kind, Revision: max(at, upto), Changes: changes})
	return nil
}

func (w *watcher) recordFailure(err error) {
	w.reset()
	if !w.failing {
		w.failing = true
		w.log.Warn("store lost", zap.String("kind", string(w.kind)), zap.Error(err))
	}
}

func (w *watcher) recordSuccess() {
	if w.failing {
		w.failing = false
		w.log.Info("store regained", zap.String("kind", string(w.kind)))
	}
}

// spread parts routers that failed together, so that they do not return
// together.
func jitter(pause time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(pause))
}

// sleep waits, or until ctx ends.
func sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
