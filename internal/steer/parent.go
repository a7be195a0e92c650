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
	routerPrefix plat.Key = "routers/"
	// memberWait is how long a watch on the routers waits.
	routerWatchTimeout = 5 * time.Second
	// firstWait is how long a router waits at the first start of all of them
	// before it looks who else is there.
	bootstrapJoinDelay = 1200 * time.Millisecond
	// beat is the pause between frames to followers, and between looks at who
	// is followed.
	heartbeatInterval = 250 * time.Millisecond
	// beatLimit is the age of the last frame at which a link is not fresh: a
	// follower must read a change by itself within the bound on it.
	heartbeatTimeout = 800 * time.Millisecond
	// linkTime is how long a link may take to be opened, and linkTrial to be
	// fresh: many may be opened at once to a router with little bandwidth.
	linkOpenTimeout  = 2 * time.Second
	linkFreshTimeout = 3 * time.Second
	// startWait is how long a router that knows nothing waits for its link
	// before it reads the store, and startWaitFirst at the first start of all.
	startupLinkWait   = time.Second
	bootstrapLinkWait = 4 * time.Second
	// evidenceEvery is the pause between evidence sent to the one followed.
	evidenceInterval = 300 * time.Millisecond
)

// link is the state of the stream from the router that is followed.
type parentLink struct {
	lock      sync.Mutex
	peer      feed.Peer
	cancel    context.CancelFunc
	opened    time.Time
	lastFrame time.Time // of the last frame
	ages      map[plat.Key]time.Duration
	agesTime  time.Time // when ages came
	failed    bool
}

// self is this router as others follow it.
func (c *Controller) selfPeer() feed.Peer {
	return feed.Peer{Router: c.settings.Router, Address: c.settings.FeedAddress, Priority: c.settings.Priority}
}

// enter writes this router's entry, and tells whether it is there.
func (c *Controller) register(ctx context.Context) bool {
	value, err := json.Marshal(c.selfPeer())
	if err != nil {
		c.log.Error("router not entered", zap.Error(err))
		return false
	}
	_, err = c.store.Put(ctx, plat.ClassStatus, routerPrefix+plat.Key(c.settings.Router), value, 0)
	if err != nil && !errors.Is(err, plat.ErrConflict) {
		c.log.Info("router not entered", zap.Error(err))
		return false
	}
	return true
}

// routers takes in who is there.
func (c *Controller) applyRouters(_ time.Time, _ []plat.Object, _ []plat.Key, _ bool) {
	oc := c.caches[routerPrefix]
	peers := make([]feed.Peer, 0, len(oc.objects))
	for _, o := range oc.objects {
		raw, err := c.codec.Spec(o)
		var p feed.Peer
		if err == nil {
			err = json.Unmarshal(raw, &p)
		}
		if err != nil || p.Router == "" {
			c.logUnreadable(o, errors.Errorf("entry of a router cannot be read: %v", err))
			continue
		}
		peers = append(peers, p)
	}
	c.membershipLock.Lock()
	c.membership.SetPeers(peers)
	c.membershipLock.Unlock()
	n := int64(max(1, len(peers)))
	if c.routerCount.Swap(n) != n {
		c.log.Info("routers counted", zap.Int64("routers", n))
	}
}

// Routers gives the number of routers that share the endpoints, at most.
func (c *Controller) RouterCount() int { return int(c.routerCount.Load()) }

// join enters this router and looks who else is there, until that is known.
func (c *Controller) join(ctx context.Context) {
	for ctx.Err() == nil && !c.register(ctx) {
		sleep(ctx, jitter(maxRetryPause))
	}
	if c.settings.Bootstrap {
		sleep(ctx, bootstrapJoinDelay)
	}
	w := c.watchers[routerPrefix]
	for ctx.Err() == nil && w.poll(ctx) != nil {
		sleep(ctx, jitter(maxRetryPause))
	}
}

// govern decides who is followed and whether the store is read, until ctx ends.
func (c *Controller) manageParent(ctx context.Context) {
	c.join(ctx)
	began := c.clock()
	var current *parentLink
	for ctx.Err() == nil {
		now := c.clock()
		fresh := current != nil && c.isFresh(now, current)
		c.membershipLock.Lock()
		if current != nil && !fresh && c.shouldDrop(now, current) {
			c.membership.MarkDown(now, current.peer.Router)
			c.log.Warn("feed lost", zap.String("router", string(current.peer.Router)))
			current.cancel()
			current = nil
		}
		if fresh {
			c.membership.MarkUp(current.peer.Router)
		}
		plan := c.membership.Plan(now, feed.PlanInput{ParentFresh: fresh, HasFollowers: c.hub.HasFollowers(), StoreDown: c.status.down.Load()})
		c.membershipLock.Unlock()
		if current != nil && plan.Parent.Router != current.peer.Router {
			current.cancel()
			current = nil
		}
		if current == nil && plan.Parent.Router != "" {
			current = c.openLink(ctx, now, plan.Parent)
		}
		c.loads.setParent(plan.Parent.Router)
		c.status.elected.Store(plan.Elected)
		c.isRoot.Store(plan.Parent.Router == "")
		// A router that knows nothing yet waits for a link just opened.
		waits := !fresh && current != nil && !c.View().Ready && !c.hub.HasFollowers() && !plan.Elected &&
			now.Sub(began) < c.startupWait()
		read := plan.ReadStore && !waits
		if read && !c.readGate.isOpen() {
			c.status.markReadStart(now)
		}
		if c.readGate.set(read) {
			c.log.Info("reading", zap.Bool("store", read), zap.String("follow", string(plan.Parent.Router)), zap.Bool("fresh", fresh))
		}
		if err := c.hub.Heartbeat(); err != nil {
			c.log.Error("followers not told", zap.Error(err))
		}
		c.updateStaleness(now)
		sleep(ctx, heartbeatInterval)
	}
}

// useless tells whether a link that is not fresh is to be given up. While the
// store answers nobody, it is kept: its router will have news first.
func (c *Controller) shouldDrop(now time.Time, l *parentLink) bool {
	if l.broken() {
		return true
	}
	l.lock.Lock()
	quiet := now.Sub(l.opened)
	if l.lastFrame.After(l.opened) {
		quiet = now.Sub(l.lastFrame)
	}
	l.lock.Unlock()
	return quiet > linkFreshTimeout || now.Sub(l.opened) > linkFreshTimeout && c.status.answeredWithin(now, linkFreshTimeout)
}

func (c *Controller) startupWait() time.Duration {
	if c.settings.Bootstrap {
		return bootstrapLinkWait
	}
	return startupLinkWait
}

func (l *parentLink) broken() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.failed
}

// fresh tells whether the link brings all kinds as they are in the store.
func (c *Controller) isFresh(now time.Time, l *parentLink) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.failed || l.lastFrame.IsZero() || now.Sub(l.lastFrame) > heartbeatTimeout {
		return false
	}
	for kind, oc := range c.caches {
		age, told := l.ages[kind]
		if !told || age+now.Sub(l.agesTime) > oc.maxAge() {
			return false
		}
	}
	return true
}

// follow opens a link to a router and takes in what it sends.
func (c *Controller) openLink(ctx context.Context, now time.Time, peer feed.Peer) *parentLink {
	ctx, cancel := context.WithCancel(ctx)
	l := &parentLink{peer: peer, cancel: cancel, opened: now}
	go func() {
		defer cancel()
		if err := c.receiveFrames(ctx, l); err != nil && ctx.Err() == nil {
			c.log.Info("feed broke", zap.String("router", string(peer.Router)), zap.Error(err))
		}
		l.lock.Lock()
		l.failed = true
		l.lock.Unlock()
	}()
	return l
}

func (c *Controller) receiveFrames(ctx context.Context, l *parentLink) error {
	stream, err := feed.Follow(ctx, l.peer, linkOpenTimeout)
	if err != nil {
		return err
	}
	defer stream.Close()
	go c.sendEvidence(ctx, stream)
	go c.reportLoad(ctx, stream)
	for {
		f, err := stream.Receive()
		if err != nil {
			return err
		}
		now := c.clock()
		c.applyParentFrame(now, f)
		l.lock.Lock()
		if l.lastFrame.IsZero() {
			c.log.Info("feed opened", zap.String("router", string(l.peer.Router)))
		}
		l.lastFrame = now
		if f.Ages != nil {
			l.ages, l.agesTime = f.Ages, now
		}
		l.lock.Unlock()
	}
}

// frame takes in a frame from the router that is followed.
func (c *Controller) applyParentFrame(now time.Time, f feed.Frame) {
	for _, n := range f.Updates {
		c.applyUpdate(now, n)
	}
	c.cacheLock.Lock()
	for kind, age := range f.Ages {
		if oc := c.caches[kind]; oc != nil && now.Add(-age).After(oc.confirmed) {
			oc.confirmed = now.Add(-age)
		}
	}
	c.cacheLock.Unlock()
	c.mergeEvidence(f.Evidence)
	c.pinned.receive(now, f.Pinned)
	if f.Load != nil {
		if !c.loads.inCycle(now) {
			c.loads.setTotal(now, decodeLoad(f.Load))
		}
		c.prefixes.receive(now, originParent, f.Load.Prefixes)
	}
}

// testify sends evidence and sessions kept to the router that is followed, until ctx ends.
func (c *Controller) sendEvidence(ctx context.Context, stream *feed.Stream) {
	var mark evidenceMark
	var sessions uint64
	for ctx.Err() == nil {
		sleep(ctx, evidenceInterval)
		now := c.clock()
		f := feed.Frame{
			From: c.settings.Router, Evidence: c.evidenceSince(&mark),
			Pinned: c.pinned.since(now, &sessions),
		}
		if len(f.Evidence)+len(f.Pinned) > 0 && stream.Send(f) != nil {
			return // the receiver sees that the link is broken
		}
	}
}

// news takes in what was read of a kind, and passes it on.
func (c *Controller) applyUpdate(now time.Time, n feed.Update) {
	c.cacheLock.Lock()
	defer c.cacheLock.Unlock()
	oc := c.caches[n.Kind]
	if oc == nil {
		return
	}
	fresh, some := oc.apply(now, n)
	if some {
		if err := c.hub.Publish(feed.Frame{Updates: []feed.Update{fresh}, Ages: c.ages(now)}); err != nil {
			c.log.Error("followers not told", zap.Error(err))
		}
	}
}

// read takes in what this router has read itself.
func (c *Controller) applyStoreUpdate(now time.Time, n feed.Update) {
	c.cacheLock.Lock()
	c.caches[n.Kind].confirmed = now
	c.cacheLock.Unlock()
	c.updateStaleness(now)
	c.applyUpdate(now, n)
}

// ages tells how long ago each kind was heard from the store.
func (c *Controller) ages(now time.Time) map[plat.Key]time.Duration {
	ages := make(map[plat.Key]time.Duration, len(c.caches))
	for kind, oc := range c.caches {
		if !oc.confirmed.IsZero() {
			ages[kind] = now.Sub(oc.confirmed)
		}
	}
	return ages
}

// Snapshot gives all that is known, for a router that begins to follow.
func (c *Controller) Snapshot() feed.Frame {
	c.cacheLock.Lock()
	defer c.cacheLock.Unlock()
	f := feed.Frame{From: c.settings.Router, Ages: c.ages(c.clock())}
	for _, oc := range c.caches {
		if oc.listed {
			f.Updates = append(f.Updates, oc.snapshot())
		}
	}
	var mark evidenceMark
	f.Evidence = c.evidenceSince(&mark)
	var sessions uint64
	f.Pinned = c.pinned.since(c.clock(), &sessions)
	return f
}

// Beat gives the frame for a moment without news.
func (c *Controller) Heartbeat() feed.Frame {
	c.cacheLock.Lock()
	defer c.cacheLock.Unlock()
	now := c.clock()
	return feed.Frame{Ages: c.ages(now), Evidence: c.evidenceSince(&c.evidenceSent), Pinned: c.pinned.since(now, &c.pinnedSent)}
}

// Heard takes in what a follower sends.
func (c *Controller) HandleFrame(f feed.Frame) {
	c.mergeEvidence(f.Evidence)
	now := c.clock()
	c.pinned.receive(now, f.Pinned)
	if f.Load != nil {
		c.loads.setFollowerLoad(now, f.From, f.Load)
		c.prefixes.receive(now, originSubtree, f.Load.Prefixes)
	}
}
