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
	awayAfter = 1800 * time.Millisecond
	// routersUnknown is taken for the number of routers before they are counted.
	routersUnknown = 64
	// tick is the pause between looks at what only time changes.
	tick = 250 * time.Millisecond
)

// Kinds translates the objects of the platform's store.
type Kinds interface {
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
	Progress(r world.Rollout, stage world.Stage) (plat.Key, []byte, error)
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
	Router    ident.RouterID
	Feed      string        // host:port at which other routers follow this one
	Power     int           // how well it can serve others, see feed.Peer
	First     bool          // all routers start together for the first time
	Lapse     time.Duration // see world.Settings
	Endpoints Pace
	Configs   Pace
	Orders    Pace          // of roll-outs and zones
	Exposure  ident.Share   // of a service's requests that a version on trial may get
	Slack     int           // requests beyond Exposure that it may get, from all routers
	Session   time.Duration // after its last answer, for which a session is in use
}

// Steer owns the router's shared state. It is safe for use by many goroutines.
type Steer struct {
	settings Settings
	kinds    Kinds
	store    Store
	log      *zap.Logger
	clock    func() time.Time
	view     atomic.Pointer[world.View]
	count    atomic.Int64 // of routers
	hub      *feed.Hub
	first    atomic.Bool // this router follows no other
	gate     *gate       // open while this router reads the store
	watchers map[plat.Key]*watcher
	outage   *outage
	loads    *loads
	reads    *reads
	pins     *pins
	kept     *kept
	toldKept uint64 // up to which followers were told of sessions kept

	rosterLock sync.Mutex
	roster     *feed.Roster

	mirrorLock sync.Mutex // guards the mirrors; taken before lock
	mirrors    map[plat.Key]*mirror
	told       evidenceMark // up to which followers were told of evidence

	lock   sync.Mutex // guards what follows
	world  *world.State
	away   bool
	odd    map[plat.Key]plat.Version // entries that could not be read, as logged
	trials *trials
}

// New makes a Steer that knows nothing yet. Reset drops the store's
// connections, which may be dead after a failed call.
func New(s Settings, kinds Kinds, store Store, log *zap.Logger, clock func() time.Time, reset func()) (*Steer, error) {
	pins, err := newPins()
	if err != nil {
		return nil, err
	}
	w := world.New(world.Settings{Router: s.Router, RemovalGrace: s.Lapse})
	t := &Steer{
		settings: s, kinds: kinds, store: store, log: log, clock: clock,
		gate: newGate(), roster: feed.NewRoster(feed.Peer{Router: s.Router, Address: s.Feed, Power: s.Power}),
		pins: pins, loads: newLoads(), reads: newReads(), kept: newKept(), world: w, odd: map[plat.Key]plat.Version{}, trials: newTrials(s, clock()),
	}
	t.count.Store(routersUnknown)
	t.hub = feed.NewHub(t)
	t.view.Store(w.View())
	p := kinds.Prefixes()
	t.mirrors = map[plat.Key]*mirror{
		p.Endpoints:  newMirror(p.Endpoints, s.Endpoints, t.endpoints),
		p.Configs:    newMirror(p.Configs, s.Configs, t.configs),
		p.Rollouts:   newMirror(p.Rollouts, s.Orders, t.rollouts),
		p.Zones:      newMirror(p.Zones, s.Orders, t.zones),
		memberPrefix: newMirror(memberPrefix, Pace{Wait: memberWait, Pause: beat}, t.routers),
	}
	t.mirrors[p.Endpoints].same = t.sameEndpoint
	t.outage = &outage{probe: p.Endpoints}
	t.watchers = map[plat.Key]*watcher{}
	for kind, m := range t.mirrors {
		t.watchers[kind] = &watcher{
			kind: kind, pace: m.pace, store: store, log: log, clock: clock, gate: t.gate, reset: reset, outage: t.outage,
			state: func() (plat.Version, bool) {
				t.mirrorLock.Lock()
				defer t.mirrorLock.Unlock()
				return m.upto, m.listed
			},
			take: t.read,
			lapse: func() {
				t.mirrorLock.Lock()
				defer t.mirrorLock.Unlock()
				m.listed = false
			},
		}
	}
	return t, nil
}

// View gives the newest view.
func (t *Steer) View() *world.View { return t.view.Load() }

// Hub serves the routers that follow this one.
func (t *Steer) Hub() *feed.Hub { return t.hub }

// Run follows the store, or a router that does, until ctx ends.
func (t *Steer) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, w := range t.watchers {
		group.Go(func() { w.run(ctx) })
	}
	group.Go(func() { t.govern(ctx) })
	group.Go(func() { t.tend(ctx) })
	group.Go(func() { t.spreadLoad(ctx) })
	group.Wait()
}

// step takes an event into the world, and publishes the view.
func (t *Steer) step(now time.Time, e world.Event) {
	t.lock.Lock()
	notes := t.world.Step(now, e)
	t.view.Store(t.world.View())
	t.lock.Unlock()
	t.tell(notes)
}

func (t *Steer) tell(notes []world.Change) {
	for _, n := range notes {
		t.log.Info(n.Message, zap.String("name", n.Name), zap.String("detail", n.Detail))
	}
}

func (t *Steer) endpoints(now time.Time, present []plat.Object, gone []plat.Key, whole bool) {
	e := world.EndpointsChanged{Full: whole}
	for _, o := range present {
		a, err := t.kinds.Announcement(o)
		if err != nil {
			t.unreadable(o, err)
			gone = append(gone, o.Key)
			continue
		}
		e.Present = append(e.Present, a)
	}
	for _, key := range gone {
		e.Removed = append(e.Removed, ident.EndpointID(t.kinds.Name(key)))
	}
	t.step(now, e)
}

func (t *Steer) configs(now time.Time, present []plat.Object, _ []plat.Key, _ bool) {
	for _, o := range present {
		c, ok, err := t.kinds.Config(o)
		switch {
		case err != nil:
			t.unreadable(o, err)
		case ok:
			t.step(now, world.ConfigChanged{Config: c})
		}
	}
}

func (t *Steer) rollouts(now time.Time, present []plat.Object, gone []plat.Key, whole bool) {
	e := world.RolloutsChanged{Full: whole}
	for _, o := range present {
		r, err := t.kinds.Rollout(o)
		if err != nil {
			t.unreadable(o, err)
			continue
		}
		e.Present = append(e.Present, r)
	}
	for _, key := range gone {
		e.Removed = append(e.Removed, ident.ServiceID(t.kinds.Name(key)))
	}
	t.step(now, e)
}

func (t *Steer) zones(now time.Time, present []plat.Object, gone []plat.Key, whole bool) {
	e := world.ZonesChanged{Full: whole}
	for _, o := range present {
		e.Out = append(e.Out, ident.ZoneID(t.kinds.Name(o.Key)))
	}
	for _, key := range gone {
		e.Restored = append(e.Restored, ident.ZoneID(t.kinds.Name(key)))
	}
	t.step(now, e)
}

// unreadable logs an object that cannot be read, once for each of its versions.
func (t *Steer) unreadable(o plat.Object, err error) {
	t.lock.Lock()
	logged := t.odd[o.Key] == o.Version
	if len(t.odd) >= maxOdd {
		clear(t.odd)
	}
	t.odd[o.Key] = o.Version
	t.lock.Unlock()
	if !logged {
		t.log.Warn("object passed over", zap.String("name", string(o.Key)), zap.Uint64("revision", uint64(o.Version)), zap.Error(err))
	}
}

// maxOdd bounds the unreadable objects that are remembered.
const maxOdd = 1000

// sameEndpoint tells whether an endpoint's entry changed in nothing that
// matters, as its heartbeats do.
func (t *Steer) sameEndpoint(before, after plat.Object) bool {
	a, err := t.kinds.Announcement(before)
	if err != nil {
		return false
	}
	b, err := t.kinds.Announcement(after)
	return err == nil && a == b && b.ColdFor == 0
}

// age notes whether the endpoints' entries are current.
func (t *Steer) age(now time.Time) {
	t.mirrorLock.Lock()
	heard := t.mirrors[t.kinds.Prefixes().Endpoints].heard
	t.mirrorLock.Unlock()
	if heard.IsZero() {
		return
	}
	t.lock.Lock()
	away := now.Sub(heard) >= awayAfter
	changed := away != t.away
	t.away = away
	t.lock.Unlock()
	switch {
	case !changed:
	case away:
		t.log.Warn("entries not current", zap.Duration("age", now.Sub(heard)))
		t.step(now, world.StoreDown{})
	default:
		t.log.Info("entries current again")
		t.step(now, world.StoreUp{})
	}
}

// tend looks at what only time changes.
func (t *Steer) tend(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, tick)
		now := t.clock()
		t.lock.Lock()
		notes := t.world.Expire(now)
		t.view.Store(t.world.View())
		t.lock.Unlock()
		t.tell(notes)
		t.holdAll(now)
		t.carry(ctx, now)
	}
}
