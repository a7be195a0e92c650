package syncer

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/feed"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// routerPrefix is the key prefix under which routers register. An entry is
	// written at a router's start and never removed, so that limits divided
	// by the number of routers are never exceeded.
	routerPrefix plat.Key = "routers/"
	// routerWatchTimeout is the long-poll timeout of the watch on routers.
	routerWatchTimeout = 5 * time.Second
	// bootstrapJoinDelay is the delay before a router lists the others when all
	// of them start for the first time.
	bootstrapJoinDelay = 1200 * time.Millisecond
	// heartbeatInterval is the pause between heartbeats to followers and between
	// evaluations of which router to follow.
	heartbeatInterval = 250 * time.Millisecond
	// heartbeatTimeout is the age of the last frame from which a link is stale.
	// It leaves a follower time to read a change from the store itself within
	// the bound for that change.
	heartbeatTimeout = 800 * time.Millisecond
	// linkSilentTimeout is the time without a frame, four heartbeats, after which another
	// router is followed. It leaves time to do so while this router's data is fresh.
	linkSilentTimeout = time.Second
	// linkOpenTimeout and linkFreshTimeout bound the time until a link is open
	// and until its data is fresh. Many links may be opened at once to a router
	// with little bandwidth.
	linkOpenTimeout  = 2 * time.Second
	linkFreshTimeout = 3 * time.Second
	// startupLinkWait is how long a starting router waits for data from its
	// parent before it reads the store. bootstrapLinkWait replaces it when all
	// routers start for the first time.
	startupLinkWait   = time.Second
	bootstrapLinkWait = 4 * time.Second
	// startupAsks is the number of routers that a starting reader asks for what they know.
	startupAsks = 4
	// evidenceInterval is the pause between evidence frames to the parent.
	evidenceInterval = 300 * time.Millisecond
)

// selfPeer returns the entry under which other routers can follow this one.
func (c *Controller) selfPeer() feed.Peer {
	return feed.Peer{
		Router: c.settings.Router, Address: c.settings.FeedAddress, Priority: c.settings.Priority,
		Zone: c.settings.Zone, Handoff: c.settings.Handoff,
	}
}

// register writes this router's entry to the store and reports whether the
// entry exists.
func (c *Controller) register(ctx context.Context) bool {
	value, err := json.Marshal(c.selfPeer())
	if err != nil {
		c.log.Error("router not entered", zap.Error(err))
		return false
	}
	expect := plat.Version(c.entryOld.Swap(0))
	_, err = c.store.Put(ctx, plat.ClassStatus, routerPrefix+plat.Key(c.settings.Router), value, expect)
	if errors.Is(err, plat.ErrConflict) {
		c.entryOfBefore.Store(expect == 0)
	}
	if err != nil && !errors.Is(err, plat.ErrConflict) {
		c.entryOld.CompareAndSwap(0, uint64(expect))
		c.log.Info("router not entered", zap.Error(err))
		return false
	}
	return true
}

// applyRouters updates the membership from changed router entries. Entries that the
// store lost when it was rewound are kept, and that of this router is written again.
func (c *Controller) applyRouters(_ time.Time, x cacheChange) {
	listed := false
	var announced []ident.RouterID
	for _, o := range x.present {
		raw, err := c.codec.Spec(o)
		var p feed.Peer
		if err == nil {
			err = json.Unmarshal(raw, &p)
		}
		if err != nil || p.Router == "" {
			c.logUnreadable(o, errors.Errorf("invalid router entry: %v", err))
			continue
		}
		c.peers[p.Router] = p
		if !x.full {
			announced = append(announced, p.Router)
		}
		if p.Router == c.settings.Router && (c.entryOfBefore.Swap(false) || p != c.selfPeer()) {
			// Of an earlier run, perhaps at another address. Written again, it tells the
			// others that this router is back.
			c.entryOld.Store(uint64(o.Version))
			c.entryLost.Store(true)
		}
		listed = listed || p.Router == c.settings.Router
	}
	if x.rewound && !listed {
		c.entryOld.Store(0)
		c.entryLost.Store(true)
	}
	peers := slices.Collect(maps.Values(c.peers))
	c.membershipLock.Lock()
	c.membership.SetPeers(peers)
	for _, id := range announced {
		c.membership.MarkUp(id)
	}
	c.membershipLock.Unlock()
	c.setHandoffs(peers)
	routers := slices.Sorted(maps.Keys(c.peers))
	c.routers.Store(&routers)
	n := int64(max(1, len(peers)))
	if c.routerCount.Swap(n) != n {
		c.log.Info("routers counted", zap.Int64("routers", n))
	}
}

// setHandoffs replaces the routers that requests may be handed over to.
func (c *Controller) setHandoffs(peers []feed.Peer) {
	var list []route.Peer
	for _, p := range peers {
		if p.Handoff != "" && p.Router != c.settings.Router {
			list = append(list, route.Peer{Router: p.Router, Zone: p.Zone, Address: p.Handoff})
		}
	}
	c.handoffs.Store(&list)
}

// Peers returns the other routers that requests may be handed over to.
func (c *Controller) Peers() []route.Peer {
	if list := c.handoffs.Load(); list != nil {
		return *list
	}
	return nil
}

// RouterCount returns an upper bound on the number of routers that share the
// endpoints.
func (c *Controller) RouterCount() int { return int(c.routerCount.Load()) }

// enter registers this router, retrying until that succeeds.
func (c *Controller) enter(ctx context.Context) {
	for ctx.Err() == nil && !c.register(ctx) {
		sleep(ctx, jitter(maxRetryPause))
	}
}

// join registers this router and lists the others, retrying until both succeed.
func (c *Controller) join(ctx context.Context) {
	c.enter(ctx)
	if c.settings.Bootstrap {
		sleep(ctx, bootstrapJoinDelay)
	}
	w := c.watchers[routerPrefix]
	for ctx.Err() == nil && w.poll(ctx) != nil {
		sleep(ctx, jitter(maxRetryPause))
	}
}

// manageParent decides which router to follow and whether to read the store,
// until ctx ends.
func (c *Controller) manageParent(ctx context.Context) {
	c.join(ctx)
	c.askOthers(ctx)
	start := c.clock()
	links := parentLinks{trials: map[ident.RouterID]*parentLink{}}
	for ctx.Err() == nil {
		if c.entryLost.Swap(false) {
			go c.enter(ctx)
		}
		now := c.clock()
		dataFresh := c.hasFreshData(now)
		c.membershipLock.Lock()
		c.judgeLinks(now, &links)
		plan := c.membership.Plan(feed.PlanInput{DataFresh: dataFresh, HasFollowers: c.hub.HasFollowers(), StoreDown: c.status.down.Load()})
		c.chooseLink(ctx, now, &links, plan)
		c.membershipLock.Unlock()
		fresh := links.current != nil && c.isFresh(now, links.current)
		c.loads.setParent(links.parent())
		c.status.elected.Store(plan.Elected)
		c.status.followed.Store(c.hub.HasFollowers())
		c.isRoot.Store(plan.Parent.Router == "")
		c.repeats.setRoot(now, plan.Parent.Router == "")
		// A router without data waits for a link that has just been opened.
		waitForLink := !fresh && (links.current != nil || len(links.trials) > 0) && !c.View().Ready && !c.hub.HasFollowers() && !plan.Elected &&
			now.Sub(start) < c.startupWait()
		read := plan.ReadStore && !waitForLink
		if read && !c.readGate.isOpen() {
			c.status.markReadStart()
		}
		if c.readGate.set(read) {
			c.log.Info("reading", zap.Bool("store", read), zap.String("follow", string(links.parent())), zap.Bool("fresh", fresh))
		}
		c.origin.Store(c.ownOrigin(now, links.current))
		if err := c.hub.Heartbeat(); err != nil {
			c.log.Error("followers not told", zap.Error(err))
		}
		c.updateStaleness(now)
		c.confirmStart(now)
		c.sleepManager(ctx, now)
	}
}

// wakeManager lets manageParent look at its links at once.
func (c *Controller) wakeManager() {
	select {
	case c.linkChanged <- struct{}{}:
	default: // it is about to
	}
}

// sleepManager waits for heartbeatInterval, or until a link has changed or this router's data
// is no longer fresh, so that it is read in time.
func (c *Controller) sleepManager(ctx context.Context, now time.Time) {
	pause := heartbeatInterval
	if left := c.freshTime(now); left > 0 {
		pause = min(pause, left)
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.linkChanged:
	}
}
