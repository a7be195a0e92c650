package ctrl_test

import (
	"fmt"
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	step    = 50 * time.Millisecond // between the ticks of a router
	delay   = 10 * time.Millisecond // of a message or a call to the platform
	timeout = time.Second           // after which a call without an answer fails
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

var (
	stable    = ident.Release{Model: "condor", Version: "1"}
	candidate = ident.Release{Model: "condor", Version: "2"}
)

// world joins the control machines of several routers by handing each one's
// actions to the others and to a platform, through faults.
type world struct {
	now     time.Time
	nodes   []*node // the living and the dead, in the order of their start
	queue   []delivery
	serial  int
	cut     map[[2]ident.RouterID]bool // messages from the first to the second are lost
	doubled bool                       // each message comes twice
	store   store
	loads   map[ident.EndpointID]engine.Load
	granted []grant
	fails   []string
}

type node struct {
	id      ident.RouterID
	control *ctrl.Control
	view    *ctrl.View
	inbox   []ctrl.Event // while frozen
	frozen  bool
	dead    bool
	apart   bool      // cut off from the platform
	alone   time.Time // since when it is cut off from all, or the zero time
	best    ident.Generation
	gone    map[ident.Release]bool
	denied  []permit.Reason
	claims  []ctrl.AnswerClaim
}

type delivery struct {
	at     time.Time
	serial int
	run    func()
}

// store is the platform, with its faults.
type store struct {
	version   plat.Version
	heads     []plat.Head // each generation ever in force
	configs   map[ident.Generation]*fleet.Config
	withdrawn ctrl.Withdrawn
	rollouts  map[ident.ModelID]ctrl.Rollout
	leases    map[ident.ZoneID]permit.LeaseRead
	instances map[string]plat.Instance
	before    map[string]plat.Instance // what the list says while it lags
	steps     []fleet.RolloutState     // written, in order
	down      bool
	lose      bool // writes take effect, and their answers are lost
	stale     int  // reads give the head that was in force so many generations ago
}

type grant struct {
	permit permit.Permit
	until  time.Time
}

func newWorld(ids ...ident.RouterID) *world {
	w := &world{
		now:   start,
		cut:   map[[2]ident.RouterID]bool{},
		loads: map[ident.EndpointID]engine.Load{},
		store: store{
			configs:   map[ident.Generation]*fleet.Config{},
			rollouts:  map[ident.ModelID]ctrl.Rollout{},
			leases:    map[ident.ZoneID]permit.LeaseRead{},
			instances: map[string]plat.Instance{},
		},
	}
	w.publish(func(*fleet.Config) {})
	for _, id := range ids {
		w.begin(id)
	}
	return w
}

// begin starts a router; the zone is the first letter of its id.
func (w *world) begin(id ident.RouterID) *node {
	self := fleet.Router{ID: id, Zone: ident.ZoneID(id[:1]), Peer: string(id)}
	n := &node{id: id, control: ctrl.New(self, ctrl.DefaultSettings(250*time.Millisecond), w.now), gone: map[ident.Release]bool{}}
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) node(id ident.RouterID) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// publish puts a new generation in force.
func (w *world) publish(change func(*fleet.Config)) {
	generation := ident.Generation(len(w.store.heads) + 1)
	c := newConfig()
	change(c)
	c.Generation = generation
	w.store.configs[generation] = c
	w.store.heads = append(w.store.heads, plat.Head{Generation: generation})
	w.store.version++
}

func newConfig() *fleet.Config {
	c := &fleet.Config{
		Teams:  map[ident.TeamID]*fleet.Team{"ledger": {ID: "ledger", Models: []fleet.ModelGrant{{Model: "condor"}}}},
		Models: map[ident.ModelID]*fleet.Model{"condor": {ID: "condor", Default: "1", Versions: []ident.VersionID{"1", "2"}}},
		Zones:  map[ident.ZoneID]*fleet.Zone{"a": {ID: "a"}, "b": {ID: "b"}},
		Endpoints: map[ident.EndpointID]*fleet.EndpointSpec{
			"e1": {ID: "e1", Zone: "a", Address: "e1", Release: stable, Slots: 8, Cold: 1},
			"e2": {ID: "e2", Zone: "b", Address: "e2", Release: candidate, Slots: 8, Cold: 1},
		},
	}
	return c
}

func rolling(steps ...fleet.Step) func(*fleet.Config) {
	return func(c *fleet.Config) {
		c.Rollouts = map[ident.ModelID]*fleet.Rollout{"condor": {Model: "condor", To: "2", Steps: steps, Limits: fleet.RolloutLimits{Errors: 0.1, Quality: 0.1, Latency: 2}}}
	}
}

func (w *world) head() ident.Generation {
	return w.store.heads[len(w.store.heads)-1].Generation
}

// run lets time pass, and checks after each step what must always hold.
func (w *world) run(d time.Duration) {
	for until := w.now.Add(d); w.now.Before(until); {
		next := w.now.Add(step)
		w.deliver(next)
		w.now = next
		for _, n := range w.nodes {
			w.tell(n, ctrl.Tick{})
			w.poll(n)
		}
		w.check()
	}
}

// deliver runs what is due before next, in order.
func (w *world) deliver(next time.Time) {
	for len(w.queue) > 0 {
		sort.SliceStable(w.queue, func(i, j int) bool { return w.queue[i].at.Before(w.queue[j].at) })
		d := w.queue[0]
		if d.at.After(next) {
			return
		}
		w.queue = w.queue[1:]
		w.now = d.at
		d.run()
	}
}

func (w *world) after(d time.Duration, run func()) {
	w.queue = append(w.queue, delivery{at: w.now.Add(d), run: run})
}

// tell hands an event to a router; one that is frozen takes it in later.
func (w *world) tell(n *node, e ctrl.Event) {
	if _, tick := e.(ctrl.Tick); n.dead || n.frozen && tick {
		return
	}
	if n.frozen {
		n.inbox = append(n.inbox, e)
		return
	}
	for _, a := range n.control.Step(w.now, e) {
		w.act(n, a)
	}
	if v := n.control.View(w.now); v != nil {
		n.view = v
	}
	w.checkView(n)
}

func (w *world) thaw(n *node) {
	n.frozen = false
	inbox := n.inbox
	n.inbox = nil
	for _, e := range inbox {
		w.tell(n, e)
	}
}

// poll gives a router the load of each endpoint, twice a second.
func (w *world) poll(n *node) {
	if w.now.Sub(start)%(500*time.Millisecond) != 0 {
		return
	}
	for _, id := range sortedKeys(w.loads) {
		w.tell(n, ctrl.Loaded{Endpoint: id, Asked: w.now, Load: w.loads[id]})
	}
}

func (w *world) act(n *node, a ctrl.Action) {
	switch a := a.(type) {
	case ctrl.SendBeat:
		w.sendBeat(n, a)
	case ctrl.FetchConfig:
		w.fetch(n, a)
	case ctrl.AnswerPermit:
		w.answerPermit(n, a)
	case ctrl.AnswerClaim:
		n.claims = append(n.claims, a)
	case ctrl.Note:
	default:
		w.callPlatform(n, a)
	}
}

func (w *world) reaches(from, to *node) bool {
	return from != nil && to != nil && !to.dead && !to.frozen && !w.cut[[2]ident.RouterID{from.id, to.id}]
}

// sendBeat carries a heartbeat there and its answer back.
func (w *world) sendBeat(n *node, a ctrl.SendBeat) {
	asked := w.now
	to := w.node(a.To.ID)
	answered := false
	w.after(timeout, func() {
		if !answered {
			w.tell(n, ctrl.Missed{Router: a.To.ID})
		}
	})
	arrive := func() {
		if to != nil && to.frozen && !w.cut[[2]ident.RouterID{n.id, to.id}] {
			w.tell(to, ctrl.Beaten{Beat: a.Beat}) // waits until the thaw
		}
		if !w.reaches(n, to) {
			return
		}
		w.tell(to, ctrl.Beaten{Beat: a.Beat})
		if to.view == nil {
			return
		}
		ack := ctrl.Acked{
			Router: to.view.Self, Asked: asked, Generation: to.view.Config.Generation,
			Age: w.now.Sub(to.view.Confirmed), Marks: a.Marks, Told: a.Told,
		}
		if to.view.Confirmed.IsZero() {
			ack.Age = -1
		}
		w.after(delay, func() {
			if w.reaches(to, n) {
				answered = true
				w.tell(n, ack)
			}
		})
	}
	w.after(delay, arrive)
	if w.doubled {
		w.after(3*delay, arrive)
	}
}

func (w *world) fetch(n *node, a ctrl.FetchConfig) {
	from := w.node(a.From.ID)
	w.after(2*delay, func() {
		if w.reaches(n, from) && w.reaches(from, n) && from.view != nil && from.view.Config.Generation >= a.Head.Generation {
			w.tell(n, ctrl.Fetched{Head: plat.Head{Generation: from.view.Config.Generation}, Config: from.view.Config})
			return
		}
		w.tell(n, ctrl.Fetched{})
	})
}

func (w *world) answerPermit(n *node, a ctrl.AnswerPermit) {
	if a.Grant == nil {
		n.denied = append(n.denied, a.Deny.Reason)
		return
	}
	w.granted = append(w.granted, grant{permit: *a.Grant, until: w.now.Add(a.Grant.StartTimeout + a.Grant.RunTimeout)})
}

// check looks at what holds of all routers together.
func (w *world) check() {
	running := map[ident.EndpointID]int{}
	for _, g := range w.granted {
		if w.now.Before(g.until) {
			running[g.permit.Endpoint]++
		}
	}
	for id, count := range running {
		if count > 1 {
			w.fail("endpoint %s bears 1 request, and %d permits are out", id, count)
		}
	}
	for _, n := range w.nodes {
		w.checkAlone(n)
	}
}

// checkAlone looks for a router that goes on serving though nobody could tell
// it of a new configuration. One that has never known a peer may do so.
func (w *world) checkAlone(n *node) {
	alone := n.apart || w.store.down
	for _, m := range w.nodes {
		alone = alone && (m == n || !w.reaches(n, m) || !w.reaches(m, n))
	}
	switch {
	case !alone:
		n.alone = time.Time{}
	case n.alone.IsZero():
		n.alone = w.now
	case w.now.Sub(n.alone) > inForce && w.ready(n) && len(n.view.Fleet) > 1:
		w.fail("router %s serves, cut off from all for %s", n.id, w.now.Sub(n.alone))
	}
}

// checkView looks at what holds of each router's view.
func (w *world) checkView(n *node) {
	if n.view == nil {
		return
	}
	if g := n.view.Config.Generation; g < n.best {
		w.fail("router %s went back from generation %d to %d", n.id, n.best, g)
	}
	n.best = n.view.Config.Generation
	for release := range n.view.Withdrawn {
		n.gone[release] = true
	}
	for release := range n.gone {
		if n.view.Allowed(release) {
			w.fail("router %s allows %s again", n.id, release)
		}
	}
}

func (w *world) fail(format string, values ...any) {
	w.fails = append(w.fails, w.now.Sub(start).String()+": "+fmt.Sprintf(format, values...))
}

// ready tells whether a router begins new work now.
func (w *world) ready(n *node) bool {
	return !n.dead && n.view != nil && n.view.Ready(w.now)
}

// attempted reports an attempt on a release to a router.
func (w *world) attempted(n *node, release ident.Release, outcome roll.Outcome) {
	w.tell(n, ctrl.Attempted{Release: release, Team: "ledger", Outcome: outcome, Counts: true})
}

func sortedKeys[V any](m map[ident.EndpointID]V) []ident.EndpointID {
	keys := make([]ident.EndpointID, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
