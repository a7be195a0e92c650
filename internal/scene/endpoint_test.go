package scene_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/load"
	"github.com/marigoldscale/marigoldscale/internal/stand"
)

var _ = Describe("An engine", func() {
	It("that crashes mid-stream does not show in the answer", func() {
		w := newWorld(nil).start()
		stream := askLater(w.routers[0], "q1", "long history", 200)
		w.runningEngine("q1").SetFaults(stand.EngineFaults{Crash: true})
		answer := receive(stream)
		expectWhole(answer)
		w.expectBilledOnce(answer)
	})

	It("that crashes and was the only one is waited for within the deadline", func() {
		w := newWorld(nil)
		w.engines = w.engines[:1]
		w.start()
		stream := askLater(w.routers[0], "q1", "long history", 200)
		w.runningEngine("q1").SetFaults(stand.EngineFaults{Crash: true})
		answer := receive(stream)
		expectWhole(answer)
		w.expectBilledOnce(answer)
	})

	DescribeTable("that garbles its stream does not show in the answers", func(faults stand.EngineFaults) {
		w := newWorld(nil).start()
		for _, e := range w.engines {
			e.SetFaults(faults)
		}
		var answers []load.Response
		for i := range 6 {
			answer := ask(w.routers[i%3], fmt.Sprintf("q%d", i), fmt.Sprintf("question %d", i), 40)
			expectWhole(answer)
			answers = append(answers, answer)
		}
		w.expectBilledOnce(answers...)
	},
		Entry("with doubled, swapped and foreign frames", stand.EngineFaults{Double: 0.3, Swap: 0.3, Foreign: 0.3}),
		Entry("by a cut", stand.EngineFaults{Cut: 7, Fresh: true}),
		Entry("by late frames", stand.EngineFaults{Late: stand.Delay(10 * time.Millisecond)}),
	)

	It("that is cold never gets more than it can bear from all routers together", func() {
		w := newWorld(func(s *stand.EngineSpec) {
			s.Cold = 2
			s.WarmRuns = 12
		}).start()
		var answers []<-chan load.Response
		for i := range 60 {
			answers = append(answers, askLater(w.routers[i%3], fmt.Sprintf("q%d", i), fmt.Sprintf("question %d", i), 20))
		}
		whole := 0
		for _, a := range answers {
			answer := receive(a)
			if answer.Outcome == load.OutcomeComplete {
				expectWhole(answer)
				whole++
			}
		}
		w.expectNoFall()
		Expect(whole).To(BeNumerically(">", 0))
	})

	It("is crashed by a poisonous request at most twice, repeats included", func() {
		w := newWorld(nil).start()
		for _, e := range w.engines {
			e.SetFaults(stand.EngineFaults{Poison: "venom"})
		}
		for i := range 6 {
			answer := ask(w.routers[i%3], fmt.Sprintf("p%d", i), "some venom", 5)
			Expect(answer.Outcome).NotTo(Equal(load.OutcomeComplete))
		}
		crashes := 0
		for _, e := range w.engines {
			crashes += e.Record().Crashes
		}
		Expect(crashes).To(BeNumerically("<=", 2))
		expectWhole(ask(w.routers[1], "q1", "innocent", 5))
	})

	It("that a poisonous request crashes costs its neighbours no answer", func() {
		w := newWorld(nil).start()
		for _, e := range w.engines {
			e.SetFaults(stand.EngineFaults{Poison: "venom"})
		}
		var neighbours []<-chan load.Response
		for i := range 9 {
			neighbours = append(neighbours, askLater(w.routers[i%3], fmt.Sprintf("n%d", i), fmt.Sprint("innocent ", i), 200))
		}
		for i := range 9 {
			w.runningEngine(fmt.Sprintf("n%d", i))
		}
		for i := range 6 {
			ask(w.routers[i%3], fmt.Sprintf("p%d", i), "some venom", 5)
		}
		for _, n := range neighbours {
			expectWhole(receive(n))
		}
	})

	It("whose version is withdrawn gets nothing new, and its sessions move and hear of it", func() {
		w := newWorld(nil)
		w.write("rollout/marigoldscale.toml", "[rollout.condor]\nto = \"v4\"\nsteps = [{ share = 1.0, evidence = 100000 }]\n")
		next := stable
		next.Version = "v4"
		bad := w.addEngine("condor-4", zones[0], next, nil)
		w.start()
		before := question(w.routers[0], "q1", "new session", 10)
		before.Session = "s1"
		first := sent(before)
		expectWhole(first)
		Expect(first.Release).To(Equal("condor@v4"))
		w.operate("withdraw", "condor@v4", "--reason", "too slow")
		time.Sleep(zoneLimit)
		withdrawn := len(bad.Record().Runs)
		for i, r := range w.routers {
			after := question(r, fmt.Sprintf("q%d", i+2), "same session", 10)
			after.Session = "s1"
			answer := sent(after)
			expectWhole(answer)
			Expect(answer.Release).To(Equal("condor@v3"))
			if i == 0 {
				Expect(answer.MoveReason).To(Equal("withdrawn"))
			}
		}
		Expect(bad.Record().Runs).To(HaveLen(withdrawn))
	})
})
