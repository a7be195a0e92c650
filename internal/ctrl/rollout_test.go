package ctrl_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var _ = Describe("A roll-out over several routers", func() {
	var w *world
	good := roll.Outcome{FirstToken: 100 * time.Millisecond}
	bad := roll.Outcome{Failed: true}
	const evidence = 40

	BeforeEach(func() {
		w = newWorld("a1", "a2", "a3", "b1")
		w.publish(rolling(fleet.Step{Share: 0.1, Evidence: evidence}, fleet.Step{Share: 0.5, Evidence: evidence}))
		w.run(8 * time.Second)
	})
	AfterEach(func() { Expect(w.fails).To(BeEmpty()) })

	steps := func() map[ident.RouterID]int {
		found := map[ident.RouterID]int{}
		for _, n := range w.nodes {
			if state, ok := n.view.Rollouts["condor"]; ok && !n.dead && !n.frozen {
				found[n.id] = state.Step
			}
		}
		return found
	}
	// traffic gives each living router its part of a step's evidence.
	traffic := func(candidateOutcome roll.Outcome) {
		for range evidence / 2 {
			for _, n := range w.nodes {
				w.attempted(n, candidate, candidateOutcome)
				w.attempted(n, stable, good)
			}
			w.run(step)
		}
		w.run(5 * time.Second)
	}

	It("is known to each of them, whoever reads the platform", Label("holds=session"), func() {
		Expect(steps()).To(Equal(map[ident.RouterID]int{"a1": 0, "a2": 0, "a3": 0, "b1": 0}))
	})

	DescribeTable("takes each step once, and ends",
		func(fault func()) {
			fault()
			for range 5 {
				traffic(good)
			}
			Expect(w.store.stepsTaken()).To(Equal([]int{0, 1, 2}))
			Expect(steps()).To(HaveEach(2))
		},
		Entry("without a fault", func() {}),
		Entry("while a router dies", Label("fault=router-killed", "step=rollout"), func() { w.node("a2").dead = true }),
		Entry("while three of four die", Label("fault=router-killed", "fault=two", "step=rollout"), func() {
			for _, id := range []ident.RouterID{"a1", "a2", "b1"} {
				w.node(id).dead = true
			}
		}),
		Entry("while a router is frozen", Label("fault=router-frozen", "step=rollout"), func() { w.node("b1").frozen = true }),
		Entry("while a router is replaced", Label("fault=router-replaced", "step=rollout"), func() { w.node("a3").dead = true; w.begin("a4") }),
		Entry("while answers of the platform are lost", Label("fault=platform-lost", "fault=platform-oneway", "step=rollout"), func() { w.store.lose = true }),
		Entry("while peers are cut off from each other", Label("fault=peer-cut", "step=rollout"), func() {
			w.cut[[2]ident.RouterID{"a1", "b1"}] = true
			w.cut[[2]ident.RouterID{"b1", "a1"}] = true
		}),
		Entry("while all but one are cut off from the platform", Label("fault=platform-cut", "step=rollout"), func() {
			for _, id := range []ident.RouterID{"a2", "a3", "b1"} {
				w.node(id).apart = true
			}
			w.run(time.Second)
			for _, id := range []ident.RouterID{"a2", "a3", "b1"} {
				w.node(id).apart = false
			}
		}),
		Entry("while messages are doubled", Label("fault=peer-slow", "step=rollout"), func() { w.doubled = true }),
	)

	It("takes no step while the platform is down, and goes on when it is back", Label("fault=platform-down", "step=rollout"), func() {
		w.store.down = true
		traffic(good)
		Expect(steps()).To(HaveEach(0))
		w.store.down = false
		w.run(8 * time.Second)
		Expect(w.store.stepsTaken()).To(Equal([]int{0, 1}))
	})

	DescribeTable("withdraws a bad version on the evidence of all, without the platform",
		func(fault func()) {
			fault()
			for range 3 {
				traffic(bad)
			}
			for _, n := range w.nodes {
				if w.ready(n) {
					Expect(n.view.Allowed(candidate)).To(BeFalse(), "router %s", n.id)
				}
			}
			Expect(w.store.stepsTaken()).To(Equal([]int{0}))
		},
		Entry("platform well", Label("fault=version-bad", "step=rollout", "step=withdraw", "holds=withdrawn"), func() {}),
		Entry("platform down", Label("fault=version-bad", "fault=platform-down", "fault=two", "step=withdraw"), func() { w.store.down = true }),
		Entry("a router killed", Label("fault=version-bad", "fault=router-killed", "fault=two", "step=withdraw"), func() { w.node("a1").dead = true }),
	)

	It("keeps a step's session limit over all routers", Label("fault=router-replaced", "step=rollout"), func() {
		const limit = 20
		w.publish(rolling(fleet.Step{Share: 1, Sessions: limit, Evidence: 1000}))
		w.run(8 * time.Second)
		exposed := 0
		expose := func(d time.Duration) {
			for until := w.now.Add(d); w.now.Before(until); w.run(step) {
				for _, n := range w.nodes {
					if w.ready(n) && n.view.Quotas["condor"].Take() {
						exposed++
						w.tell(n, ctrl.Exposed{Release: candidate, Team: "ledger"})
					}
				}
			}
		}
		expose(100 * time.Millisecond)
		w.run(time.Second)
		w.node("a2").dead = true
		w.begin("a4")
		expose(10 * time.Second)
		Expect(exposed).To(And(BeNumerically("<=", limit), BeNumerically(">", limit/2)))
	})
})
