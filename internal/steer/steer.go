// Package steer keeps a pass-through router's view of the world in step with
// the platform's store, and carries roll-outs forward in it.
package steer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// awayAfter is how long the store gives no answer before entries that are
	// missing on its return count as lapsed. Entries outlive shorter gaps.
	awayAfter = 1500 * time.Millisecond
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
	// StatusKey gives the key under which an object's status is written.
	StatusKey(key plat.Key) plat.Key
	// Status reads the part of an object that routers write, empty if none has.
	Status(o plat.Object) ([]byte, error)
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
	Lapse     time.Duration // see world.Settings
	Endpoints Pace
	Configs   Pace
	Orders    Pace        // of roll-outs and zones
	Exposure  ident.Share // of a service's requests that a version on trial may get
}

// Steer owns the router's shared state. It is safe for use by many goroutines.
type Steer struct {
	settings Settings
	kinds    Kinds
	store    Store
	log      *zap.Logger
	clock    func() time.Time
	reset    func()
	view     atomic.Pointer[world.View]
	lock     sync.Mutex // guards what follows
	world    *world.World
	away     bool
	answered time.Time
	odd      map[plat.Key]plat.Version // entries that could not be read, as logged
	trials   *trials
	members  *members
}

// New makes a Steer that knows nothing yet. Reset drops the store's
// connections, which may be dead after a failed call.
func New(s Settings, kinds Kinds, store Store, log *zap.Logger, clock func() time.Time, reset func()) *Steer {
	w := world.New(world.Settings{Router: s.Router, Lapse: s.Lapse})
	t := &Steer{
		settings: s, kinds: kinds, store: store, log: log, clock: clock, reset: reset,
		world: w, odd: map[plat.Key]plat.Version{}, trials: newTrials(s, clock()), members: newMembers(s.Router),
	}
	t.view.Store(w.View())
	return t
}

// View gives the newest view.
func (t *Steer) View() *world.View { return t.view.Load() }

// Run follows the store until ctx ends.
func (t *Steer) Run(ctx context.Context) {
	var group sync.WaitGroup
	p := t.kinds.Prefixes()
	for _, w := range []*watcher{
		t.watcher(p.Endpoints, t.settings.Endpoints, t.endpoints),
		t.watcher(p.Configs, t.settings.Configs, t.configs),
		t.watcher(p.Rollouts, t.settings.Orders, t.rollouts),
		t.watcher(p.Zones, t.settings.Orders, t.zones),
	} {
		if w.kind == p.Endpoints {
			w.answered, w.failed = t.heard, t.unheard
		}
		group.Go(func() { w.run(ctx) })
	}
	group.Go(func() { t.members.run(ctx, t.store, t.log) })
	group.Go(func() { t.tend(ctx) })
	group.Go(func() { t.share(ctx) })
	group.Wait()
}

// watcher makes the watcher of a kind. Take is given the objects present and
// the keys of those gone, and whether these are all.
func (t *Steer) watcher(kind plat.Key, pace Pace, take func(now time.Time, present []plat.Object, gone []plat.Key, whole bool)) *watcher {
	return &watcher{
		kind: kind, pace: pace, store: t.store, log: t.log, clock: t.clock, reset: t.reset,
		answered: func(time.Time) {}, failed: func(time.Time) {},
		whole: func(now time.Time, objects []plat.Object) { take(now, objects, nil, true) },
		changed: func(now time.Time, changes []plat.Change) {
			present, gone := latest(changes)
			take(now, present, gone, false)
		},
	}
}

// latest keeps the last change of each object.
func latest(changes []plat.Change) (present []plat.Object, gone []plat.Key) {
	last := make(map[plat.Key]int, len(changes))
	for i, c := range changes {
		last[c.Object.Key] = i
	}
	for i, c := range changes {
		switch {
		case last[c.Object.Key] != i:
		case c.Object.Version == 0:
			gone = append(gone, c.Object.Key)
		default:
			present = append(present, c.Object)
		}
	}
	return present, gone
}

// step takes an event into the world, and publishes the view.
func (t *Steer) step(now time.Time, e world.Event) {
	t.lock.Lock()
	notes := t.world.Step(now, e)
	view := t.world.View()
	t.view.Store(view)
	t.lock.Unlock()
	t.tell(notes)
}

func (t *Steer) tell(notes []world.Note) {
	for _, n := range notes {
		t.log.Info(n.What, zap.String("name", n.Name), zap.String("detail", n.Detail))
	}
}

func (t *Steer) endpoints(now time.Time, present []plat.Object, gone []plat.Key, whole bool) {
	e := world.Endpoints{Whole: whole}
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
		e.Gone = append(e.Gone, ident.EndpointID(t.kinds.Name(key)))
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
			t.step(now, world.Configured{Config: c})
		}
	}
}

func (t *Steer) rollouts(now time.Time, present []plat.Object, gone []plat.Key, whole bool) {
	e := world.Ordered{Whole: whole}
	for _, o := range present {
		r, err := t.kinds.Rollout(o)
		if err != nil {
			t.unreadable(o, err)
			continue
		}
		e.Present = append(e.Present, r)
	}
	for _, key := range gone {
		e.Gone = append(e.Gone, ident.ServiceID(t.kinds.Name(key)))
	}
	t.step(now, e)
}

func (t *Steer) zones(now time.Time, present []plat.Object, gone []plat.Key, whole bool) {
	e := world.ZonesOut{Whole: whole}
	for _, o := range present {
		e.Out = append(e.Out, ident.ZoneID(t.kinds.Name(o.Key)))
	}
	for _, key := range gone {
		e.Back = append(e.Back, ident.ZoneID(t.kinds.Name(key)))
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

// heard notes that the store has answered.
func (t *Steer) heard(now time.Time) {
	t.lock.Lock()
	back := t.away
	t.away = false
	t.answered = now
	t.lock.Unlock()
	if back {
		t.log.Info("entries current again")
		t.step(now, world.Back{})
	}
}

// unheard notes that a call failed.
func (t *Steer) unheard(now time.Time) {
	t.lock.Lock()
	lost := !t.away && !t.answered.IsZero() && now.Sub(t.answered) >= awayAfter
	t.away = t.away || lost
	age := now.Sub(t.answered)
	t.lock.Unlock()
	if lost {
		t.log.Warn("entries not current", zap.Duration("age", age))
		t.step(now, world.Away{})
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
		t.carry(ctx, now)
	}
}
