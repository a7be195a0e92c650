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
	tickInterval     = 50 * time.Millisecond // between the ticks of a router
	messageDelay     = 10 * time.Millisecond // of a message or a call to the platform
	heartbeatTimeout = time.Second           // after which a call without an answer fails
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

var (
	stable    = ident.Release{Model: "condor", Version: "1"}
	candidate = ident.Release{Model: "condor", Version: "2"}
)

// world joins the control machines of several routers by handing each one's
// actions to the others and to a platform, through faults.
type cluster struct {
	now        time.Time
	nodes      []*node // the living and the dead, in the order of their start
	queue      []delivery
	serial     int
	cutLinks   map[[2]ident.RouterID]bool // messages from the first to the second are lost
	duplicate  bool                       // each message comes twice
	store      store
	loads      map[ident.EndpointID]engine.Load
	granted    []grant
	violations []string
}

type node struct {
	id                ident.RouterID
	control           *ctrl.Control
	view              *ctrl.View
	inbox             []ctrl.Event // while frozen
	frozen            bool
	dead              bool
	platformCut       bool      // cut off from the platform
	isolatedSince     time.Time // since when it is cut off from all, or the zero time
	highestGeneration ident.Generation
	withdrawn         map[ident.Release]bool
	denied            []permit.Reason
	claims            []ctrl.AnswerClaim
}

type delivery struct {
	at     time.Time
	serial int
	run    func()
}

// store is the platform, with its faults.
type store struct {
	version          plat.Version
	heads            []plat.Head // each generation ever in force
	configs          map[ident.Generation]*fleet.Config
	withdrawn        ctrl.WithdrawnObject
	rollouts         map[ident.ModelID]ctrl.RolloutObject
	leases           map[ident.ZoneID]permit.Read
	instances        map[string]plat.Instance
	laggedInstances  map[string]plat.Instance // what the list says while it lags
	rolloutWrites    []fleet.RolloutState     // written, in order
	down             bool
	loseReplies      bool // writes take effect, and their answers are lost
	staleGenerations int  // reads give the head that was in force so many generations ago
}

type grant struct {
	permit permit.Permit
	until  time.Time
}

func newCluster(ids ...ident.RouterID) *cluster {
	w := &cluster{
		now:      start,
		cutLinks: map[[2]ident.RouterID]bool{},
		loads:    map[ident.EndpointID]engine.Load{},
		store: store{
			configs:   map[ident.Generation]*fleet.Config{},
			rollouts:  map[ident.ModelID]ctrl.RolloutObject{},
			leases:    map[ident.ZoneID]permit.Read{},
			instances: map[string]plat.Instance{},
		},
	}
	w.publish(func(*fleet.Config) {})
	for _, id := range ids {
		w.startNode(id)
	}
	return w
}

// begin starts a router; the zone is the first letter of its id.
func (w *cluster) startNode(id ident.RouterID) *node {
	self := fleet.Router{ID: id, Zone: ident.ZoneID(id[:1]), Peer: string(id)}
	n := &node{id: id, control: ctrl.New(self, ctrl.DefaultSettings(250*time.Millisecond), w.now), withdrawn: map[ident.Release]bool{}}
	w.nodes = append(w.nodes, n)
	return n
}

func (w *cluster) node(id ident.RouterID) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// publish puts a new generation in force.
func (w *cluster) publish(change func(*fleet.Config)) {
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

func withRollout(steps ...fleet.Step) func(*fleet.Config) {
	return func(c *fleet.Config) {
		c.Rollouts = map[ident.ModelID]*fleet.Rollout{"condor": {Model: "condor", To: "2", Steps: steps, Limits: fleet.RolloutLimits{Errors: 0.1, Quality: 0.1, Latency: 2}}}
	}
}

func (w *cluster) head() ident.Generation {
	return w.store.heads[len(w.store.heads)-1].Generation
}

// run lets time pass, and checks after each step what must always hold.
func (w *cluster) advance(d time.Duration) {
	for until := w.now.Add(d); w.now.Before(until); {
		next := w.now.Add(tickInterval)
		w.runDue(next)
		w.now = next
		for _, n := range w.nodes {
			w.handle(n, ctrl.Tick{})
			w.pollLoads(n)
		}
		w.checkInvariants()
	}
}

// deliver runs what is due before next, in order.
func (w *cluster) runDue(next time.Time) {
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

func (w *cluster) schedule(d time.Duration, run func()) {
	w.queue = append(w.queue, delivery{at: w.now.Add(d), run: run})
}

// tell hands an event to a router; one that is frozen takes it in later.
func (w *cluster) handle(n *node, e ctrl.Event) {
	if _, tick := e.(ctrl.Tick); n.dead || n.frozen && tick {
		return
	}
	if n.frozen {
		n.inbox = append(n.inbox, e)
		return
	}
	for _, a := range n.control.Step(w.now, e) {
		w.execute(n, a)
	}
	if v := n.control.View(w.now); v != nil {
		n.view = v
	}
	w.checkView(n)
}

func (w *cluster) unfreeze(n *node) {
	n.frozen = false
	inbox := n.inbox
	n.inbox = nil
	for _, e := range inbox {
		w.handle(n, e)
	}
}

// poll gives a router the load of each endpoint, twice a second.
func (w *cluster) pollLoads(n *node) {
	if w.now.Sub(start)%(500*time.Millisecond) != 0 {
		return
	}
	for _, id := range sortedKeys(w.loads) {
		w.handle(n, ctrl.LoadReported{Endpoint: id, RequestedAt: w.now, Load: w.loads[id]})
	}
}

func (w *cluster) execute(n *node, a ctrl.Action) {
	switch a := a.(type) {
	case ctrl.SendHeartbeat:
		w.sendHeartbeat(n, a)
	case ctrl.FetchConfig:
		w.fetchConfig(n, a)
	case ctrl.AnswerPermit:
		w.answerPermit(n, a)
	case ctrl.AnswerClaim:
		n.claims = append(n.claims, a)
	case ctrl.LogEvent:
	default:
		w.callPlatform(n, a)
	}
}

func (w *cluster) reaches(from, to *node) bool {
	return from != nil && to != nil && !to.dead && !to.frozen && !w.cutLinks[[2]ident.RouterID{from.id, to.id}]
}

// sendBeat carries a heartbeat there and its answer back.
func (w *cluster) sendHeartbeat(n *node, a ctrl.SendHeartbeat) {
	asked := w.now
	to := w.node(a.To.ID)
	answered := false
	w.schedule(heartbeatTimeout, func() {
		if !answered {
			w.handle(n, ctrl.HeartbeatFailed{Router: a.To.ID})
		}
	})
	arrive := func() {
		if to != nil && to.frozen && !w.cutLinks[[2]ident.RouterID{n.id, to.id}] {
			w.handle(to, ctrl.HeartbeatReceived{Heartbeat: a.Heartbeat}) // waits until the thaw
		}
		if !w.reaches(n, to) {
			return
		}
		w.handle(to, ctrl.HeartbeatReceived{Heartbeat: a.Heartbeat})
		if to.view == nil {
			return
		}
		ack := ctrl.HeartbeatAcked{
			Router: to.view.Self, SentAt: asked, Generation: to.view.Config.Generation,
			ConfirmationAge: w.now.Sub(to.view.Confirmed), Cursors: a.Cursors, Withdrawals: a.Withdrawals,
		}
		if to.view.Confirmed.IsZero() {
			ack.ConfirmationAge = -1
		}
		w.schedule(messageDelay, func() {
			if w.reaches(to, n) {
				answered = true
				w.handle(n, ack)
			}
		})
	}
	w.schedule(messageDelay, arrive)
	if w.duplicate {
		w.schedule(3*messageDelay, arrive)
	}
}

func (w *cluster) fetchConfig(n *node, a ctrl.FetchConfig) {
	from := w.node(a.From.ID)
	w.schedule(2*messageDelay, func() {
		if w.reaches(n, from) && w.reaches(from, n) && from.view != nil && from.view.Config.Generation >= a.Head.Generation {
			w.handle(n, ctrl.ConfigFetched{Head: plat.Head{Generation: from.view.Config.Generation}, Config: from.view.Config})
			return
		}
		w.handle(n, ctrl.ConfigFetched{})
	})
}

func (w *cluster) answerPermit(n *node, a ctrl.AnswerPermit) {
	if a.Grant == nil {
		n.denied = append(n.denied, a.Deny.Reason)
		return
	}
	w.granted = append(w.granted, grant{permit: *a.Grant, until: w.now.Add(a.Grant.Start + a.Grant.Run)})
}

// check looks at what holds of all routers together.
func (w *cluster) checkInvariants() {
	running := map[ident.EndpointID]int{}
	for _, g := range w.granted {
		if w.now.Before(g.until) {
			running[g.permit.Endpoint]++
		}
	}
	for id, count := range running {
		if count > 1 {
			w.violate("endpoint %s bears 1 request, and %d permits are out", id, count)
		}
	}
	for _, n := range w.nodes {
		w.checkIsolation(n)
	}
}

// checkAlone looks for a router that goes on serving though nobody could tell
// it of a new configuration. One that has never known a peer may do so.
func (w *cluster) checkIsolation(n *node) {
	alone := n.platformCut || w.store.down
	for _, m := range w.nodes {
		alone = alone && (m == n || !w.reaches(n, m) || !w.reaches(m, n))
	}
	switch {
	case !alone:
		n.isolatedSince = time.Time{}
	case n.isolatedSince.IsZero():
		n.isolatedSince = w.now
	case w.now.Sub(n.isolatedSince) > propagationBound && w.ready(n) && len(n.view.KnownRouters) > 1:
		w.violate("router %s serves, cut off from all for %s", n.id, w.now.Sub(n.isolatedSince))
	}
}

// checkView looks at what holds of each router's view.
func (w *cluster) checkView(n *node) {
	if n.view == nil {
		return
	}
	if g := n.view.Config.Generation; g < n.highestGeneration {
		w.violate("router %s went back from generation %d to %d", n.id, n.highestGeneration, g)
	}
	n.highestGeneration = n.view.Config.Generation
	for release := range n.view.Withdrawn {
		n.withdrawn[release] = true
	}
	for release := range n.withdrawn {
		if n.view.Allowed(release) {
			w.violate("router %s allows %s again", n.id, release)
		}
	}
}

func (w *cluster) violate(format string, values ...any) {
	w.violations = append(w.violations, w.now.Sub(start).String()+": "+fmt.Sprintf(format, values...))
}

// ready tells whether a router begins new work now.
func (w *cluster) ready(n *node) bool {
	return !n.dead && n.view != nil && n.view.Ready(w.now)
}

// attempted reports an attempt on a release to a router.
func (w *cluster) reportAttempt(n *node, release ident.Release, outcome roll.Outcome) {
	w.handle(n, ctrl.AttemptEnded{Release: release, Team: "ledger", Outcome: outcome, IsEvidence: true})
}

func sortedKeys[V any](m map[ident.EndpointID]V) []ident.EndpointID {
	keys := make([]ident.EndpointID, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
