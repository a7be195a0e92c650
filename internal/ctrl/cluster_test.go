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
	tickInterval     = 50 * time.Millisecond // between two ticks of a router
	messageDelay     = 10 * time.Millisecond // one way, of a message or a platform call
	heartbeatTimeout = time.Second           // after which an unanswered heartbeat fails
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

var (
	stable    = ident.Release{Model: "condor", Version: "1"}
	candidate = ident.Release{Model: "condor", Version: "2"}
)

// cluster simulates several routers: it carries each one's actions to the others
// and to a simulated platform, subject to injected faults.
type cluster struct {
	now        time.Time
	nodes      []*node // including dead ones, in order of start
	queue      []delivery
	serial     int
	cutLinks   map[[2]ident.RouterID]bool // messages from the first to the second are lost
	duplicate  bool                       // each heartbeat is delivered twice
	store      store
	loads      map[ident.EndpointID]engine.Load
	granted    []grant
	violations []string
}

type node struct {
	id                ident.RouterID
	control           *ctrl.Control
	view              *ctrl.View
	inbox             []ctrl.Event // events received while frozen
	frozen            bool
	dead              bool
	platformCut       bool      // cut off from the platform
	isolatedSince     time.Time // since when it is cut off from everyone, or the zero time
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

// store simulates the platform and its faults.
type store struct {
	version          plat.Version
	heads            []plat.Head // each generation ever in force
	configs          map[ident.Generation]*fleet.Config
	withdrawn        ctrl.WithdrawnObject
	rollouts         map[ident.ModelID]ctrl.RolloutObject
	leases           map[ident.ZoneID]permit.LeaseRead
	instances        map[string]plat.Instance
	laggedInstances  map[string]plat.Instance // returned as the list of instances if set
	rolloutWrites    []fleet.RolloutState     // in order of writing
	down             bool
	loseReplies      bool // writes take effect but their responses are lost
	staleGenerations int  // number of generations by which reads of the head lag
}

type grant struct {
	permit permit.Permit
	until  time.Time
}

func newCluster(ids ...ident.RouterID) *cluster {
	cl := &cluster{
		now:      start,
		cutLinks: map[[2]ident.RouterID]bool{},
		loads:    map[ident.EndpointID]engine.Load{},
		store: store{
			configs:   map[ident.Generation]*fleet.Config{},
			rollouts:  map[ident.ModelID]ctrl.RolloutObject{},
			leases:    map[ident.ZoneID]permit.LeaseRead{},
			instances: map[string]plat.Instance{},
		},
	}
	cl.publish(func(*fleet.Config) {})
	for _, id := range ids {
		cl.startNode(id)
	}
	return cl
}

// startNode starts a router; its zone is the first letter of its id.
func (cl *cluster) startNode(id ident.RouterID) *node {
	self := fleet.Router{ID: id, Zone: ident.ZoneID(id[:1]), Peer: string(id)}
	n := &node{id: id, control: ctrl.New(self, ctrl.DefaultSettings(250*time.Millisecond), cl.now), withdrawn: map[ident.Release]bool{}}
	cl.nodes = append(cl.nodes, n)
	return n
}

func (cl *cluster) node(id ident.RouterID) *node {
	for _, n := range cl.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// publish stores a new generation in the platform.
func (cl *cluster) publish(change func(*fleet.Config)) {
	generation := ident.Generation(len(cl.store.heads) + 1)
	c := newConfig()
	change(c)
	c.Generation = generation
	cl.store.configs[generation] = c
	cl.store.heads = append(cl.store.heads, plat.Head{Generation: generation})
	cl.store.version++
}

func newConfig() *fleet.Config {
	c := &fleet.Config{
		Teams:  map[ident.TeamID]*fleet.Team{"ledger": {ID: "ledger", Models: []fleet.ModelGrant{{Model: "condor"}}}},
		Models: map[ident.ModelID]*fleet.Model{"condor": {ID: "condor", Default: "1", Versions: []ident.VersionID{"1", "2"}}},
		Zones:  map[ident.ZoneID]*fleet.Zone{"a": {ID: "a"}, "b": {ID: "b"}},
		Endpoints: map[ident.EndpointID]*fleet.EndpointSpec{
			"e1": {ID: "e1", Zone: "a", Address: "e1", Release: stable, Slots: 8, ColdSlots: 1},
			"e2": {ID: "e2", Zone: "b", Address: "e2", Release: candidate, Slots: 8, ColdSlots: 1},
		},
	}
	return c
}

func withRollout(steps ...fleet.RolloutStep) func(*fleet.Config) {
	return func(c *fleet.Config) {
		c.Rollouts = map[ident.ModelID]*fleet.Rollout{"condor": {Model: "condor", To: "2", Steps: steps, Limits: fleet.RolloutLimits{Errors: 0.1, Quality: 0.1, Latency: 2}}}
	}
}

func (cl *cluster) head() ident.Generation {
	return cl.store.heads[len(cl.store.heads)-1].Generation
}

// advance runs the simulation for d and checks the invariants after each tick.
func (cl *cluster) advance(d time.Duration) {
	for until := cl.now.Add(d); cl.now.Before(until); {
		next := cl.now.Add(tickInterval)
		cl.runDue(next)
		cl.now = next
		for _, n := range cl.nodes {
			cl.handle(n, ctrl.Tick{})
			cl.pollLoads(n)
		}
		cl.checkInvariants()
	}
}

// runDue runs the scheduled deliveries due up to next, in order.
func (cl *cluster) runDue(next time.Time) {
	for len(cl.queue) > 0 {
		sort.SliceStable(cl.queue, func(i, j int) bool { return cl.queue[i].at.Before(cl.queue[j].at) })
		d := cl.queue[0]
		if d.at.After(next) {
			return
		}
		cl.queue = cl.queue[1:]
		cl.now = d.at
		d.run()
	}
}

func (cl *cluster) schedule(d time.Duration, run func()) {
	cl.queue = append(cl.queue, delivery{at: cl.now.Add(d), run: run})
}

// handle passes an event to a router; a frozen one queues it, except ticks.
func (cl *cluster) handle(n *node, e ctrl.Event) {
	if _, tick := e.(ctrl.Tick); n.dead || n.frozen && tick {
		return
	}
	if n.frozen {
		n.inbox = append(n.inbox, e)
		return
	}
	for _, a := range n.control.Step(cl.now, e) {
		cl.execute(n, a)
	}
	if v := n.control.View(cl.now); v != nil {
		n.view = v
	}
	cl.checkView(n)
}

func (cl *cluster) unfreeze(n *node) {
	n.frozen = false
	inbox := n.inbox
	n.inbox = nil
	for _, e := range inbox {
		cl.handle(n, e)
	}
}

// pollLoads reports the load of each endpoint to a router, twice a second.
func (cl *cluster) pollLoads(n *node) {
	if cl.now.Sub(start)%(500*time.Millisecond) != 0 {
		return
	}
	for _, id := range sortedKeys(cl.loads) {
		cl.handle(n, ctrl.LoadReported{Endpoint: id, RequestedAt: cl.now, Load: cl.loads[id]})
	}
}

func (cl *cluster) execute(n *node, a ctrl.Action) {
	switch a := a.(type) {
	case ctrl.SendHeartbeat:
		cl.sendHeartbeat(n, a)
	case ctrl.FetchConfig:
		cl.fetchConfig(n, a)
	case ctrl.AnswerPermit:
		cl.answerPermit(n, a)
	case ctrl.AnswerClaim:
		n.claims = append(n.claims, a)
	case ctrl.LogEvent:
	default:
		cl.callPlatform(n, a)
	}
}

func (cl *cluster) reaches(from, to *node) bool {
	return from != nil && to != nil && !to.dead && !to.frozen && !cl.cutLinks[[2]ident.RouterID{from.id, to.id}]
}

// sendHeartbeat delivers a heartbeat and its answer.
func (cl *cluster) sendHeartbeat(n *node, a ctrl.SendHeartbeat) {
	sentAt := cl.now
	to := cl.node(a.To.ID)
	answered := false
	cl.schedule(heartbeatTimeout, func() {
		if !answered {
			cl.handle(n, ctrl.HeartbeatFailed{Router: a.To.ID})
		}
	})
	arrive := func() {
		if to != nil && to.frozen && !cl.cutLinks[[2]ident.RouterID{n.id, to.id}] {
			cl.handle(to, ctrl.HeartbeatReceived{Heartbeat: a.Heartbeat}) // queued until unfrozen
		}
		if !cl.reaches(n, to) {
			return
		}
		cl.handle(to, ctrl.HeartbeatReceived{Heartbeat: a.Heartbeat})
		if to.view == nil {
			return
		}
		ack := ctrl.HeartbeatAcked{
			Router: to.view.Self, SentAt: sentAt, Generation: to.view.Config.Generation,
			ConfirmationAge: cl.now.Sub(to.view.ConfirmedAt), Cursors: a.Cursors, Withdrawals: a.Withdrawals,
		}
		if to.view.ConfirmedAt.IsZero() {
			ack.ConfirmationAge = -1
		}
		cl.schedule(messageDelay, func() {
			if cl.reaches(to, n) {
				answered = true
				cl.handle(n, ack)
			}
		})
	}
	cl.schedule(messageDelay, arrive)
	if cl.duplicate {
		cl.schedule(3*messageDelay, arrive)
	}
}

func (cl *cluster) fetchConfig(n *node, a ctrl.FetchConfig) {
	from := cl.node(a.From.ID)
	cl.schedule(2*messageDelay, func() {
		if cl.reaches(n, from) && cl.reaches(from, n) && from.view != nil && from.view.Config.Generation >= a.Head.Generation {
			cl.handle(n, ctrl.ConfigFetched{Head: plat.Head{Generation: from.view.Config.Generation}, Config: from.view.Config})
			return
		}
		cl.handle(n, ctrl.ConfigFetched{})
	})
}

func (cl *cluster) answerPermit(n *node, a ctrl.AnswerPermit) {
	if a.Grant == nil {
		n.denied = append(n.denied, a.Deny.Reason)
		return
	}
	cl.granted = append(cl.granted, grant{permit: *a.Grant, until: cl.now.Add(a.Grant.StartTimeout + a.Grant.RunTimeout)})
}

// checkInvariants checks the invariants over all routers.
func (cl *cluster) checkInvariants() {
	running := map[ident.EndpointID]int{}
	for _, g := range cl.granted {
		if cl.now.Before(g.until) {
			running[g.permit.Endpoint]++
		}
	}
	for id, count := range running {
		if count > 1 {
			cl.violate("endpoint %s has %d concurrent permits, limit 1", id, count)
		}
	}
	for _, n := range cl.nodes {
		cl.checkIsolation(n)
	}
}

// checkIsolation checks that a router stops serving when nothing could announce
// a new configuration to it. One that has never known a peer may keep serving.
func (cl *cluster) checkIsolation(n *node) {
	alone := n.platformCut || cl.store.down
	for _, m := range cl.nodes {
		alone = alone && (m == n || !cl.reaches(n, m) || !cl.reaches(m, n))
	}
	switch {
	case !alone:
		n.isolatedSince = time.Time{}
	case n.isolatedSince.IsZero():
		n.isolatedSince = cl.now
	case cl.now.Sub(n.isolatedSince) > propagationBound && cl.ready(n) && len(n.view.KnownRouters) > 1:
		cl.violate("router %s still serves, isolated for %s", n.id, cl.now.Sub(n.isolatedSince))
	}
}

// checkView checks the invariants of a router's view.
func (cl *cluster) checkView(n *node) {
	if n.view == nil {
		return
	}
	if g := n.view.Config.Generation; g < n.highestGeneration {
		cl.violate("router %s reverted from generation %d to %d", n.id, n.highestGeneration, g)
	}
	n.highestGeneration = n.view.Config.Generation
	for release := range n.view.Withdrawn {
		n.withdrawn[release] = true
	}
	for release := range n.withdrawn {
		if n.view.Allowed(release) {
			cl.violate("router %s allows withdrawn release %s", n.id, release)
		}
	}
}

func (cl *cluster) violate(format string, values ...any) {
	cl.violations = append(cl.violations, cl.now.Sub(start).String()+": "+fmt.Sprintf(format, values...))
}

// ready reports whether a router accepts new work now.
func (cl *cluster) ready(n *node) bool {
	return !n.dead && n.view != nil && n.view.Ready(cl.now)
}

// reportAttempt reports an attempt on a release to a router.
func (cl *cluster) reportAttempt(n *node, release ident.Release, outcome roll.Outcome) {
	cl.handle(n, ctrl.AttemptEnded{Release: release, Team: "ledger", Outcome: outcome, IsEvidence: true})
}

func sortedKeys[V any](m map[ident.EndpointID]V) []ident.EndpointID {
	keys := make([]ident.EndpointID, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
