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
	var cl *cluster
	good := roll.Outcome{FirstToken: 100 * time.Millisecond}
	bad := roll.Outcome{Failed: true}
	const evidence = 40

	BeforeEach(func() {
		cl = newCluster("a1", "a2", "a3", "b1")
		cl.publish(withRollout(fleet.RolloutStep{Share: 0.1, Evidence: evidence}, fleet.RolloutStep{Share: 0.5, Evidence: evidence}))
		cl.advance(8 * time.Second)
	})
	AfterEach(func() { Expect(cl.violations).To(BeEmpty()) })

	steps := func() map[ident.RouterID]int {
		found := map[ident.RouterID]int{}
		for _, n := range cl.nodes {
			if state, ok := n.view.Rollouts["condor"]; ok && !n.dead && !n.frozen {
				found[n.id] = state.Step
			}
		}
		return found
	}
	// traffic reports attempts to each running router so that together they reach
	// a step's required evidence.
	traffic := func(candidateOutcome roll.Outcome) {
		for range evidence / 2 {
			for _, n := range cl.nodes {
				cl.reportAttempt(n, candidate, candidateOutcome)
				cl.reportAttempt(n, stable, good)
			}
			cl.advance(tickInterval)
		}
		cl.advance(5 * time.Second)
	}

	It("is known to every router, whichever one reads the platform", Label("holds=session"), func() {
		Expect(steps()).To(Equal(map[ident.RouterID]int{"a1": 0, "a2": 0, "a3": 0, "b1": 0}))
	})

	DescribeTable("takes each step once and finishes",
		func(fault func()) {
			fault()
			for range 5 {
				traffic(good)
			}
			Expect(cl.store.stepsTaken()).To(Equal([]int{0, 1, 2}))
			Expect(steps()).To(HaveEach(2))
		},
		Entry("without a fault", func() {}),
		Entry("while a router dies", Label("fault=router-killed", "step=rollout"), func() { cl.node("a2").dead = true }),
		Entry("while three of four die", Label("fault=router-killed", "fault=two", "step=rollout"), func() {
			for _, id := range []ident.RouterID{"a1", "a2", "b1"} {
				cl.node(id).dead = true
			}
		}),
		Entry("while a router is frozen", Label("fault=router-frozen", "step=rollout"), func() { cl.node("b1").frozen = true }),
		Entry("while a router is replaced", Label("fault=router-replaced", "step=rollout"), func() { cl.node("a3").dead = true; cl.startNode("a4") }),
		Entry("while platform responses are lost", Label("fault=platform-lost", "fault=platform-oneway", "step=rollout"), func() { cl.store.loseReplies = true }),
		Entry("while peers are cut off from each other", Label("fault=peer-cut", "step=rollout"), func() {
			cl.cutLinks[[2]ident.RouterID{"a1", "b1"}] = true
			cl.cutLinks[[2]ident.RouterID{"b1", "a1"}] = true
		}),
		Entry("while all but one are cut off from the platform", Label("fault=platform-cut", "step=rollout"), func() {
			for _, id := range []ident.RouterID{"a2", "a3", "b1"} {
				cl.node(id).platformCut = true
			}
			cl.advance(time.Second)
			for _, id := range []ident.RouterID{"a2", "a3", "b1"} {
				cl.node(id).platformCut = false
			}
		}),
		Entry("while messages are duplicated", Label("fault=peer-slow", "step=rollout"), func() { cl.duplicate = true }),
	)

	It("takes no step while the platform is down and continues when it is up again", Label("fault=platform-down", "step=rollout"), func() {
		cl.store.down = true
		traffic(good)
		Expect(steps()).To(HaveEach(0))
		cl.store.down = false
		cl.advance(8 * time.Second)
		Expect(cl.store.stepsTaken()).To(Equal([]int{0, 1}))
	})

	DescribeTable("withdraws a bad version on the combined evidence, without the platform",
		func(fault func()) {
			fault()
			for range 3 {
				traffic(bad)
			}
			for _, n := range cl.nodes {
				if cl.ready(n) {
					Expect(n.view.Allowed(candidate)).To(BeFalse(), "router %s", n.id)
				}
			}
			Expect(cl.store.stepsTaken()).To(Equal([]int{0}))
		},
		Entry("platform up", Label("fault=version-bad", "step=rollout", "step=withdraw", "holds=withdrawn"), func() {}),
		Entry("platform down", Label("fault=version-bad", "fault=platform-down", "fault=two", "step=withdraw"), func() { cl.store.down = true }),
		Entry("a router killed", Label("fault=version-bad", "fault=router-killed", "fault=two", "step=withdraw"), func() { cl.node("a1").dead = true }),
	)

	It("enforces a step's session limit across all routers", Label("fault=router-replaced", "step=rollout"), func() {
		const limit = 20
		cl.publish(withRollout(fleet.RolloutStep{Share: 1, Sessions: limit, Evidence: 1000}))
		cl.advance(8 * time.Second)
		exposed := 0
		expose := func(d time.Duration) {
			for until := cl.now.Add(d); cl.now.Before(until); cl.advance(tickInterval) {
				for _, n := range cl.nodes {
					if cl.ready(n) && n.view.Quotas["condor"].Take() {
						exposed++
						cl.handle(n, ctrl.SessionExposed{Release: candidate, Team: "ledger"})
					}
				}
			}
		}
		expose(100 * time.Millisecond)
		cl.advance(time.Second)
		cl.node("a2").dead = true
		cl.startNode("a4")
		expose(10 * time.Second)
		Expect(exposed).To(And(BeNumerically("<=", limit), BeNumerically(">", limit/2)))
	})
})
