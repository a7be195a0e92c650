package scene_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/marigoldscale/marigoldscale/internal/load"
	"github.com/marigoldscale/marigoldscale/internal/stand"
)

var _ = Describe("The platform", func() {
	It("that is down does not affect chat, and bookings refused as not run are not executed until it recovers", func() {
		c := newCluster(nil).start()
		c.store.SetFaults(stand.StoreFaults{Down: true})
		var responses []load.Response
		for i := range 6 {
			response := sendChat(c.routers[i%3], fmt.Sprintf("q%d", i), fmt.Sprintf("question %d", i), 10)
			expectComplete(response)
			responses = append(responses, response)
		}
		refused := sendBooking(c.routers[0], "k1")
		Expect(refused.Status).NotTo(Equal(http.StatusOK))
		Expect(c.booking.Record().Keys).To(BeEmpty())
		c.store.SetFaults(stand.StoreFaults{})
		retryBookingUntilOK(c.routers[1], "k1")
		c.expectBookedOnce("k1")
		c.expectBilledOnce(responses...)
	})

	It("that is down while a router is killed loses no bill of a response that the router sent", Label("fault=platform-down", "fault=router-killed", "fault=two", "step=bill", "holds=bill"), func() {
		c := newCluster(nil).start()
		c.store.SetFaults(stand.StoreFaults{Down: true})
		var responses []load.Response
		for i := range 5 {
			response := sendChat(c.routers[0], fmt.Sprintf("q%d", i), fmt.Sprintf("question %d", i), 10)
			expectComplete(response)
			responses = append(responses, response)
		}
		c.routers[0].Kill().Wait(waitTimeout)
		c.routers = c.routers[1:]
		c.store.SetFaults(stand.StoreFaults{})
		Eventually(func() int { return len(c.readBills()) }, 2*waitTimeout).Should(BeNumerically(">=", len(responses)))
		c.expectBilledOnce(responses...)
	})

	It("that is down while a router is stopped loses no bill of a response that the router sent", Label("fault=platform-down", "fault=router-replaced", "fault=two", "step=stop", "step=bill", "holds=bill"), func() {
		c := newCluster(nil).start()
		c.store.SetFaults(stand.StoreFaults{Down: true})
		response := sendChat(c.routers[0], "q1", "question", 10)
		expectComplete(response)
		c.routers[0].Terminate()
		Eventually(c.routers[0], 4*waitTimeout).Should(gexec.Exit(0))
		c.routers = c.routers[1:]
		c.store.SetFaults(stand.StoreFaults{})
		Eventually(func() int { return len(c.readBills()) }, 2*waitTimeout).Should(Equal(1))
		c.expectBilledOnce(response)
	})

	It("that loses responses to writes causes no duplicate bookings or bills", func() {
		c := newCluster(nil).start()
		c.store.SetFaults(stand.StoreFaults{LostShare: 0.3})
		var responses []load.Response
		var keys []string
		for i := range 9 {
			key := fmt.Sprintf("k%d", i)
			keys = append(keys, key)
			retryBookingUntilOK(c.routers[i%3], key)
			retryBookingUntilOK(c.routers[(i+1)%3], key)
			response := sendChat(c.routers[i%3], "q"+key, "question "+key, 10)
			expectComplete(response)
			responses = append(responses, response)
		}
		c.store.SetFaults(stand.StoreFaults{})
		c.expectBookedOnce(keys...)
		c.expectBilledOnce(responses...)
	})

	It("that is down lets a new router serve only after its peers confirm the configuration", func() {
		c := newCluster(nil).start()
		c.store.SetFaults(stand.StoreFaults{Down: true})
		r := c.addRouter("router-4", zones[0])
		response := sendChat(r, "q1", "question", 10)
		if response.Outcome == load.OutcomeComplete {
			expectComplete(response)
			return
		}
		Expect(response.Outcome).To(Equal(load.OutcomeRefused), "%v", response.Err)
	})
})

var _ = Describe("Operators", func() {
	It("that take a zone out under load see no new work there after five seconds, and no interrupted requests", func() {
		c := newCluster(nil).start()
		plan := load.Plan{
			Rate:     20,
			Duration: 14 * time.Second,
			Seed:     5,
			Teams:    []load.Team{{ID: "roster", Key: teamKey, Weight: 1}},
			Mix:      []load.RequestKind{{Name: "quick", Model: "condor", Weight: 1, PromptBytes: 200, MaxTokens: 30}},
		}
		for _, r := range c.routers {
			plan.Targets = append(plan.Targets, r.callerURL)
		}
		var mutex sync.Mutex
		var responses []load.Response
		done := make(chan load.Result, 1)
		go func() {
			defer GinkgoRecover()
			result, err := load.NewRunner(loadClient, func(a load.Response) {
				mutex.Lock()
				defer mutex.Unlock()
				responses = append(responses, a)
			}).Run(context.Background(), plan)
			Expect(err).NotTo(HaveOccurred())
			done <- result
		}()
		out := c.engines[2]
		Eventually(func() []stand.EngineRun { return out.Record().Runs }).ShouldNot(BeEmpty())
		requestedAt := time.Now()
		c.runOperator("zone", "out", out.zone)
		var result load.Result
		Eventually(done, 3*waitTimeout).Should(Receive(&result))
		Expect(result.All.Completed).To(Equal(result.All.Arrived))
		for _, a := range responses {
			expectComplete(a)
		}
		for _, run := range out.Record().Runs {
			Expect(run.Started.Sub(requestedAt)).To(BeNumerically("<", zoneOutLimit))
			// The slower attempt of a hedged request is cancelled once the other one
			// is answered.
			if run.Outcome == stand.OutcomeCancelled {
				Expect(c.completeRuns(run.Request)).To(BeNumerically(">=", 1))
				continue
			}
			Expect(run.Outcome).To(Equal(stand.OutcomeComplete))
		}
	})

	It("that put a zone back in see new work there", func() {
		c := newCluster(nil).start()
		back := c.engines[2]
		c.runOperator("zone", "out", back.zone)
		for i := range 30 {
			expectComplete(sendChat(c.routers[i%3], fmt.Sprintf("out-%d", i), fmt.Sprint("while out ", i), 5))
		}
		c.runOperator("zone", "in", back.zone)
		before := len(back.Record().Runs)
		for i := range 90 {
			expectComplete(sendChat(c.routers[i%3], fmt.Sprintf("back-%d", i), fmt.Sprint("back again ", i), 5))
		}
		Expect(len(back.Record().Runs)).To(BeNumerically(">", before))
	})

	It("that publish concurrently both succeed with different files, and only one with the same file", func() {
		c := newCluster(nil).start()
		dirs := []string{GinkgoT().TempDir(), GinkgoT().TempDir()}
		publish := func(names []string, flags ...string) (codes []int) {
			var sessions []*gexec.Session
			for i, name := range names {
				c.configDir = dirs[i]
				c.writeConfig(name, fmt.Sprintf("[team.%s-%d]\nmodels = [\"condor\"]\n", name[:3], i))
				sessions = append(sessions, c.startOperator(append([]string{"publish", dirs[i]}, flags...)...))
			}
			for _, s := range sessions {
				Eventually(s, 2*waitTimeout).Should(gexec.Exit())
				codes = append(codes, s.ExitCode())
			}
			return codes
		}
		Expect(publish([]string{"one.marigold.toml", "two.marigold.toml"})).To(Equal([]int{0, 0}))
		c.runOperator("explain", "--team", "one-0", "--model", "condor")
		c.runOperator("explain", "--team", "two-1", "--model", "condor")
		same := []string{"six.marigold.toml", "six.marigold.toml"}
		codes := publish(same, "--expect", c.currentGeneration())
		Expect(codes).To(ContainElement(0))
		Expect(codes).To(ContainElement(Not(BeZero())))
	})
})
