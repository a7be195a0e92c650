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
	It("that crashes mid-stream does not affect the response", func() {
		c := newCluster(nil).start()
		stream := sendChatAsync(c.routers[0], "q1", "long history", 200)
		c.awaitStreamingEngine("q1").SetFaults(stand.EngineFaults{Crash: true})
		response := awaitResponse(stream)
		expectComplete(response)
		c.expectBilledOnce(response)
	})

	It("that is the only one and crashes is awaited within the deadline", func() {
		c := newCluster(nil)
		c.engines = c.engines[:1]
		c.start()
		stream := sendChatAsync(c.routers[0], "q1", "long history", 200)
		c.awaitStreamingEngine("q1").SetFaults(stand.EngineFaults{Crash: true})
		response := awaitResponse(stream)
		expectComplete(response)
		c.expectBilledOnce(response)
	})

	DescribeTable("that corrupts its stream does not affect the responses", func(faults stand.EngineFaults) {
		c := newCluster(nil).start()
		for _, e := range c.engines {
			e.SetFaults(faults)
		}
		var responses []load.Response
		for i := range 6 {
			response := sendChat(c.routers[i%3], fmt.Sprintf("q%d", i), fmt.Sprintf("question %d", i), 40)
			expectComplete(response)
			responses = append(responses, response)
		}
		c.expectBilledOnce(responses...)
	},
		Entry("with duplicated, reordered and foreign frames", stand.EngineFaults{DuplicateShare: 0.3, ReorderShare: 0.3, ForeignShare: 0.3}),
		Entry("by truncating it", stand.EngineFaults{CutAfter: 7, FreshOnly: true}),
		Entry("by delaying frames", stand.EngineFaults{FrameDelay: stand.Delay(10 * time.Millisecond)}),
	)

	It("in cold start never receives more than its cold limit from all routers together", func() {
		c := newCluster(func(s *stand.EngineSpec) {
			s.ColdSlots = 2
			s.WarmRuns = 12
		}).start()
		var responses []<-chan load.Response
		for i := range 60 {
			responses = append(responses, sendChatAsync(c.routers[i%3], fmt.Sprintf("q%d", i), fmt.Sprintf("question %d", i), 20))
		}
		whole := 0
		for _, a := range responses {
			response := awaitResponse(a)
			if response.Outcome == load.OutcomeComplete {
				expectComplete(response)
				whole++
			}
		}
		c.expectNoOverload()
		Expect(whole).To(BeNumerically(">", 0))
	})

	It("is crashed by a poison request at most twice, repeats included", func() {
		c := newCluster(nil).start()
		for _, e := range c.engines {
			e.SetFaults(stand.EngineFaults{CrashText: "venom"})
		}
		for i := range 6 {
			response := sendChat(c.routers[i%3], fmt.Sprintf("p%d", i), "some venom", 5)
			Expect(response.Outcome).NotTo(Equal(load.OutcomeComplete))
		}
		crashes := 0
		for _, e := range c.engines {
			crashes += e.Record().Crashes
		}
		Expect(crashes).To(BeNumerically("<=", 2))
		expectComplete(sendChat(c.routers[1], "q1", "innocent", 5))
	})

	It("crashed by a poison request does not fail the other requests that run on it", func() {
		c := newCluster(nil).start()
		for _, e := range c.engines {
			e.SetFaults(stand.EngineFaults{CrashText: "venom"})
		}
		var concurrent []<-chan load.Response
		for i := range 9 {
			concurrent = append(concurrent, sendChatAsync(c.routers[i%3], fmt.Sprintf("n%d", i), fmt.Sprint("innocent ", i), 200))
		}
		for i := range 9 {
			c.awaitStreamingEngine(fmt.Sprintf("n%d", i))
		}
		for i := range 6 {
			sendChat(c.routers[i%3], fmt.Sprintf("p%d", i), "some venom", 5)
		}
		for _, n := range concurrent {
			expectComplete(awaitResponse(n))
		}
	})

	It("whose version is withdrawn receives no new work, and its sessions move and are told why", func() {
		c := newCluster(nil)
		c.writeConfig("rollout/marigoldscale.toml", "[rollout.condor]\nto = \"v4\"\nsteps = [{ share = 1.0, evidence = 100000 }]\n")
		next := stableRelease
		next.Version = "v4"
		bad := c.addEngine("condor-4", zones[0], next, nil)
		c.start()
		before := chatArrival(c.routers[0], "q1", "new session", 10)
		before.Session = "s1"
		first := sendArrival(before)
		expectComplete(first)
		Expect(first.Release).To(Equal("condor@v4"))
		c.runOperator("withdraw", "condor@v4", "--reason", "too slow")
		time.Sleep(zoneOutLimit)
		withdrawn := len(bad.Record().Runs)
		for i, r := range c.routers {
			after := chatArrival(r, fmt.Sprintf("q%d", i+2), "same session", 10)
			after.Session = "s1"
			response := sendArrival(after)
			expectComplete(response)
			Expect(response.Release).To(Equal("condor@v3"))
			if i == 0 {
				Expect(response.MoveReason).To(Equal("withdrawn"))
			}
		}
		Expect(bad.Record().Runs).To(HaveLen(withdrawn))
	})
})
