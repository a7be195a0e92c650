package syncer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/feed"
	"github.com/marigoldscale/marigoldscale/internal/plat"
)

const (
	// minRetryPause and maxRetryPause bound the pause after a failed call, which
	// doubles each time.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// maxFollowerRetryPause is the bound for routers that read only because
	// their parent has no fresh data either, so that only a few routers poll
	// often during an outage.
	maxFollowerRetryPause = 2 * time.Second
	// outagePollInterval is the pause between checks whether the store is back.
	outagePollInterval = 200 * time.Millisecond
	// firstCallPollInterval is the pause between checks whether the first call
	// was answered.
	firstCallPollInterval = 10 * time.Millisecond
	// overdueWait is how long after its end a watch may be answered. A slow store takes a
	// quarter of a second.
	overdueWait = 400 * time.Millisecond
	// confirmTimeout is the wait of a watch that only confirms that nothing has changed.
	confirmTimeout = 20 * time.Millisecond
	// returnPause is how long a router that none follows leaves a store that answers
	// again, or has lost its history, to the readers: their feeds make its own reading
	// needless.
	returnPause = 600 * time.Millisecond
)

// storeStatus records whether the store answers. The watcher of one kind probes
// the store, and the other watchers wait for it.
type storeStatus struct {
	probe      plat.Key // kind whose watcher probes the store
	down       atomic.Bool
	elected    atomic.Bool // whether this router is an elected reader
	followed   atomic.Bool // whether other routers follow this one
	answered   atomic.Bool // whether the probe was answered since this router began to read the store
	resumeAt   instant     // until when the store is left to the readers
	lastAnswer instant     // when the probe was last answered
}

// instant is a time that is read and written concurrently. It keeps the monotonic clock's
// reading, so that a step of the time of day does not move it.
type instant struct{ at atomic.Pointer[time.Time] }

func (i *instant) set(t time.Time) { i.at.Store(&t) }

func (i *instant) clear() { i.at.Store(nil) }

// get returns the time, the zero time if none is set.
func (i *instant) get() time.Time {
	if t := i.at.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// waitForProbe blocks the watcher of a kind while the probing watcher finds the
// store down. After this router begins to read, it also blocks until the probe is
// answered, since the store may be down for all routers then. It returns once this router
// need not read the store.
func (s *storeStatus) waitForProbe(ctx context.Context, kind plat.Key, g *gate) {
	if kind == s.probe {
		return
	}
	for !s.answered.Load() && !s.down.Load() && g.isOpen() && ctx.Err() == nil {
		sleep(ctx, firstCallPollInterval)
	}
	for s.down.Load() && g.isOpen() && ctx.Err() == nil {
		sleep(ctx, outagePollInterval)
	}
}

// markReadStart records that this router begins to read the store. What it knew of the store
// before is old: it may have ceased to read while that was away.
func (s *storeStatus) markReadStart() {
	s.answered.Store(false)
	s.down.Store(false)
	s.resumeAt.clear()
}

// answers reports whether the store has answered this router since it began to read it, and
// within the given time. A call that fails in between does not count.
func (s *storeStatus) answers(now time.Time, within time.Duration) bool {
	return s.answered.Load() && s.answeredWithin(now, within)
}

// maxPause returns the longest pause between failed calls.
func (s *storeStatus) maxPause() time.Duration {
	if s.elected.Load() {
		return maxRetryPause
	}
	return maxFollowerRetryPause
}

// recordCall records the outcome of a call for a kind; only the probe's counts.
func (s *storeStatus) recordCall(now time.Time, kind plat.Key, failed, compacted bool) {
	if kind != s.probe {
		return
	}
	before := s.down.Swap(failed)
	if failed {
		return
	}
	if (before || compacted) && !s.elected.Load() && !s.followed.Load() {
		s.resumeAt.set(now.Add(returnPause))
	}
	s.lastAnswer.set(now)
	s.answered.Store(true)
}

// waitForReaders blocks a watcher for as long as a store that is back is left to the
// readers, or until this router need not read it.
func (s *storeStatus) waitForReaders(ctx context.Context, clock func() time.Time, g *gate) {
	for clock().Before(s.resumeAt.get()) && g.isOpen() && ctx.Err() == nil {
		sleep(ctx, firstCallPollInterval)
	}
}

// answeredWithin reports whether the store has answered this router within the
// given time before now.
func (s *storeStatus) answeredWithin(now time.Time, within time.Duration) bool {
	at := s.lastAnswer.get()
	return !at.IsZero() && now.Sub(at) < within
}

// Store is the part of the platform's store client that a Controller uses.
type Store interface {
	ListWithVersion(ctx context.Context, class plat.Class, prefix plat.Key) ([]plat.Object, plat.Version, error)
	Watch(ctx context.Context, class plat.Class, prefix plat.Key, after plat.Version, wait time.Duration) ([]plat.Change, plat.Version, error)
	Put(ctx context.Context, class plat.Class, key plat.Key, value []byte, expect plat.Version) (plat.Version, error)
}

// WatchTiming configures how a kind of objects is watched.
type WatchTiming struct {
	Timeout     time.Duration // long-poll timeout of a watch
	MinInterval time.Duration // minimum time from one call to the next
}

// watcher watches one kind of objects in the store while gate is open.
type watcher struct {
	kind   plat.Key
	timing WatchTiming
	store  Store
	log    *zap.Logger
	clock  func() time.Time
	gate   *gate
	reset  func()       // closes connections that may be dead
	status *storeStatus // shared by all watchers
	// position returns the revision up to which the kind is cached, and whether
	// the cache is complete.
	position func() (plat.Version, bool)
	// onUpdate is called with what was read.
	onUpdate func(now time.Time, u feed.Update)
	// onFailure is called when a call failed.
	onFailure func(now time.Time)
	// mustList is set while the history from which a watch would continue is gone.
	// It does not concern the cache, which may be current by another router's feed.
	mustList bool
	failing  bool
	// confirmed is set once the store has answered since this router began to read it or
	// since a call failed. Until then a watch does not wait: that nothing has changed is
	// to be known at once.
	confirmed bool
}

// run watches the kind until ctx ends.
func (w *watcher) run(ctx context.Context) {
	pause := minRetryPause
	for {
		if !w.gate.isOpen() {
			w.confirmed = false
		}
		if !w.gate.wait(ctx) {
			return
		}
		w.status.waitForProbe(ctx, w.kind, w.gate)
		w.status.waitForReaders(ctx, w.clock, w.gate)
		if !w.gate.isOpen() {
			continue // the parent has fresh data again
		}
		start := w.clock()
		err := w.poll(ctx)
		compacted := errors.Is(err, plat.ErrCompacted)
		w.status.recordCall(w.clock(), w.kind, err != nil && !compacted, compacted)
		switch {
		case ctx.Err() != nil:
			return
		case compacted:
			w.log.Info("history gone", zap.String("kind", string(w.kind)))
			w.mustList = true
		case err != nil:
			w.onFailure(w.clock())
			w.recordFailure(err)
			sleep(ctx, jitter(pause))
			pause = min(2*pause, w.status.maxPause())
		default:
			w.recordSuccess()
			pause = minRetryPause
			sleep(ctx, w.timing.MinInterval-w.clock().Sub(start))
		}
	}
}

// poll lists the kind if the cache is not complete or the history is gone, and
// otherwise waits for changes.
func (w *watcher) poll(ctx context.Context) error {
	cached, listed := w.position()
	var u feed.Update
	var err error
	if !listed || w.mustList {
		u, err = w.list(ctx)
	} else {
		u, err = w.watch(ctx, cached)
	}
	if err != nil {
		return err
	}
	if u.Full {
		w.mustList = false
	}
	w.onUpdate(w.clock(), u)
	return nil
}

// list reads all objects of the kind.
func (w *watcher) list(ctx context.Context) (feed.Update, error) {
	objects, revision, err := w.store.ListWithVersion(ctx, plat.ClassConfig, w.kind)
	if err != nil {
		return feed.Update{}, fmt.Errorf("reading all objects: %w", err)
	}
	changes := make([]plat.Change, len(objects))
	for i, o := range objects {
		changes[i] = plat.Change{Object: o, At: o.Version}
	}
	return feed.Update{Kind: w.kind, Full: true, Revision: revision, Changes: changes}, nil
}

// watch waits for changes after a revision. If the store leaves that unanswered beyond its time,
// it lists the kind beside it: a store may answer all calls but watches.
func (w *watcher) watch(ctx context.Context, after plat.Version) (feed.Update, error) {
	wait := w.timing.Timeout
	if !w.confirmed {
		wait = confirmTimeout
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the call that is not needed any more
	type result struct {
		update feed.Update
		err    error
	}
	watched, listed := make(chan result, 1), make(chan result, 1)
	go func() {
		changes, _, err := w.store.Watch(ctx, plat.ClassConfig, w.kind, after, wait)
		watched <- result{feed.Update{Kind: w.kind, Revision: lastRevision(after, changes), Changes: changes}, err}
	}()
	overdue := time.NewTimer(wait + overdueWait)
	defer overdue.Stop()
	for {
		select {
		case r := <-watched:
			if r.err != nil {
				return feed.Update{}, fmt.Errorf("waiting for changes: %w", r.err)
			}
			return r.update, nil
		case r := <-listed:
			if r.err == nil {
				return r.update, nil
			}
		case <-overdue.C:
			w.log.Warn("watch not answered", zap.String("kind", string(w.kind)), zap.Stringer("after", after), zap.Duration("wait", wait))
			w.reset() // its connection may be silent, and those kept for further calls too
			go func() {
				u, err := w.list(ctx)
				listed <- result{u, err}
			}()
		}
	}
}

// lastRevision returns the revision from which the next watch continues: that of the latest
// change, and not that of the store. While watches hear nothing the store may be past changes
// that it never tells of. It then either still has them after this revision, or says that its
// history is gone.
func lastRevision(position plat.Version, changes []plat.Change) plat.Version {
	for _, c := range changes {
		position = max(position, c.At)
	}
	return position
}

func (w *watcher) recordFailure(err error) {
	w.reset()
	w.confirmed = false
	if !w.failing {
		w.failing = true
		w.log.Warn("store lost", zap.String("kind", string(w.kind)), zap.Error(err))
	}
}

func (w *watcher) recordSuccess() {
	w.confirmed = true
	if w.failing {
		w.failing = false
		w.log.Info("store regained", zap.String("kind", string(w.kind)))
	}
}

// jitter randomizes a pause by ±50%, so that routers whose calls failed together
// do not retry together.
func jitter(pause time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(pause))
}

// sleep waits for pause or until ctx ends.
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
