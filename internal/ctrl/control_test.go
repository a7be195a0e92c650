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

// inForce is the time within which a change must be in force everywhere.
const propagationBound = 5 * time.Second

var _ = Describe("Several control machines", func() {
	var w *cluster

	BeforeEach(func() {
		w = newCluster("a1", "a2", "b1", "b2")
		w.advance(3 * time.Second)
	})
	AfterEach(func() { Expect(w.violations).To(BeEmpty()) })

	generations := func() map[ident.RouterID]ident.Generation {
		found := map[ident.RouterID]ident.Generation{}
		for _, n := range w.nodes {
			if w.ready(n) {
				found[n.id] = n.view.Config.Generation
			}
		}
		return found
	}
	isolate := func(id ident.RouterID, peers, platform bool) {
		for _, n := range w.nodes {
			w.cutLinks[[2]ident.RouterID{id, n.id}] = peers
			w.cutLinks[[2]ident.RouterID{n.id, id}] = peers
		}
		w.node(id).platformCut = platform
	}

	DescribeTable("put a configuration in force at all that serve, and never an older one",
		func(fault func()) {
			Expect(generations()).To(HaveLen(4))
			fault()
			w.advance(500 * time.Millisecond)
			for _, out := range []bool{true, false} {
				w.publish(func(c *fleet.Config) { c.Zones["a"].Out = out })
				w.advance(propagationBound)
				for id, g := range generations() {
					Expect(g).To(Equal(w.head()), "router %s serves", id)
					Expect(w.node(id).view.ZoneOut("a")).To(Equal(out))
				}
				Expect(generations()).NotTo(BeEmpty())
			}
			w.advance(10 * time.Second)
		},
		Entry("without a fault", Label("holds=config", "holds=zone"), func() {}),
		Entry("a router killed", Label("fault=router-killed", "step=spread", "step=publish", "step=zone-out", "step=zone-in", "holds=config"), func() { w.node("a1").dead = true }),
		Entry("a router frozen", Label("fault=router-frozen", "step=spread", "step=publish", "step=zone-out", "step=zone-in", "holds=config"), func() { w.node("a1").frozen = true }),
		Entry("a router replaced", Label("fault=router-replaced", "step=spread", "step=publish", "step=zone-out", "step=zone-in", "holds=config"), func() {
			w.node("a1").dead = true
			w.startNode("a3")
		}),
		Entry("three of four cut off from the platform", Label("fault=platform-cut", "step=spread", "step=publish", "step=zone-out", "step=zone-in", "holds=config"), func() {
			for _, id := range []ident.RouterID{"a1", "a2", "b1"} {
				w.node(id).platformCut = true
			}
		}),
		Entry("one cut off from its peers", Label("fault=peer-cut", "step=spread", "step=publish", "step=zone-out", "step=zone-in"), func() { isolate("b2", true, false) }),
		Entry("one cut off from everyone", Label("fault=peer-cut", "fault=platform-cut", "fault=two", "step=spread", "step=zone-out", "step=zone-in", "holds=config", "holds=zone"), func() { isolate("b2", true, true) }),
		Entry("one that hears peers, but reaches nobody", Label("fault=peer-oneway", "fault=two", "step=spread", "step=zone-out", "step=zone-in", "holds=config"), func() {
			for _, n := range w.nodes {
				w.cutLinks[[2]ident.RouterID{"b2", n.id}] = true
			}
			w.node("b2").platformCut = true
		}),
		Entry("one that speaks to peers, but hears nobody", Label("fault=peer-oneway", "fault=two", "step=spread", "step=zone-out", "step=zone-in", "holds=config"), func() {
			for _, n := range w.nodes {
				w.cutLinks[[2]ident.RouterID{n.id, "b2"}] = true
			}
			w.node("b2").platformCut = true
		}),
		Entry("two that only reach each other, and hear a third", Label("fault=peer-oneway", "fault=two", "step=spread", "step=zone-out", "step=zone-in", "holds=config"), func() {
			for _, id := range []ident.RouterID{"b1", "b2"} {
				w.cutLinks[[2]ident.RouterID{id, "a1"}] = true
				w.cutLinks[[2]ident.RouterID{id, "a2"}] = true
				w.node(id).platformCut = true
			}
		}),
		Entry("messages doubled", Label("fault=peer-slow", "step=spread"), func() { w.duplicate = true }),
		Entry("answers of the platform lost", Label("fault=platform-lost", "fault=platform-oneway", "step=spread", "step=publish"), func() { w.store.loseReplies = true }),
		Entry("a list of instances that stays as it was", Label("fault=list-lags", "step=spread", "step=publish", "step=zone-out", "step=zone-in"), func() {
			w.store.laggedInstances = map[string]plat.Instance{}
			for id, i := range w.store.instances {
				w.store.laggedInstances[id] = i
			}
			w.node("a1").dead = true
			w.startNode("b3")
		}),
	)

	It("confirm nothing by a stale read, and go back to no older generation", Label("fault=platform-stale", "step=publish", "step=spread", "holds=config"), func() {
		w.publish(func(*fleet.Config) {})
		w.advance(propagationBound)
		confirmed := w.node("a1").view.Confirmed
		w.store.staleGenerations = 1
		w.advance(propagationBound)
		for _, n := range w.nodes {
			Expect(n.view.Config.Generation).To(Equal(w.head()))
			Expect(n.view.Confirmed).To(BeTemporally("<=", confirmed.Add(time.Second)))
		}
	})

	It("go on while the platform is down, and none starts to serve without a configuration", Label("fault=platform-down", "fault=router-replaced", "fault=two", "step=admit", "step=spread", "holds=config"), func() {
		w.store.down = true
		w.node("a1").dead = true
		w.advance(time.Minute)
		Expect(generations()).To(HaveLen(3))
		late := w.startNode("a3")
		w.advance(propagationBound)
		Expect(w.ready(late)).To(BeFalse(), "it knows nobody")
	})

	It("serve no more alone once a router is thawed, until it has heard anew", Label("fault=router-frozen", "step=admit", "holds=config"), func() {
		n := w.node("b2")
		n.frozen = true
		w.advance(10 * time.Second)
		Expect(w.ready(n)).To(BeFalse(), "its view is too old")
		w.publish(func(*fleet.Config) {})
		w.advance(propagationBound)
		isolate("b2", true, true)
		w.unfreeze(n)
		for range 100 {
			Expect(w.ready(n)).To(BeFalse(), "what it missed is old")
			w.advance(tickInterval)
		}
		Expect(w.ready(n)).To(BeFalse())
		isolate("b2", false, false)
		w.advance(propagationBound)
		Expect(w.ready(n)).To(BeTrue())
		Expect(n.view.Config.Generation).To(Equal(w.head()))
	})

	It("have another router read for the zone when one dies", Label("fault=router-killed", "step=handover"), func() {
		Expect(w.node("a1").view.ReadsPlatform).To(BeTrue())
		Expect(w.node("a2").view.ReadsPlatform).To(BeFalse())
		w.node("a1").dead = true
		w.advance(propagationBound)
		Expect(w.node("a2").view.ReadsPlatform).To(BeTrue())
	})

	DescribeTable("withdraw everywhere and for good, and write it when they can",
		func(fault, heal func()) {
			fault()
			w.advance(time.Second)
			w.handle(w.node("a2"), ctrl.Withdraw{Withdrawal: fleet.Withdrawal{Release: candidate, Reason: "bad", At: w.now, By: "test"}})
			w.advance(time.Second)
			for _, n := range w.nodes {
				if w.ready(n) {
					Expect(n.view.Allowed(candidate)).To(BeFalse(), "router %s", n.id)
				}
			}
			heal()
			w.advance(2 * propagationBound)
			Expect(w.store.withdrawn.List).To(ConsistOf(HaveField("Release", candidate)))
			reply, all := w.node("a2").view.WithdrawalStatus(candidate)
			Expect(all).To(BeTrue(), "what its router says: %+v", reply)
		},
		Entry("without a fault", Label("holds=withdrawn"), func() {}, func() {}),
		Entry("platform down", Label("fault=platform-down", "step=withdraw", "holds=withdrawn"), func() { w.store.down = true }, func() { w.store.down = false }),
		Entry("platform cut off", Label("fault=platform-cut", "step=withdraw"), func() { w.node("a2").platformCut = true }, func() { w.node("a2").platformCut = false }),
		Entry("answers lost", Label("fault=platform-lost", "fault=platform-oneway", "step=withdraw"), func() { w.store.loseReplies = true }, func() { w.store.loseReplies = false }),
		Entry("stale reads", Label("fault=platform-stale", "step=withdraw"), func() { w.publish(func(*fleet.Config) {}); w.store.staleGenerations = 1 }, func() { w.store.staleGenerations = 0 }),
		Entry("first router of the zone killed", Label("fault=router-killed", "step=withdraw"), func() { w.node("a1").dead = true }, func() {}),
		Entry("messages doubled", Label("fault=peer-slow", "step=withdraw"), func() { w.duplicate = true }, func() {}),
		Entry("platform down, and the first router killed", Label("fault=two", "step=withdraw"), func() { w.store.down = true; w.node("a1").dead = true }, func() { w.store.down = false }),
	)

	It("give an endpoint that leaves no new work after the next report or list", Label("fault=list-lags", "step=stop", "step=choose", "holds=leaving"), func() {
		load := w.loads["e1"]
		load.Leaving = true
		w.loads["e1"] = load
		w.store.instances["e2"] = plat.Instance{ID: "e2", Leaving: true}
		w.advance(propagationBound)
		for _, n := range w.nodes {
			Expect(n.view.Endpoints["e1"].Leaving).To(BeTrue())
			Expect(n.view.Endpoints["e2"].Leaving).To(BeTrue())
		}
	})

	DescribeTable("tell all peers in reach at once of a stop, and go on without the one that stops",
		func(fault func()) {
			w.loads["e1"] = engine.Load{Report: fleet.Report{Boot: "1"}}
			w.advance(2 * propagationBound)
			fault()
			w.handle(w.node("a1"), ctrl.Stop{})
			Expect(w.ready(w.node("a1"))).To(BeFalse())
			Expect(w.node("a1").view.Stopping).To(BeTrue())
			w.advance(200 * time.Millisecond)
			for _, n := range w.nodes[1:] {
				if n.dead || n.frozen || !w.reaches(w.node("a1"), n) {
					continue
				}
				Expect(n.view.Routers).To(ContainElement(And(HaveField("ID", ident.RouterID("a1")), HaveField("Leaving", true))), "router %s", n.id)
				Expect(n.view.RouterIDs()).NotTo(ContainElement(ident.RouterID("a1")))
			}
			w.advance(20 * time.Second)
			Expect(generations()).NotTo(BeEmpty())
			Expect(generations()).NotTo(HaveKey(ident.RouterID("a1")))
			for zone, holder := range w.node("a2").view.Stewards {
				Expect(holder).NotTo(BeEquivalentTo("a1"), "zone %s", zone)
			}
		},
		Entry("without a fault", Label("step=stop", "holds=stop"), func() {}),
		Entry("platform down", Label("fault=platform-down", "step=stop", "holds=stop"), func() { w.store.down = true }),
		Entry("it is cut off from the platform", Label("fault=platform-cut", "step=stop"), func() { w.node("a1").platformCut = true }),
		Entry("the platform's answers are lost", Label("fault=platform-lost", "fault=platform-oneway", "step=stop"), func() { w.store.loseReplies = true }),
		Entry("stale reads", Label("fault=platform-stale", "step=stop"), func() { w.publish(func(*fleet.Config) {}); w.store.staleGenerations = 1 }),
		Entry("messages doubled", Label("fault=peer-slow", "step=stop"), func() { w.duplicate = true }),
		Entry("a peer cut off from it", Label("fault=peer-cut", "step=stop"), func() {
			w.cutLinks[[2]ident.RouterID{"a1", "b1"}] = true
			w.cutLinks[[2]ident.RouterID{"b1", "a1"}] = true
		}),
		Entry("it is heard, but hears nobody", Label("fault=peer-oneway", "step=stop"), func() {
			for _, n := range w.nodes {
				w.cutLinks[[2]ident.RouterID{n.id, "a1"}] = true
			}
		}),
		Entry("another router killed", Label("fault=router-killed", "fault=two", "step=stop"), func() { w.node("b1").dead = true }),
		Entry("another router frozen", Label("fault=router-frozen", "step=stop"), func() { w.node("b1").frozen = true }),
		Entry("another router replaced", Label("fault=router-replaced", "step=stop"), func() { w.node("b1").dead = true; w.startNode("b3") }),
	)
})
