package steer

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/feed"
	"github.com/marigoldscale/marigoldscale/internal/plat"
)

const (
	// memberPrefix is the kind under which routers enter themselves. An entry
	// is written once in a router's life and never removed: what is shared out
	// by their number then stays within its limit.
	memberPrefix plat.Key = "routers/"
	// memberWait is how long a watch on the routers waits.
	memberWait = 5 * time.Second
	// firstWait is how long a router waits at the first start of all of them
	// before it looks who else is there.
	firstWait = 1200 * time.Millisecond
	// beat is the pause between frames to followers, and between looks at who
	// is followed.
	beat = 250 * time.Millisecond
	// beatLimit is the age of the last frame at which a link is not fresh: a
	// follower must read a change by itself within the bound on it.
	beatLimit = 800 * time.Millisecond
	// linkTime is how long a link may take to be opened, and linkTrial to be
	// fresh: many may be opened at once to a router with little bandwidth.
	linkTime  = 2 * time.Second
	linkTrial = 3 * time.Second
	// startWait is how long a router that knows nothing waits for its link
	// before it reads the store, and startWaitFirst at the first start of all.
	startWait      = time.Second
	startWaitFirst = 4 * time.Second
	// evidenceEvery is the pause between evidence sent to the one followed.
	evidenceEvery = 300 * time.Millisecond
)

// link is the state of the stream from the router that is followed.
type link struct {
	lock   sync.Mutex
	peer   feed.Peer
	cancel context.CancelFunc
	opened time.Time
	last   time.Time // of the last frame
	ages   map[plat.Key]time.Duration
	told   time.Time // when ages came
	failed bool
}

// self is this router as others follow it.
func (t *Steer) self() feed.Peer {
	return feed.Peer{Router: t.settings.Router, Address: t.settings.Feed, Priority: t.settings.Power}
}

// enter writes this router's entry, and tells whether it is there.
func (t *Steer) enter(ctx context.Context) bool {
	value, err := json.Marshal(t.self())
	if err != nil {
		t.log.Error("router not entered", zap.Error(err))
		return false
	}
	_, err = t.store.Put(ctx, plat.ClassStatus, memberPrefix+plat.Key(t.settings.Router), value, 0)
	if err != nil && !errors.Is(err, plat.ErrConflict) {
		t.log.Info("router not entered", zap.Error(err))
		return false
	}
	return true
}

// routers takes in who is there.
func (t *Steer) routers(_ time.Time, _ []plat.Object, _ []plat.Key, _ bool) {
	m := t.mirrors[memberPrefix]
	peers := make([]feed.Peer, 0, len(m.objects))
	for _, o := range m.objects {
		raw, err := t.kinds.Spec(o)
		var p feed.Peer
		if err == nil {
			err = json.Unmarshal(raw, &p)
		}
		if err != nil || p.Router == "" {
			t.unreadable(o, errors.Errorf("entry of a router cannot be read: %v", err))
			continue
		}
		peers = append(peers, p)
	}
	t.rosterLock.Lock()
	t.roster.SetPeers(peers)
	t.rosterLock.Unlock()
	n := int64(max(1, len(peers)))
	if t.count.Swap(n) != n {
		t.log.Info("routers counted", zap.Int64("routers", n))
	}
}

// Routers gives the number of routers that share the endpoints, at most.
func (t *Steer) Routers() int { return int(t.count.Load()) }

// join enters this router and looks who else is there, until that is known.
func (t *Steer) join(ctx context.Context) {
	for ctx.Err() == nil && !t.enter(ctx) {
		sleep(ctx, spread(retryLast))
	}
	if t.settings.First {
		sleep(ctx, firstWait)
	}
	w := t.watchers[memberPrefix]
	for ctx.Err() == nil && w.call(ctx) != nil {
		sleep(ctx, spread(retryLast))
	}
}

// govern decides who is followed and whether the store is read, until ctx ends.
func (t *Steer) govern(ctx context.Context) {
	t.join(ctx)
	began := t.clock()
	var current *link
	for ctx.Err() == nil {
		now := t.clock()
		fresh := current != nil && t.fresh(now, current)
		t.rosterLock.Lock()
		if current != nil && !fresh && t.useless(now, current) {
			t.roster.MarkDown(now, current.peer.Router)
			t.log.Warn("feed lost", zap.String("router", string(current.peer.Router)))
			current.cancel()
			current = nil
		}
		if fresh {
			t.roster.MarkUp(current.peer.Router)
		}
		plan := t.roster.Plan(now, feed.PlanInput{ParentFresh: fresh, HasFollowers: t.hub.HasFollowers(), StoreDown: t.outage.lost.Load()})
		t.rosterLock.Unlock()
		if current != nil && plan.Parent.Router != current.peer.Router {
			current.cancel()
			current = nil
		}
		if current == nil && plan.Parent.Router != "" {
			current = t.follow(ctx, now, plan.Parent)
		}
		t.loads.follow(plan.Parent.Router)
		t.outage.reader.Store(plan.Elected)
		t.first.Store(plan.Parent.Router == "")
		// A router that knows nothing yet waits for a link just opened.
		waits := !fresh && current != nil && !t.View().Ready && !t.hub.HasFollowers() && !plan.Elected &&
			now.Sub(began) < t.startWait()
		read := plan.ReadStore && !waits
		if read && !t.gate.isOpen() {
			t.outage.begin(now)
		}
		if t.gate.set(read) {
			t.log.Info("reading", zap.Bool("store", read), zap.String("follow", string(plan.Parent.Router)), zap.Bool("fresh", fresh))
		}
		if err := t.hub.Heartbeat(); err != nil {
			t.log.Error("followers not told", zap.Error(err))
		}
		t.age(now)
		sleep(ctx, beat)
	}
}

// useless tells whether a link that is not fresh is to be given up. While the
// store answers nobody, it is kept: its router will have news first.
func (t *Steer) useless(now time.Time, l *link) bool {
	if l.broken() {
		return true
	}
	l.lock.Lock()
	quiet := now.Sub(l.opened)
	if l.last.After(l.opened) {
		quiet = now.Sub(l.last)
	}
	l.lock.Unlock()
	return quiet > linkTrial || now.Sub(l.opened) > linkTrial && t.outage.answered(now, linkTrial)
}

func (t *Steer) startWait() time.Duration {
	if t.settings.First {
		return startWaitFirst
	}
	return startWait
}

func (l *link) broken() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.failed
}

// fresh tells whether the link brings all kinds as they are in the store.
func (t *Steer) fresh(now time.Time, l *link) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.failed || l.last.IsZero() || now.Sub(l.last) > beatLimit {
		return false
	}
	for kind, m := range t.mirrors {
		age, told := l.ages[kind]
		if !told || age+now.Sub(l.told) > m.limit() {
			return false
		}
	}
	return true
}

// follow opens a link to a router and takes in what it sends.
func (t *Steer) follow(ctx context.Context, now time.Time, peer feed.Peer) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{peer: peer, cancel: cancel, opened: now}
	go func() {
		defer cancel()
		if err := t.hear(ctx, l); err != nil && ctx.Err() == nil {
			t.log.Info("feed broke", zap.String("router", string(peer.Router)), zap.Error(err))
		}
		l.lock.Lock()
		l.failed = true
		l.lock.Unlock()
	}()
	return l
}

func (t *Steer) hear(ctx context.Context, l *link) error {
	stream, err := feed.Follow(ctx, l.peer, linkTime)
	if err != nil {
		return err
	}
	defer stream.Close()
	go t.testify(ctx, stream)
	go t.reportLoad(ctx, stream)
	for {
		f, err := stream.Receive()
		if err != nil {
			return err
		}
		now := t.clock()
		t.frame(now, f)
		l.lock.Lock()
		if l.last.IsZero() {
			t.log.Info("feed opened", zap.String("router", string(l.peer.Router)))
		}
		l.last = now
		if f.Ages != nil {
			l.ages, l.told = f.Ages, now
		}
		l.lock.Unlock()
	}
}

// frame takes in a frame from the router that is followed.
func (t *Steer) frame(now time.Time, f feed.Frame) {
	for _, n := range f.Updates {
		t.news(now, n)
	}
	t.mirrorLock.Lock()
	for kind, age := range f.Ages {
		if m := t.mirrors[kind]; m != nil && now.Add(-age).After(m.heard) {
			m.heard = now.Add(-age)
		}
	}
	t.mirrorLock.Unlock()
	t.merge(f.Evidence)
	t.kept.take(now, f.Pinned)
	if f.Load != nil {
		if !t.loads.circled(now) {
			t.loads.setTotal(now, unpackLoad(f.Load))
		}
		t.reads.take(now, fromAbove, f.Load.Prefixes)
	}
}

// testify sends evidence and sessions kept to the router that is followed, until ctx ends.
func (t *Steer) testify(ctx context.Context, stream *feed.Stream) {
	var mark evidenceMark
	var sessions uint64
	for ctx.Err() == nil {
		sleep(ctx, evidenceEvery)
		now := t.clock()
		f := feed.Frame{
			From: t.settings.Router, Evidence: t.evidence(&mark),
			Pinned: t.kept.since(now, &sessions),
		}
		if len(f.Evidence)+len(f.Pinned) > 0 && stream.Send(f) != nil {
			return // the receiver sees that the link is broken
		}
	}
}

// news takes in what was read of a kind, and passes it on.
func (t *Steer) news(now time.Time, n feed.Update) {
	t.mirrorLock.Lock()
	defer t.mirrorLock.Unlock()
	m := t.mirrors[n.Kind]
	if m == nil {
		return
	}
	fresh, some := m.take(now, n)
	if some {
		if err := t.hub.Publish(feed.Frame{Updates: []feed.Update{fresh}, Ages: t.ages(now)}); err != nil {
			t.log.Error("followers not told", zap.Error(err))
		}
	}
}

// read takes in what this router has read itself.
func (t *Steer) read(now time.Time, n feed.Update) {
	t.mirrorLock.Lock()
	t.mirrors[n.Kind].heard = now
	t.mirrorLock.Unlock()
	t.age(now)
	t.news(now, n)
}

// ages tells how long ago each kind was heard from the store.
func (t *Steer) ages(now time.Time) map[plat.Key]time.Duration {
	ages := make(map[plat.Key]time.Duration, len(t.mirrors))
	for kind, m := range t.mirrors {
		if !m.heard.IsZero() {
			ages[kind] = now.Sub(m.heard)
		}
	}
	return ages
}

// Snapshot gives all that is known, for a router that begins to follow.
func (t *Steer) Snapshot() feed.Frame {
	t.mirrorLock.Lock()
	defer t.mirrorLock.Unlock()
	f := feed.Frame{From: t.settings.Router, Ages: t.ages(t.clock())}
	for _, m := range t.mirrors {
		if m.listed {
			f.Updates = append(f.Updates, m.snapshot())
		}
	}
	var mark evidenceMark
	f.Evidence = t.evidence(&mark)
	var sessions uint64
	f.Pinned = t.kept.since(t.clock(), &sessions)
	return f
}

// Beat gives the frame for a moment without news.
func (t *Steer) Heartbeat() feed.Frame {
	t.mirrorLock.Lock()
	defer t.mirrorLock.Unlock()
	now := t.clock()
	return feed.Frame{Ages: t.ages(now), Evidence: t.evidence(&t.told), Pinned: t.kept.since(now, &t.toldKept)}
}

// Heard takes in what a follower sends.
func (t *Steer) HandleFrame(f feed.Frame) {
	t.merge(f.Evidence)
	now := t.clock()
	t.kept.take(now, f.Pinned)
	if f.Load != nil {
		t.loads.hear(now, f.From, f.Load)
		t.reads.take(now, fromBelow, f.Load.Prefixes)
	}
}
