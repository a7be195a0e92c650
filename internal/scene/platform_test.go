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
	It("that is down stops no chat, and bookings are truly not run until it is back", func() {
		w := newWorld(nil).start()
		w.store.SetFaults(stand.Faults{Down: true})
		var answers []load.Response
		for i := range 6 {
			answer := ask(w.routers[i%3], fmt.Sprintf("q%d", i), fmt.Sprintf("question %d", i), 10)
			expectWhole(answer)
			answers = append(answers, answer)
		}
		refused := book(w.routers[0], "k1")
		Expect(refused.Status).NotTo(Equal(http.StatusOK))
		Expect(w.booking.Record().Keys).To(BeEmpty())
		w.store.SetFaults(stand.Faults{})
		settledBooking(w.routers[1], "k1")
		w.expectBookedOnce("k1")
		w.expectBilledOnce(answers...)
	})

	It("that is down while a router dies loses no bill of an answer that it gave", Label("fault=platform-down", "fault=router-killed", "fault=two", "step=bill", "holds=bill"), func() {
		w := newWorld(nil).start()
		w.store.SetFaults(stand.Faults{Down: true})
		var answers []load.Response
		for i := range 5 {
			answer := ask(w.routers[0], fmt.Sprintf("q%d", i), fmt.Sprintf("question %d", i), 10)
			expectWhole(answer)
			answers = append(answers, answer)
		}
		w.routers[0].Kill().Wait(patience)
		w.routers = w.routers[1:]
		w.store.SetFaults(stand.Faults{})
		Eventually(func() int { return len(w.bills()) }, 2*patience).Should(BeNumerically(">=", len(answers)))
		w.expectBilledOnce(answers...)
	})

	It("that is down while a router is stopped loses no bill of an answer that it gave", Label("fault=platform-down", "fault=router-replaced", "fault=two", "step=stop", "step=bill", "holds=bill"), func() {
		w := newWorld(nil).start()
		w.store.SetFaults(stand.Faults{Down: true})
		answer := ask(w.routers[0], "q1", "question", 10)
		expectWhole(answer)
		w.routers[0].Terminate()
		Eventually(w.routers[0], 4*patience).Should(gexec.Exit(0))
		w.routers = w.routers[1:]
		w.store.SetFaults(stand.Faults{})
		Eventually(func() int { return len(w.bills()) }, 2*patience).Should(Equal(1))
		w.expectBilledOnce(answer)
	})

	It("that loses answers to writes doubles neither bookings nor bills", func() {
		w := newWorld(nil).start()
		w.store.SetFaults(stand.Faults{Share: 0.3})
		var answers []load.Response
		var keys []string
		for i := range 9 {
			key := fmt.Sprintf("k%d", i)
			keys = append(keys, key)
			settledBooking(w.routers[i%3], key)
			settledBooking(w.routers[(i+1)%3], key)
			answer := ask(w.routers[i%3], "q"+key, "question "+key, 10)
			expectWhole(answer)
			answers = append(answers, answer)
		}
		w.store.SetFaults(stand.Faults{})
		w.expectBookedOnce(keys...)
		w.expectBilledOnce(answers...)
	})

	It("that is down lets a new router serve only what its peers confirm", func() {
		w := newWorld(nil).start()
		w.store.SetFaults(stand.Faults{Down: true})
		r := w.addRouter("router-4", zones[0])
		answer := ask(r, "q1", "question", 10)
		if answer.Outcome == load.OutcomeComplete {
			expectWhole(answer)
			return
		}
		Expect(answer.Outcome).To(Equal(load.OutcomeRefused), "%v", answer.Err)
	})
})

var _ = Describe("Operators", func() {
	It("that take a zone out under load see no new work there after five seconds, and cut nothing", func() {
		w := newWorld(nil).start()
		plan := load.Plan{
			Rate:     20,
			Duration: 14 * time.Second,
			Seed:     5,
			Teams:    []load.Team{{ID: "roster", Key: teamKey, Weight: 1}},
			Mix:      []load.RequestKind{{Name: "quick", Model: "condor", Weight: 1, PromptBytes: 200, MaxTokens: 30}},
		}
		for _, r := range w.routers {
			plan.Targets = append(plan.Targets, r.caller)
		}
		var mutex sync.Mutex
		var answers []load.Response
		done := make(chan load.Result, 1)
		go func() {
			defer GinkgoRecover()
			result, err := load.NewRunner(client, func(a load.Response) {
				mutex.Lock()
				defer mutex.Unlock()
				answers = append(answers, a)
			}).Run(context.Background(), plan)
			Expect(err).NotTo(HaveOccurred())
			done <- result
		}()
		out := w.engines[2]
		Eventually(func() []stand.EngineRun { return out.Record().Runs }).ShouldNot(BeEmpty())
		asked := time.Now()
		w.operate("zone", "out", out.zone)
		var result load.Result
		Eventually(done, 3*patience).Should(Receive(&result))
		Expect(result.All.Completed).To(Equal(result.All.Arrived))
		for _, a := range answers {
			expectWhole(a)
		}
		for _, run := range out.Record().Runs {
			Expect(run.Started.Sub(asked)).To(BeNumerically("<", zoneLimit))
			// A hedge's slower attempt is cancelled once the other one answers.
			if run.Outcome == stand.OutcomeCancelled {
				Expect(w.wholeRuns(run.Request)).To(BeNumerically(">=", 1))
				continue
			}
			Expect(run.Outcome).To(Equal(stand.OutcomeWhole))
		}
	})

	It("that put a zone back see work there again", func() {
		w := newWorld(nil).start()
		back := w.engines[2]
		w.operate("zone", "out", back.zone)
		for i := range 30 {
			expectWhole(ask(w.routers[i%3], fmt.Sprintf("out-%d", i), fmt.Sprint("while out ", i), 5))
		}
		w.operate("zone", "in", back.zone)
		before := len(back.Record().Runs)
		for i := range 90 {
			expectWhole(ask(w.routers[i%3], fmt.Sprintf("back-%d", i), fmt.Sprint("back again ", i), 5))
		}
		Expect(len(back.Record().Runs)).To(BeNumerically(">", before))
	})

	It("that publish at once both win with other files, and only one with the same file", func() {
		w := newWorld(nil).start()
		trees := []string{GinkgoT().TempDir(), GinkgoT().TempDir()}
		publish := func(names []string, flags ...string) (codes []int) {
			var sessions []*gexec.Session
			for i, name := range names {
				w.tree = trees[i]
				w.write(name, fmt.Sprintf("[team.%s-%d]\nmodels = [\"condor\"]\n", name[:3], i))
				sessions = append(sessions, w.operator(append([]string{"publish", trees[i]}, flags...)...))
			}
			for _, s := range sessions {
				Eventually(s, 2*patience).Should(gexec.Exit())
				codes = append(codes, s.ExitCode())
			}
			return codes
		}
		Expect(publish([]string{"one.marigold.toml", "two.marigold.toml"})).To(Equal([]int{0, 0}))
		w.operate("explain", "--team", "one-0", "--model", "condor")
		w.operate("explain", "--team", "two-1", "--model", "condor")
		same := []string{"six.marigold.toml", "six.marigold.toml"}
		codes := publish(same, "--expect", w.generation())
		Expect(codes).To(ContainElement(0))
		Expect(codes).To(ContainElement(Not(BeZero())))
	})
})
