// Package syncer keeps a pass-through router's view of endpoints, configuration
// and roll-outs in sync with the platform's store, and advances the stages of
// roll-outs there.
package syncer

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/feed"
	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/retry"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// initialRouterCount is the number of routers assumed until they are listed.
	initialRouterCount = 64
	// maintenanceInterval is the pause between checks of time-driven changes.
	maintenanceInterval = 250 * time.Millisecond
	// maxStartWait is how long a router that has just started waits for current data
	// before it serves with what it has. It is a part of the time within which a fleet
	// serves again after all of it was lost.
	maxStartWait = 5 * time.Second
)

// Codec decodes and encodes the objects of the platform's store.
type Codec interface {
	// Prefixes returns the key prefixes of the kinds that are watched.
	Prefixes() Prefixes
	// Name returns an object's name within its kind.
	Name(key plat.Key) string
	// Announcement decodes an endpoint's entry.
	Announcement(o plat.Object) (world.Announcement, error)
	// Config decodes the configuration, and reports whether the object holds one. An error
	// beside a configuration names the parts of it that cannot be read.
	Config(o plat.Object) (*paths.Config, bool, error)
	// Rollout decodes a roll-out.
	Rollout(o plat.Object) (world.Rollout, error)
	// Spec returns the part of an object that was set by its writer.
	Spec(o plat.Object) (json.RawMessage, error)
	// EncodeStage returns the key and the value that set a roll-out's stage.
	EncodeStage(r world.Rollout, stage world.Stage) (plat.Key, []byte, error)
}

// Prefixes holds the key prefix of each kind of objects.
type Prefixes struct {
	Endpoints plat.Key
	Configs   plat.Key
	Rollouts  plat.Key
	Zones     plat.Key // one object for each evacuated zone
}

// Settings configure a Controller.
type Settings struct {
	Router       ident.RouterID
	Zone         ident.ZoneID
	FeedAddress  string        // host:port at which other routers follow this one
	FeedDialer   feed.Dialer   // connects to other routers' feeds, nil for TCP
	Handoff      string        // host:port at which other routers hand requests over, "" for none
	Priority     int           // see feed.Peer
	Bootstrap    bool          // whether all routers are starting for the first time
	RemovalGrace time.Duration // see world.Settings
	Endpoints    WatchTiming
	Configs      WatchTiming
	Orders       WatchTiming   // of roll-outs and zones
	TrialShare   ident.Share   // maximum share of a service's requests for a version on trial
	TrialSlack   float64       // requests beyond TrialShare, summed over all routers
	SessionTTL   time.Duration // time after its last response for which a session is in use
}

// Controller owns the router's shared state. It is safe for concurrent use.
type Controller struct {
	settings    Settings
	codec       Codec
	store       Store
	log         *zap.Logger
	clock       func() time.Time
	view        atomic.Pointer[world.View]
	routerCount atomic.Int64
	routers     atomic.Pointer[[]ident.RouterID]
	handoffs    atomic.Pointer[[]route.Peer]
	limits      *route.LimitTable
	hub         *feed.Hub
	isRoot      atomic.Bool // whether this router follows no other
	origin      atomic.Pointer[feed.Origin]
	readGate    *gate // open while this router reads the store
	watchers    map[plat.Key]*watcher
	status      *storeStatus
	loads       *loadAggregator
	speeds      *speedAggregator
	repeats     *repeatAggregator
	prefixes    *prefixExchange
	recent      *recentSessions
	pinned      *pinnedSessions
	pinnedSent  uint64 // position up to which pins were sent to followers

	started       time.Time
	dataConfirmed atomic.Bool // see confirmStart
	// configConfirmed is when the configuration was last confirmed. Requests need it without a
	// lock.
	configConfirmed instant
	membershipLock  sync.Mutex // acquired after cacheLock
	membership      *feed.Membership
	entryLost       atomic.Bool      // the store lost this router's entry
	entryOfBefore   atomic.Bool      // the store may hold an entry of an earlier run of this router
	linkChanged     chan struct{}    // see wakeManager
	answered        answeredFollower // guarded by membershipLock
	entryOld        atomic.Uint64    // version of this router's entry if it tells something else, 0 otherwise

	cacheLock    sync.Mutex // guards the fields below; acquired before lock
	caches       map[plat.Key]*objectCache
	peers        map[ident.RouterID]feed.Peer // all that were ever listed
	evidenceSent evidenceCursor               // position up to which evidence was sent to followers
	crashesSent  crashCursor                  // likewise for crashes
	limitsSent   uint64                       // likewise for limits

	lock       sync.Mutex // guards the fields below
	world      *world.State
	stale      bool
	outages    outageMonitor
	unreadable map[plat.Key]plat.Version // version of each unreadable object that was logged
	tracker    *rolloutTracker
	crashes    *crashRecord
}

// New returns a Controller without data. The function reset closes the
// connections to the store, which may be dead after a failed call.
func New(s Settings, codec Codec, store Store, log *zap.Logger, clock func() time.Time, reset func()) (*Controller, error) {
	recent, err := newRecentSessions()
	if err != nil {
		return nil, err
	}
	w := world.New(world.Settings{Router: s.Router, RemovalGrace: s.RemovalGrace, AwaitConfirmation: true})
	c := &Controller{
		settings: s, codec: codec, store: store, log: log, clock: clock, started: clock(),
		readGate: newGate(), linkChanged: make(chan struct{}, 1), membership: feed.NewMembership(feed.Peer{Router: s.Router, Address: s.FeedAddress, Priority: s.Priority, Zone: s.Zone}),
		recent: recent, loads: newLoadAggregator(), speeds: newSpeedAggregator(), prefixes: newPrefixExchange(), pinned: newPinnedSessions(), world: w, peers: map[ident.RouterID]feed.Peer{}, unreadable: map[plat.Key]plat.Version{}, tracker: newRolloutTracker(s, clock()), crashes: newCrashRecord(), limits: route.NewLimitTable(),
	}
	c.repeats = newRepeatAggregator(retry.Process{Router: s.Router, Started: c.started.UnixMilli()})
	c.routerCount.Store(initialRouterCount)
	c.origin.Store(&feed.Origin{})
	c.hub = feed.NewHub(c)
	c.view.Store(w.View())
	p := codec.Prefixes()
	c.caches = map[plat.Key]*objectCache{
		p.Endpoints:  newObjectCache(p.Endpoints, s.Endpoints, c.applyEndpoints),
		p.Configs:    newObjectCache(p.Configs, s.Configs, c.applyConfigs),
		p.Rollouts:   newObjectCache(p.Rollouts, s.Orders, c.applyRollouts),
		p.Zones:      newObjectCache(p.Zones, s.Orders, c.applyZones),
		routerPrefix: newObjectCache(routerPrefix, WatchTiming{Timeout: routerWatchTimeout, MinInterval: heartbeatInterval}, c.applyRouters),
	}
	c.caches[p.Endpoints].unchanged = c.sameEndpoint
	c.caches[p.Configs].outlives = c.configOutlives
	for kind, oc := range c.caches {
		oc.onMissed = func(objects []plat.Object) { c.logMissed(kind, objects) }
	}
	c.status = &storeStatus{probe: p.Endpoints}
	c.watchers = map[plat.Key]*watcher{}
	for kind, oc := range c.caches {
		c.watchers[kind] = &watcher{
			kind: kind, timing: oc.timing, store: store, log: log, clock: clock, gate: c.readGate, reset: reset, status: c.status,
			position: func() (plat.Version, bool) {
				c.cacheLock.Lock()
				defer c.cacheLock.Unlock()
				return oc.revision, oc.listed
			},
			onUpdate: c.applyStoreUpdate, onFailure: c.recordStoreFailure,
		}
	}
	return c, nil
}

// ConfigAge returns the time since the store last confirmed to this router, or to one over
// which its data comes, that the configuration is current. It is 0 before that.
func (c *Controller) ConfigAge(now time.Time) time.Duration {
	confirmed := c.configConfirmed.get()
	if confirmed.IsZero() {
		return 0
	}
	return now.Sub(confirmed)
}

// View returns the latest view.
func (c *Controller) View() *world.View { return c.view.Load() }

// Hub returns the server for routers that follow this one.
func (c *Controller) Hub() *feed.Hub { return c.hub }

// Run keeps the view in sync with the store, directly or through a parent
// router, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, w := range c.watchers {
		group.Go(func() { w.run(ctx) })
	}
	group.Go(func() { c.manageParent(ctx) })
	group.Go(func() { c.runMaintenance(ctx) })
	group.Go(func() { c.broadcastLoad(ctx) })
	group.Go(func() { c.keepRefusals(ctx) })
	group.Wait()
}

// applyEvent applies an event to the world and publishes the new view.
func (c *Controller) applyEvent(now time.Time, e world.Event) {
	c.lock.Lock()
	changes := c.world.Step(now, e)
	c.view.Store(c.world.View())
	c.lock.Unlock()
	c.logChanges(changes)
}

// confirmStart lets a router that has just started serve once its data is current. A
// parent may be cut off from the store and send a configuration, keys or endpoints that
// were withdrawn since; while the store answers nobody, such data serves after
// maxStartWait.
func (c *Controller) confirmStart(now time.Time) {
	if c.dataConfirmed.Load() {
		return
	}
	if !c.hasFreshData(now) && now.Sub(c.started) < maxStartWait {
		return
	}
	if !c.dataConfirmed.Swap(true) {
		c.applyEvent(now, world.DataConfirmed{})
	}
}

func (c *Controller) logChanges(changes []world.Change) {
	for _, change := range changes {
		c.log.Info(change.Message, zap.String("name", change.Name), zap.String("detail", change.Detail))
	}
}

func (c *Controller) applyEndpoints(now time.Time, x cacheChange) {
	e := world.EndpointsChanged{Full: x.full, Rewound: x.rewound}
	removed := x.removed
	for _, o := range x.present {
		a, err := c.codec.Announcement(o)
		if err != nil {
			c.logUnreadable(o, err)
			removed = append(removed, o.Key)
			continue
		}
		e.Present = append(e.Present, a)
	}
	for _, key := range removed {
		e.Removed = append(e.Removed, ident.EndpointID(c.codec.Name(key)))
	}
	c.applyEvent(now, e)
}

// ObserveLeaving records that an endpoint said in an answer that it is leaving.
func (c *Controller) ObserveLeaving(now time.Time, e *world.Endpoint) {
	c.applyEvent(now, world.EndpointLeaving{Endpoint: e.ID, StartedMillis: e.StartedMillis})
}

func (c *Controller) applyConfigs(now time.Time, x cacheChange) {
	for _, o := range x.present {
		config, ok, err := c.codec.Config(o)
		switch {
		case err != nil && ok:
			c.logParts(o, err)
		case err != nil:
			c.logUnreadable(o, err)
		}
		if ok {
			c.applyEvent(now, world.ConfigChanged{Config: config, Revision: o.Version, Rewound: x.rewound})
		}
	}
}

func (c *Controller) applyRollouts(now time.Time, x cacheChange) {
	e := world.RolloutsChanged{Full: x.full, Rewound: x.rewound}
	for _, o := range x.present {
		r, err := c.codec.Rollout(o)
		if err != nil {
			c.logUnreadable(o, err)
			continue
		}
		e.Present = append(e.Present, r)
	}
	for _, key := range x.removed {
		e.Removed = append(e.Removed, ident.ServiceID(c.codec.Name(key)))
	}
	c.applyEvent(now, e)
}

func (c *Controller) applyZones(now time.Time, x cacheChange) {
	e := world.ZonesChanged{Full: x.full, Rewound: x.rewound}
	for _, o := range x.present {
		e.Out = append(e.Out, ident.ZoneID(c.codec.Name(o.Key)))
	}
	for _, key := range x.removed {
		e.Restored = append(e.Restored, ident.ZoneID(c.codec.Name(key)))
	}
	c.applyEvent(now, e)
}

// logUnreadable logs an object that cannot be decoded, once per object version.
func (c *Controller) logUnreadable(o plat.Object, err error) {
	if c.firstUnreadable(o) {
		c.log.Warn("object passed over", zap.String("name", string(o.Key)), zap.Stringer("revision", o.Version), zap.Error(err))
	}
}

// logParts logs the parts of an object that cannot be decoded, once per object version.
func (c *Controller) logParts(o plat.Object, err error) {
	if c.firstUnreadable(o) {
		c.log.Warn("parts passed over", zap.String("name", string(o.Key)), zap.Stringer("revision", o.Version), zap.Error(err))
	}
}

// firstUnreadable reports whether no line has been logged on an object of this version, and
// records that one is.
func (c *Controller) firstUnreadable(o plat.Object) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	logged := c.unreadable[o.Key] == o.Version
	if len(c.unreadable) >= maxUnreadable {
		clear(c.unreadable)
	}
	c.unreadable[o.Key] = o.Version
	return !logged
}

// logMissed logs that the store, or another router, did not tell of objects.
func (c *Controller) logMissed(kind plat.Key, objects []plat.Object) {
	first := objects[0]
	c.log.Warn("changes missed", zap.String("kind", string(kind)), zap.Int("objects", len(objects)),
		zap.String("name", string(first.Key)), zap.Stringer("revision", first.Version))
}

// maxUnreadable bounds the unreadable objects that are tracked.
const maxUnreadable = 1000

// sameEndpoint reports whether two entries of an endpoint differ in nothing that
// affects routing, as is the case for heartbeats.
func (c *Controller) sameEndpoint(before, after plat.Object) bool {
	a, err := c.codec.Announcement(before)
	if err != nil {
		return false
	}
	b, err := c.codec.Announcement(after)
	return err == nil && a == b && b.ColdFor == 0
}

// configOutlives reports whether a configuration stays in force although another one was stored
// later in the same era: one of a lower generation was executed late.
func (c *Controller) configOutlives(o, later plat.Object) bool {
	if o.Version.Era() != later.Version.Era() || o.Version >= later.Version {
		return false
	}
	a, ok, _ := c.codec.Config(o) // what cannot be read is logged when it is applied
	b, laterOK, _ := c.codec.Config(later)
	return ok && laterOK && a.Generation > b.Generation
}

// updateStaleness records whether the endpoints' entries are current.
func (c *Controller) updateStaleness(now time.Time) {
	c.cacheLock.Lock()
	defer c.cacheLock.Unlock()
	c.updateStalenessLocked(now)
}

// updateStalenessLocked is updateStaleness for callers that hold c.cacheLock.
func (c *Controller) updateStalenessLocked(now time.Time) {
	c.configConfirmed.set(c.caches[c.codec.Prefixes().Configs].confirmed.at)
	confirmed := c.caches[c.codec.Prefixes().Endpoints].confirmed.at
	if confirmed.IsZero() {
		return
	}
	c.lock.Lock()
	stale := now.Sub(confirmed) >= staleAfter
	changed := stale != c.stale
	c.stale = stale
	events := append(c.outages.Answer(confirmed), c.outages.Check(now)...)
	c.lock.Unlock()
	switch {
	case !changed:
	case stale:
		c.log.Warn("entries not current", zap.Duration("age", now.Sub(confirmed)))
	default:
		c.log.Info("entries current again")
	}
	c.applyStoreEvents(now, events)
}

// recordStoreFailure records that a call to the store failed.
func (c *Controller) recordStoreFailure(now time.Time) {
	c.lock.Lock()
	c.outages.Fail(now)
	c.lock.Unlock()
}

// hearStoreReport applies what a feed tells of the store, before what changed there.
func (c *Controller) hearStoreReport(now time.Time, r *feed.StoreReport) {
	c.cacheLock.Lock()
	defer c.cacheLock.Unlock()
	c.lock.Lock()
	events := c.outages.Hear(now, r)
	c.lock.Unlock()
	c.applyStoreEvents(now, events)
}

// applyStoreEvents applies events of the outageMonitor. The caller must hold c.cacheLock.
func (c *Controller) applyStoreEvents(now time.Time, events []world.Event) {
	for _, e := range events {
		switch x := e.(type) {
		case world.StoreDown:
			c.log.Warn("store away")
		case world.StoreUp:
			c.log.Info("store back", zap.Duration("for", now.Sub(x.At)))
		case world.OutageDismissed:
			c.log.Info("store was not away")
		}
		c.applyEvent(now, e)
	}
}

// runMaintenance expires entries, pins sessions and advances roll-outs
// periodically, until ctx ends.
func (c *Controller) runMaintenance(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, maintenanceInterval)
		now := c.clock()
		c.lock.Lock()
		changes := c.world.Expire(now)
		c.view.Store(c.world.View())
		c.lock.Unlock()
		c.logChanges(changes)
		c.confirmCrashes(now)
		c.pinActiveSessions(now)
		c.advanceRollouts(ctx, now)
	}
}
