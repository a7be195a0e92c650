// Package steer keeps a pass-through router's view of the world in step with
// the platform's store, and carries roll-outs forward in it.
package steer

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
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// awayAfter is how long the store gives no answer before entries that are
	// missing on its return count as lapsed. Entries outlive shorter gaps.
	staleAfter = 1800 * time.Millisecond
	// routersUnknown is taken for the number of routers before they are counted.
	initialRouterCount = 64
	// tick is the pause between looks at what only time changes.
	maintenanceInterval = 250 * time.Millisecond
)

// Kinds translates the objects of the platform's store.
type Codec interface {
	// Prefixes names the kinds that are followed.
	Prefixes() Prefixes
	// Name gives an object's name within its kind.
	Name(key plat.Key) string
	// Announcement reads an endpoint's entry.
	Announcement(o plat.Object) (world.Announcement, error)
	// Config reads the configuration, and tells whether the object is one.
	Config(o plat.Object) (*paths.Config, bool, error)
	// Rollout reads a roll-out.
	Rollout(o plat.Object) (world.Rollout, error)
	// Spec reads the part of an object that its writer has set.
	Spec(o plat.Object) (json.RawMessage, error)
	// Progress spells the write of a roll-out's stage.
	EncodeStage(r world.Rollout, stage world.Stage) (plat.Key, []byte, error)
}

// Prefixes names kinds of objects.
type Prefixes struct {
	Endpoints plat.Key
	Configs   plat.Key
	Rollouts  plat.Key
	Zones     plat.Key // an object for each zone that is taken out
}

// Settings are what a Steer keeps to.
type Settings struct {
	Router       ident.RouterID
	FeedAddress  string        // host:port at which other routers follow this one
	Priority     int           // how well it can serve others, see feed.Peer
	Bootstrap    bool          // all routers start together for the first time
	RemovalGrace time.Duration // see world.Settings
	Endpoints    WatchTiming
	Configs      WatchTiming
	Orders       WatchTiming   // of roll-outs and zones
	TrialShare   ident.Share   // of a service's requests that a version on trial may get
	TrialSlack   int           // requests beyond Exposure that it may get, from all routers
	SessionTTL   time.Duration // after its last answer, for which a session is in use
}

// Steer owns the router's shared state. It is safe for use by many goroutines.
type Controller struct {
	settings    Settings
	codec       Codec
	store       Store
	log         *zap.Logger
	clock       func() time.Time
	view        atomic.Pointer[world.View]
	routerCount atomic.Int64 // of routers
	hub         *feed.Hub
	isRoot      atomic.Bool // this router follows no other
	readGate    *gate       // open while this router reads the store
	watchers    map[plat.Key]*watcher
	status      *storeStatus
	loads       *loadAggregator
	prefixes    *prefixExchange
	recent      *recentSessions
	pinned      *pinnedSessions
	pinnedSent  uint64 // up to which followers were told of sessions kept

	membershipLock sync.Mutex
	membership     *feed.Membership

	cacheLock    sync.Mutex // guards the mirrors; taken before lock
	caches       map[plat.Key]*objectCache
	evidenceSent evidenceMark // up to which followers were told of evidence

	lock       sync.Mutex // guards what follows
	world      *world.World
	stale      bool
	unreadable map[plat.Key]plat.Version // entries that could not be read, as logged
	tracker    *rolloutTracker
}

// New makes a Steer that knows nothing yet. Reset drops the store's
// connections, which may be dead after a failed call.
func New(s Settings, kinds Codec, store Store, log *zap.Logger, clock func() time.Time, reset func()) (*Controller, error) {
	pins, err := newRecentSessions()
	if err != nil {
		return nil, err
	}
	w := world.New(world.Settings{Router: s.Router, Lapse: s.RemovalGrace})
	c := &Controller{
		settings: s, codec: kinds, store: store, log: log, clock: clock,
		readGate: newGate(), membership: feed.NewMembership(feed.Peer{Router: s.Router, Address: s.FeedAddress, Priority: s.Priority}),
		recent: pins, loads: newLoadAggregator(), prefixes: newPrefixExchange(), pinned: newPinnedSessions(), world: w, unreadable: map[plat.Key]plat.Version{}, tracker: newRolloutTracker(s, clock()),
	}
	c.routerCount.Store(initialRouterCount)
	c.hub = feed.NewHub(c)
	c.view.Store(w.View())
	p := kinds.Prefixes()
	c.caches = map[plat.Key]*objectCache{
		p.Endpoints:  newObjectCache(p.Endpoints, s.Endpoints, c.applyEndpoints),
		p.Configs:    newObjectCache(p.Configs, s.Configs, c.applyConfigs),
		p.Rollouts:   newObjectCache(p.Rollouts, s.Orders, c.applyRollouts),
		p.Zones:      newObjectCache(p.Zones, s.Orders, c.applyZones),
		routerPrefix: newObjectCache(routerPrefix, WatchTiming{Timeout: routerWatchTimeout, MinInterval: heartbeatInterval}, c.applyRouters),
	}
	c.caches[p.Endpoints].unchanged = c.sameEndpoint
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
			onUpdate: c.applyStoreUpdate,
			invalidate: func() {
				c.cacheLock.Lock()
				defer c.cacheLock.Unlock()
				oc.listed = false
			},
		}
	}
	return c, nil
}

// View gives the newest view.
func (c *Controller) View() *world.View { return c.view.Load() }

// Hub serves the routers that follow this one.
func (c *Controller) Hub() *feed.Hub { return c.hub }

// Run follows the store, or a router that does, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, w := range c.watchers {
		group.Go(func() { w.run(ctx) })
	}
	group.Go(func() { c.manageParent(ctx) })
	group.Go(func() { c.runMaintenance(ctx) })
	group.Go(func() { c.broadcastLoad(ctx) })
	group.Wait()
}

// step takes an event into the world, and publishes the view.
func (c *Controller) applyEvent(now time.Time, e world.Event) {
	c.lock.Lock()
	notes := c.world.Step(now, e)
	c.view.Store(c.world.View())
	c.lock.Unlock()
	c.logNotes(notes)
}

func (c *Controller) logNotes(notes []world.Note) {
	for _, n := range notes {
		c.log.Info(n.What, zap.String("name", n.Name), zap.String("detail", n.Detail))
	}
}

func (c *Controller) applyEndpoints(now time.Time, present []plat.Object, gone []plat.Key, whole bool) {
	e := world.Endpoints{Whole: whole}
	for _, o := range present {
		a, err := c.codec.Announcement(o)
		if err != nil {
			c.logUnreadable(o, err)
			gone = append(gone, o.Key)
			continue
		}
		e.Present = append(e.Present, a)
	}
	for _, key := range gone {
		e.Gone = append(e.Gone, ident.EndpointID(c.codec.Name(key)))
	}
	c.applyEvent(now, e)
}

func (c *Controller) applyConfigs(now time.Time, present []plat.Object, _ []plat.Key, _ bool) {
	for _, o := range present {
		config, ok, err := c.codec.Config(o)
		switch {
		case err != nil:
			c.logUnreadable(o, err)
		case ok:
			c.applyEvent(now, world.Configured{Config: config})
		}
	}
}

func (c *Controller) applyRollouts(now time.Time, present []plat.Object, gone []plat.Key, whole bool) {
	e := world.Ordered{Whole: whole}
	for _, o := range present {
		r, err := c.codec.Rollout(o)
		if err != nil {
			c.logUnreadable(o, err)
			continue
		}
		e.Present = append(e.Present, r)
	}
	for _, key := range gone {
		e.Gone = append(e.Gone, ident.ServiceID(c.codec.Name(key)))
	}
	c.applyEvent(now, e)
}

func (c *Controller) applyZones(now time.Time, present []plat.Object, gone []plat.Key, whole bool) {
	e := world.ZonesOut{Whole: whole}
	for _, o := range present {
		e.Out = append(e.Out, ident.ZoneID(c.codec.Name(o.Key)))
	}
	for _, key := range gone {
		e.Back = append(e.Back, ident.ZoneID(c.codec.Name(key)))
	}
	c.applyEvent(now, e)
}

// unreadable logs an object that cannot be read, once for each of its versions.
func (c *Controller) logUnreadable(o plat.Object, err error) {
	c.lock.Lock()
	logged := c.unreadable[o.Key] == o.Version
	if len(c.unreadable) >= maxUnreadable {
		clear(c.unreadable)
	}
	c.unreadable[o.Key] = o.Version
	c.lock.Unlock()
	if !logged {
		c.log.Warn("object passed over", zap.String("name", string(o.Key)), zap.Uint64("revision", uint64(o.Version)), zap.Error(err))
	}
}

// maxOdd bounds the unreadable objects that are remembered.
const maxUnreadable = 1000

// sameEndpoint tells whether an endpoint's entry changed in nothing that
// matters, as its heartbeats do.
func (c *Controller) sameEndpoint(before, after plat.Object) bool {
	a, err := c.codec.Announcement(before)
	if err != nil {
		return false
	}
	b, err := c.codec.Announcement(after)
	return err == nil && a == b && b.Cold == 0
}

// age notes whether the endpoints' entries are current.
func (c *Controller) updateStaleness(now time.Time) {
	c.cacheLock.Lock()
	heard := c.caches[c.codec.Prefixes().Endpoints].confirmed
	c.cacheLock.Unlock()
	if heard.IsZero() {
		return
	}
	c.lock.Lock()
	away := now.Sub(heard) >= staleAfter
	changed := away != c.stale
	c.stale = away
	c.lock.Unlock()
	switch {
	case !changed:
	case away:
		c.log.Warn("entries not current", zap.Duration("age", now.Sub(heard)))
		c.applyEvent(now, world.Away{})
	default:
		c.log.Info("entries current again")
		c.applyEvent(now, world.Back{})
	}
}

// tend looks at what only time changes.
func (c *Controller) runMaintenance(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, maintenanceInterval)
		now := c.clock()
		c.lock.Lock()
		notes := c.world.Expire(now)
		c.view.Store(c.world.View())
		c.lock.Unlock()
		c.logNotes(notes)
		c.pinActiveSessions(now)
		c.advanceRollouts(ctx, now)
	}
}
