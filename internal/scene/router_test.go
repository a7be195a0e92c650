package scene_test

import (
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/marigoldscale/marigoldscale/internal/load"
	"github.com/marigoldscale/marigoldscale/internal/stand"
)

var _ = Describe("A router", func() {
	It("killed mid-stream leaves a caller that repeats, is answered and pays once", func() {
		w := newWorld(nil).start()
		broken := askLater(w.routers[0], "q1", "long history", 200)
		w.runningEngine("q1")
		w.routers[0].Kill().Wait(patience)
		Expect(receive(broken).Outcome).To(Equal(load.OutcomeInterrupted))
		again := ask(w.routers[1], "q1", "long history", 200)
		expectWhole(again)
		w.expectBilledOnce(again)
		Eventually(func() []stand.EngineRun {
			var running []stand.EngineRun
			for _, e := range w.engines {
				for _, r := range e.Record().Runs {
					if r.Outcome == stand.OutcomeRunning {
						running = append(running, r)
					}
				}
			}
			return running
		}).Should(BeEmpty(), "runs for the killed router")
	})

	It("killed after its final frame has billed", func() {
		w := newWorld(nil).start()
		answer := ask(w.routers[0], "q1", "short", 10)
		w.routers[0].Kill().Wait(patience)
		w.routers = w.routers[1:]
		expectWhole(answer)
		w.expectBilledOnce(answer)
	})

	It("stopped gracefully cuts no stream and takes nothing new", func() {
		w := newWorld(nil).start()
		stream := askLater(w.routers[0], "q1", "long history", 300)
		w.runningEngine("q1")
		w.routers[0].Terminate()
		Eventually(func() error { return get(w.routers[0].admin + "/readyz") }).ShouldNot(Succeed())
		late := ask(w.routers[0], "q2", "late", 5)
		Expect(late.Outcome).NotTo(Equal(load.OutcomeComplete))
		Expect(late.Status).To(BeElementOf(0, http.StatusServiceUnavailable))
		answer := receive(stream)
		expectWhole(answer)
		Eventually(w.routers[0]).Should(gexec.Exit(0))
		w.routers = w.routers[1:]
		w.expectBilledOnce(answer)
	})

	It("frozen in a booking does not let it run twice, before or after it thaws", func() {
		w := newWorld(nil).start()
		w.booking.SetFaults(stand.PlainFaults{Slow: stand.Delay(time.Second)})
		first := bookLater(w.routers[0], "k1")
		Eventually(func() map[string]int { return w.booking.Record().Keys }).Should(HaveKeyWithValue("k1", 1))
		w.routers[0].Signal(syscall.SIGSTOP)
		meanwhile := book(w.routers[1], "k1")
		Expect(meanwhile.Ran).NotTo(Equal("no"), "%+v", meanwhile)
		w.routers[0].Signal(syscall.SIGCONT)
		Eventually(first).Should(Receive(HaveField("Status", http.StatusOK)))
		settledBooking(w.routers[2], "k1")
		w.expectBookedOnce("k1")
	})

	It("killed in a booking never says that it did not run, and nobody runs it again", func() {
		w := newWorld(nil).start()
		w.booking.SetFaults(stand.PlainFaults{Slow: stand.Delay(time.Second)})
		first := bookLater(w.routers[0], "k1")
		Eventually(func() map[string]int { return w.booking.Record().Keys }).Should(HaveKeyWithValue("k1", 1))
		w.routers[0].Kill().Wait(patience)
		Eventually(first).Should(Receive(HaveField("Err", HaveOccurred())))
		for _, r := range w.routers[1:] {
			again := book(r, "k1")
			Expect(again.Ran).To(Equal("unknown"), "%+v", again)
		}
		w.expectBookedOnce("k1")
	})

	It("whose caller goes away cancels the run", func() {
		w := newWorld(nil).start()
		leave := leaver(w.routers[0], "q1")
		e := w.runningEngine("q1")
		leave()
		Eventually(func() []stand.EngineRun { return e.Record().Runs }).Should(ContainElement(HaveField("Outcome", stand.OutcomeCancelled)))
	})

	It("gives one booking's answer to callers that ask at once on every router", func() {
		w := newWorld(nil).start()
		var replies []<-chan reply
		for i := range 9 {
			replies = append(replies, bookLater(w.routers[i%3], "k1"))
		}
		for _, r := range replies {
			Eventually(r).Should(Receive(Not(HaveField("Ran", "no"))))
		}
		settledBooking(w.routers[1], "k1")
		w.expectBookedOnce("k1")
	})
})
