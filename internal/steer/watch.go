package steer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

const (
	// retryFirst and retryLast bound the pause after a failed call; it doubles.
	retryFirst = 100 * time.Millisecond
	retryLast  = 500 * time.Millisecond
)

// Store is what is read and written of the platform's store.
type Store interface {
	ListAt(ctx context.Context, class plat.Class, prefix plat.Key) ([]plat.Object, plat.Version, error)
	Watch(ctx context.Context, class plat.Class, prefix plat.Key, after plat.Version, wait time.Duration) ([]plat.Change, plat.Version, error)
	Put(ctx context.Context, class plat.Class, key plat.Key, value []byte, expect plat.Version) (plat.Version, error)
}

// Pace is how often a kind of objects is looked at.
type Pace struct {
	Wait  time.Duration // that a watch waits for a change
	Pause time.Duration // at least, from one call to the next
}

// watcher follows one kind of objects.
type watcher struct {
	kind  plat.Key
	pace  Pace
	store Store
	log   *zap.Logger
	clock func() time.Time
	reset func() // drops connections that may be dead
	// whole takes in all objects of the kind, changed those that changed.
	whole   func(now time.Time, objects []plat.Object)
	changed func(now time.Time, changes []plat.Change)
	// answered and failed are told of each call's outcome.
	answered func(now time.Time)
	failed   func(now time.Time)
	lost     bool
}

// run follows the kind until ctx ends.
func (w *watcher) run(ctx context.Context) {
	var at plat.Version
	listed := false
	pause := retryFirst
	for ctx.Err() == nil {
		began := w.clock()
		var err error
		if listed {
			at, err = w.follow(ctx, at)
		} else {
			at, err = w.list(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, plat.ErrCompacted) {
			w.log.Info("history gone", zap.String("kind", string(w.kind)), zap.Uint64("revision", uint64(at)))
			listed = false
			continue
		}
		if err != nil {
			w.fail(err)
			sleep(ctx, spread(pause))
			pause = min(2*pause, retryLast)
			continue
		}
		w.succeed()
		listed, pause = true, retryFirst
		sleep(ctx, w.pace.Pause-w.clock().Sub(began))
	}
}

func (w *watcher) list(ctx context.Context) (plat.Version, error) {
	objects, at, err := w.store.ListAt(ctx, plat.ClassConfig, w.kind)
	if err != nil {
		return 0, err
	}
	now := w.clock()
	w.answered(now)
	w.whole(now, objects)
	return at, nil
}

// follow waits for changes after a revision. It gives that revision back if
// the call failed.
func (w *watcher) follow(ctx context.Context, at plat.Version) (plat.Version, error) {
	changes, upto, err := w.store.Watch(ctx, plat.ClassConfig, w.kind, at, w.pace.Wait)
	if err != nil {
		return at, err
	}
	now := w.clock()
	w.answered(now)
	if len(changes) > 0 {
		w.changed(now, changes)
	}
	return max(at, upto), nil
}

func (w *watcher) fail(err error) {
	w.failed(w.clock())
	w.reset()
	if !w.lost {
		w.lost = true
		w.log.Warn("store lost", zap.String("kind", string(w.kind)), zap.Error(err))
	}
}

func (w *watcher) succeed() {
	if w.lost {
		w.lost = false
		w.log.Info("store regained", zap.String("kind", string(w.kind)))
	}
}

// spread parts routers that failed together, so that they do not return
// together.
func spread(pause time.Duration) time.Duration {
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
