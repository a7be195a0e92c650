package ctrl_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// propagationBound is the time within which a change must be in force on every
// serving router.
const propagationBound = 5 * time.Second

var _ = Describe("A fleet of control state machines", func() {
	var cl *cluster

	BeforeEach(func() {
		cl = newCluster("a1", "a2", "b1", "b2")
		cl.advance(3 * time.Second)
	})
	AfterEach(func() { Expect(cl.violations).To(BeEmpty()) })

	generations := func() map[ident.RouterID]ident.Generation {
		found := map[ident.RouterID]ident.Generation{}
		for _, n := range cl.nodes {
			if cl.ready(n) {
				found[n.id] = n.view.Config.Generation
			}
		}
		return found
	}
	isolate := func(id ident.RouterID, peers, platform bool) {
		for _, n := range cl.nodes {
			cl.cutLinks[[2]ident.RouterID{id, n.id}] = peers
			cl.cutLinks[[2]ident.RouterID{n.id, id}] = peers
		}
		cl.node(id).platformCut = platform
	}

	DescribeTable("activates a configuration on every serving router and never an older one",
		func(fault func()) {
			Expect(generations()).To(HaveLen(4))
			fault()
			cl.advance(500 * time.Millisecond)
			for _, out := range []bool{true, false} {
				cl.publish(func(c *fleet.Config) { c.Zones["a"].Out = out })
				cl.advance(propagationBound)
				for id, g := range generations() {
					Expect(g).To(Equal(cl.head()), "router %s serves", id)
					Expect(cl.node(id).view.ZoneOut("a")).To(Equal(out))
				}
				Expect(generations()).NotTo(BeEmpty())
			}
			cl.advance(10 * time.Second)
		},
		Entry("without a fault", Label("holds=config", "holds=zone"), func() {}),
		Entry("a router killed", Label("fault=router-killed", "step=spread", "step=publish", "step=zone-out", "step=zone-in", "holds=config"), func() { cl.node("a1").dead = true }),
		Entry("a router frozen", Label("fault=router-frozen", "step=spread", "step=publish", "step=zone-out", "step=zone-in", "holds=config"), func() { cl.node("a1").frozen = true }),
		Entry("a router replaced", Label("fault=router-replaced", "step=spread", "step=publish", "step=zone-out", "step=zone-in", "holds=config"), func() {
			cl.node("a1").dead = true
			cl.startNode("a3")
		}),
		Entry("three of four routers cut off from the platform", Label("fault=platform-cut", "step=spread", "step=publish", "step=zone-out", "step=zone-in", "holds=config"), func() {
			for _, id := range []ident.RouterID{"a1", "a2", "b1"} {
				cl.node(id).platformCut = true
			}
		}),
		Entry("one router cut off from its peers", Label("fault=peer-cut", "step=spread", "step=publish", "step=zone-out", "step=zone-in"), func() { isolate("b2", true, false) }),
		Entry("one router cut off from everyone", Label("fault=peer-cut", "fault=platform-cut", "fault=two", "step=spread", "step=zone-out", "step=zone-in", "holds=config", "holds=zone"), func() { isolate("b2", true, true) }),
		Entry("one router that receives from peers but reaches no one", Label("fault=peer-oneway", "fault=two", "step=spread", "step=zone-out", "step=zone-in", "holds=config"), func() {
			for _, n := range cl.nodes {
				cl.cutLinks[[2]ident.RouterID{"b2", n.id}] = true
			}
			cl.node("b2").platformCut = true
		}),
		Entry("one router that sends to peers but receives from no one", Label("fault=peer-oneway", "fault=two", "step=spread", "step=zone-out", "step=zone-in", "holds=config"), func() {
			for _, n := range cl.nodes {
				cl.cutLinks[[2]ident.RouterID{n.id, "b2"}] = true
			}
			cl.node("b2").platformCut = true
		}),
		Entry("two routers that reach only each other but receive from the others", Label("fault=peer-oneway", "fault=two", "step=spread", "step=zone-out", "step=zone-in", "holds=config"), func() {
			for _, id := range []ident.RouterID{"b1", "b2"} {
				cl.cutLinks[[2]ident.RouterID{id, "a1"}] = true
				cl.cutLinks[[2]ident.RouterID{id, "a2"}] = true
				cl.node(id).platformCut = true
			}
		}),
		Entry("messages duplicated", Label("fault=peer-slow", "step=spread"), func() { cl.duplicate = true }),
		Entry("platform responses lost", Label("fault=platform-lost", "fault=platform-oneway", "step=spread", "step=publish"), func() { cl.store.loseReplies = true }),
		Entry("a stale list of instances", Label("fault=list-lags", "step=spread", "step=publish", "step=zone-out", "step=zone-in"), func() {
			cl.store.laggedInstances = map[string]plat.Instance{}
			for id, i := range cl.store.instances {
				cl.store.laggedInstances[id] = i
			}
			cl.node("a1").dead = true
			cl.startNode("b3")
		}),
	)

	It("neither confirms nor reverts a configuration on a stale read", Label("fault=platform-stale", "step=publish", "step=spread", "holds=config"), func() {
		cl.publish(func(*fleet.Config) {})
		cl.advance(propagationBound)
		confirmed := cl.node("a1").view.ConfirmedAt
		cl.store.staleGenerations = 1
		cl.advance(propagationBound)
		for _, n := range cl.nodes {
			Expect(n.view.Config.Generation).To(Equal(cl.head()))
			Expect(n.view.ConfirmedAt).To(BeTemporally("<=", confirmed.Add(time.Second)))
		}
	})

	It("keeps serving while the platform is down, except for new routers without a configuration", Label("fault=platform-down", "fault=router-replaced", "fault=two", "step=admit", "step=spread", "holds=config"), func() {
		cl.store.down = true
		cl.node("a1").dead = true
		cl.advance(time.Minute)
		Expect(generations()).To(HaveLen(3))
		late := cl.startNode("a3")
		cl.advance(propagationBound)
		Expect(cl.ready(late)).To(BeFalse(), "it has no configuration")
	})

	It("stops an isolated router from serving after it is unfrozen until it hears from others again", Label("fault=router-frozen", "step=admit", "holds=config"), func() {
		n := cl.node("b2")
		n.frozen = true
		cl.advance(10 * time.Second)
		Expect(cl.ready(n)).To(BeFalse(), "its view is too old")
		cl.publish(func(*fleet.Config) {})
		cl.advance(propagationBound)
		isolate("b2", true, true)
		cl.unfreeze(n)
		for range 100 {
			Expect(cl.ready(n)).To(BeFalse(), "the queued messages are stale")
			cl.advance(tickInterval)
		}
		Expect(cl.ready(n)).To(BeFalse())
		isolate("b2", false, false)
		cl.advance(propagationBound)
		Expect(cl.ready(n)).To(BeTrue())
		Expect(n.view.Config.Generation).To(Equal(cl.head()))
	})

	It("moves the platform reads of a zone to another router when the reading one dies", Label("fault=router-killed", "step=handover"), func() {
		Expect(cl.node("a1").view.ReadsPlatform).To(BeTrue())
		Expect(cl.node("a2").view.ReadsPlatform).To(BeFalse())
		cl.node("a1").dead = true
		cl.advance(propagationBound)
		Expect(cl.node("a2").view.ReadsPlatform).To(BeTrue())
	})

	DescribeTable("withdraws a release permanently on every router and stores it once the platform accepts writes",
		func(fault, heal func()) {
			fault()
			cl.advance(time.Second)
			cl.handle(cl.node("a2"), ctrl.Withdraw{Withdrawal: fleet.Withdrawal{Release: candidate, Reason: "bad", At: cl.now, By: "test"}})
			cl.advance(time.Second)
			for _, n := range cl.nodes {
				if cl.ready(n) {
					Expect(n.view.Allowed(candidate)).To(BeFalse(), "router %s", n.id)
				}
			}
			heal()
			cl.advance(2 * propagationBound)
			Expect(cl.store.withdrawn.List).To(ConsistOf(HaveField("Release", candidate)))
			reply, all := cl.node("a2").view.WithdrawalStatus(candidate)
			Expect(all).To(BeTrue(), "reported status: %+v", reply)
		},
		Entry("without a fault", Label("holds=withdrawn"), func() {}, func() {}),
		Entry("platform down", Label("fault=platform-down", "step=withdraw", "holds=withdrawn"), func() { cl.store.down = true }, func() { cl.store.down = false }),
		Entry("router cut off from the platform", Label("fault=platform-cut", "step=withdraw"), func() { cl.node("a2").platformCut = true }, func() { cl.node("a2").platformCut = false }),
		Entry("platform responses lost", Label("fault=platform-lost", "fault=platform-oneway", "step=withdraw"), func() { cl.store.loseReplies = true }, func() { cl.store.loseReplies = false }),
		Entry("stale reads", Label("fault=platform-stale", "step=withdraw"), func() { cl.publish(func(*fleet.Config) {}); cl.store.staleGenerations = 1 }, func() { cl.store.staleGenerations = 0 }),
		Entry("first router of the zone killed", Label("fault=router-killed", "step=withdraw"), func() { cl.node("a1").dead = true }, func() {}),
		Entry("messages duplicated", Label("fault=peer-slow", "step=withdraw"), func() { cl.duplicate = true }, func() {}),
		Entry("platform down and first router killed", Label("fault=two", "step=withdraw"), func() { cl.store.down = true; cl.node("a1").dead = true }, func() { cl.store.down = false }),
	)

	It("marks a leaving endpoint after its next report or the next list of instances", Label("fault=list-lags", "step=stop", "step=choose", "holds=leaving"), func() {
		load := cl.loads["e1"]
		load.Leaving = true
		cl.loads["e1"] = load
		cl.store.instances["e2"] = plat.Instance{ID: "e2", Leaving: true}
		cl.advance(propagationBound)
		for _, n := range cl.nodes {
			Expect(n.view.Endpoints["e1"].Leaving).To(BeTrue())
			Expect(n.view.Endpoints["e2"].Leaving).To(BeTrue())
		}
	})

	DescribeTable("announces a shutdown to all reachable peers immediately and continues without the stopping router",
		func(fault func()) {
			cl.loads["e1"] = engine.Load{Report: fleet.Report{Boot: "1"}}
			cl.advance(2 * propagationBound)
			fault()
			cl.handle(cl.node("a1"), ctrl.Stop{})
			Expect(cl.ready(cl.node("a1"))).To(BeFalse())
			Expect(cl.node("a1").view.Stopping).To(BeTrue())
			cl.advance(200 * time.Millisecond)
			for _, n := range cl.nodes[1:] {
				if n.dead || n.frozen || !cl.reaches(cl.node("a1"), n) {
					continue
				}
				Expect(n.view.Routers).To(ContainElement(And(HaveField("ID", ident.RouterID("a1")), HaveField("Leaving", true))), "router %s", n.id)
				Expect(n.view.RouterIDs()).NotTo(ContainElement(ident.RouterID("a1")))
			}
			cl.advance(20 * time.Second)
			Expect(generations()).NotTo(BeEmpty())
			Expect(generations()).NotTo(HaveKey(ident.RouterID("a1")))
			for zone, holder := range cl.node("a2").view.Stewards {
				Expect(holder).NotTo(BeEquivalentTo("a1"), "zone %s", zone)
			}
		},
		Entry("without a fault", Label("step=stop", "holds=stop"), func() {}),
		Entry("platform down", Label("fault=platform-down", "step=stop", "holds=stop"), func() { cl.store.down = true }),
		Entry("stopping router cut off from the platform", Label("fault=platform-cut", "step=stop"), func() { cl.node("a1").platformCut = true }),
		Entry("platform responses lost", Label("fault=platform-lost", "fault=platform-oneway", "step=stop"), func() { cl.store.loseReplies = true }),
		Entry("stale reads", Label("fault=platform-stale", "step=stop"), func() { cl.publish(func(*fleet.Config) {}); cl.store.staleGenerations = 1 }),
		Entry("messages duplicated", Label("fault=peer-slow", "step=stop"), func() { cl.duplicate = true }),
		Entry("a peer cut off from the stopping router", Label("fault=peer-cut", "step=stop"), func() {
			cl.cutLinks[[2]ident.RouterID{"a1", "b1"}] = true
			cl.cutLinks[[2]ident.RouterID{"b1", "a1"}] = true
		}),
		Entry("stopping router that sends but receives from no one", Label("fault=peer-oneway", "step=stop"), func() {
			for _, n := range cl.nodes {
				cl.cutLinks[[2]ident.RouterID{n.id, "a1"}] = true
			}
		}),
		Entry("another router killed", Label("fault=router-killed", "fault=two", "step=stop"), func() { cl.node("b1").dead = true }),
		Entry("another router frozen", Label("fault=router-frozen", "step=stop"), func() { cl.node("b1").frozen = true }),
		Entry("another router replaced", Label("fault=router-replaced", "step=stop"), func() { cl.node("b1").dead = true; cl.startNode("b3") }),
	)
})
