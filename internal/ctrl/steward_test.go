package ctrl_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var _ = Describe("A cold endpoint", func() {
	var w *world
	asks := 0

	// ask has a router ask the steward that it knows of for a slot.
	ask := func(n *node) {
		if n.dead || n.frozen || n.view == nil {
			return
		}
		steward := w.node(n.view.Stewards["a"])
		if steward == nil || steward != n && !(w.reaches(n, steward) && w.reaches(steward, n)) {
			return
		}
		asks++
		attempt := ident.AttemptID(fmt.Sprintf("%s.%d", n.id, asks))
		w.tell(steward, ctrl.AskPermit{Zone: "a", Asked: permit.Request{Router: n.id, Attempt: attempt, Endpoint: "e1"}})
	}
	storm := func(d time.Duration) {
		for until := w.now.Add(d); w.now.Before(until); w.run(10 * step) {
			for _, n := range w.nodes {
				ask(n)
			}
		}
	}
	holder := func() *node { return w.node(w.store.leases["a"].Lease.Holder) }

	BeforeEach(func() {
		w = newWorld("a1", "a2", "b1", "b2")
		w.loads["e1"] = engine.Load{Report: fleet.Report{Boot: "1"}}
		w.run(12 * time.Second)
		Expect(holder()).NotTo(BeNil())
	})
	AfterEach(func() { Expect(w.fails).To(BeEmpty()) })

	DescribeTable("bears one request, however many routers ask, and gets work again",
		func(fault, heal func()) {
			storm(5 * time.Second)
			Expect(w.granted).To(HaveLen(1))
			fault()
			storm(30 * time.Second)
			heal()
			storm(40 * time.Second)
			Expect(len(w.granted)).To(BeNumerically(">", 1))
		},
		Entry("without a fault", Label("holds=cold"), func() {}, func() {}),
		Entry("steward killed", Label("fault=router-killed", "fault=endpoint-cold", "step=choose", "step=handover", "holds=cold"), func() { holder().dead = true }, func() {}),
		Entry("steward frozen and thawed", Label("fault=router-frozen", "fault=lease-lapsed", "step=choose", "step=handover", "step=dispatch", "holds=cold"), func() { holder().frozen = true }, func() {
			for _, n := range w.nodes {
				if n.frozen {
					w.thaw(n)
				}
			}
		}),
		Entry("steward cut off from the platform", Label("fault=platform-cut", "step=choose", "step=handover"), func() { holder().apart = true }, func() {}),
		Entry("platform down", Label("fault=platform-down", "step=choose", "step=handover"), func() { w.store.down = true }, func() { w.store.down = false }),
		Entry("platform's answers lost", Label("fault=platform-lost", "fault=platform-oneway", "step=handover"), func() { w.store.lose = true }, func() { w.store.lose = false }),
		Entry("steward stops", Label("step=stop", "holds=stop"), func() { w.tell(holder(), ctrl.Stop{}) }, func() {}),
		Entry("steward cut off from its peers", Label("fault=peer-cut", "step=choose", "step=handover"), func() {
			id := holder().id
			for _, n := range w.nodes {
				w.cut[[2]ident.RouterID{id, n.id}] = true
				w.cut[[2]ident.RouterID{n.id, id}] = true
			}
		}, func() { clear(w.cut) }),
		Entry("steward replaced while the platform loses answers", Label("fault=router-replaced", "fault=two", "step=choose", "step=handover"), func() {
			holder().dead = true
			w.begin("a3")
			w.store.lose = true
		}, func() { w.store.lose = false }),
		Entry("endpoint turns cold again", Label("fault=endpoint-cold", "fault=endpoint-crashed", "step=choose", "holds=cold"), func() {
			w.loads["e1"] = engine.Load{Report: fleet.Report{Boot: "2"}}
		}, func() {}),
	)

	It("gets nothing without a steward in reach", Label("fault=platform-down", "fault=router-killed", "fault=two", "step=choose", "holds=cold"), func() {
		w.store.down = true
		holder().dead = true
		w.run(10 * time.Second)
		for _, n := range w.nodes {
			if n.dead {
				continue
			}
			Expect(n.view.Stewards["a"]).To(BeEmpty())
			w.tell(n, ctrl.AskPermit{Zone: "a", Asked: permit.Request{Router: n.id, Attempt: ident.AttemptID(n.id), Endpoint: "e1"}})
			Expect(n.denied).To(ContainElement(permit.ReasonNotSteward))
		}
		Expect(w.granted).To(BeEmpty())
	})

	It("is given no steward that is about to stop", Label("step=stop", "step=handover"), func() {
		w = newWorld("a1")
		w.run(step)
		w.tell(w.node("a1"), ctrl.Stop{})
		w.run(30 * time.Second)
		Expect(w.store.leases["a"].Lease.Holder).To(BeEmpty())
	})
})

var _ = Describe("A body that crashes endpoints", func() {
	// home gives the router that decides on the body, by one router's view.
	const body = ident.Fingerprint(7)

	DescribeTable("is refused by all after the second, whichever router's endpoints it crashed",
		func(fault func(*world)) {
			w := newWorld("a1", "a2", "b1", "b2")
			w.run(3 * time.Second)
			for i, id := range []ident.RouterID{"a1", "b1"} {
				w.tell(w.node(id), ctrl.EndClaim{Ended: poison.Ended{
					Fingerprint: body, Attempt: ident.AttemptID(id),
					Died: &poison.Boot{Endpoint: ident.EndpointID(fmt.Sprint("e", i)), Boot: "1"},
				}})
				if i == 0 {
					fault(w)
				}
				w.run(500 * time.Millisecond)
			}
			for _, n := range w.nodes {
				if !w.ready(n) {
					continue
				}
				w.tell(n, ctrl.AskClaim{Claim: poison.Claim{Fingerprint: body, Router: n.id, Attempt: "x"}})
				Expect(n.claims).To(ContainElement(HaveField("Answer", poison.Refuse{})), "router %s", n.id)
				Expect(n.view.Poison).To(HaveKeyWithValue(body, fleet.SuspicionRefused))
			}
			Expect(w.fails).To(BeEmpty())
		},
		Entry("without a fault", Label("fault=poison", "fault=endpoint-crashed", "step=choose", "step=dispatch"), func(*world) {}),
		Entry("platform down", Label("fault=poison", "fault=platform-down", "fault=two", "step=choose"), func(w *world) { w.store.down = true }),
		Entry("a router killed", Label("fault=poison", "fault=router-killed", "fault=two", "step=choose"), func(w *world) {
			w.run(500 * time.Millisecond)
			w.node("a1").dead = true
		}),
		Entry("a router replaced", Label("fault=poison", "fault=router-replaced", "fault=two", "step=choose"), func(w *world) {
			w.begin("a3")
			w.run(2 * time.Second)
		}),
		Entry("two routers cut off from each other", Label("fault=poison", "fault=peer-cut", "fault=two", "step=choose"), func(w *world) {
			w.run(500 * time.Millisecond)
			w.cut[[2]ident.RouterID{"a1", "b1"}] = true
			w.cut[[2]ident.RouterID{"b1", "a1"}] = true
		}),
	)
})
