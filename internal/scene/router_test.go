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
	It("killed mid-stream lets its caller repeat the request, which is answered and billed once", func() {
		c := newCluster(nil).start()
		broken := sendChatAsync(c.routers[0], "q1", "long history", 200)
		c.awaitStreamingEngine("q1")
		c.routers[0].Kill().Wait(waitTimeout)
		Expect(awaitResponse(broken).Outcome).To(Equal(load.OutcomeInterrupted))
		again := sendChat(c.routers[1], "q1", "long history", 200)
		expectComplete(again)
		c.expectBilledOnce(again)
		Eventually(func() []stand.EngineRun {
			var running []stand.EngineRun
			for _, e := range c.engines {
				for _, r := range e.Record().Runs {
					if r.Outcome == stand.OutcomeRunning {
						running = append(running, r)
					}
				}
			}
			return running
		}).Should(BeEmpty(), "runs that the killed router left")
	})

	It("killed after the final frame has recorded the bill", func() {
		c := newCluster(nil).start()
		response := sendChat(c.routers[0], "q1", "short", 10)
		c.routers[0].Kill().Wait(waitTimeout)
		c.routers = c.routers[1:]
		expectComplete(response)
		c.expectBilledOnce(response)
	})

	It("stopped gracefully interrupts no stream and accepts no new requests", func() {
		c := newCluster(nil).start()
		stream := sendChatAsync(c.routers[0], "q1", "long history", 300)
		c.awaitStreamingEngine("q1")
		c.routers[0].Terminate()
		Eventually(func() error { return checkOK(c.routers[0].adminURL + "/readyz") }).ShouldNot(Succeed())
		late := sendChat(c.routers[0], "q2", "late", 5)
		Expect(late.Outcome).NotTo(Equal(load.OutcomeComplete))
		Expect(late.Status).To(BeElementOf(0, http.StatusServiceUnavailable))
		response := awaitResponse(stream)
		expectComplete(response)
		Eventually(c.routers[0]).Should(gexec.Exit(0))
		c.routers = c.routers[1:]
		c.expectBilledOnce(response)
	})

	It("suspended during a booking does not let it run twice, before or after it resumes", func() {
		c := newCluster(nil).start()
		c.booking.SetFaults(stand.PlainFaults{CallTime: stand.Delay(time.Second)})
		first := sendBookingAsync(c.routers[0], "k1")
		Eventually(func() map[string]int { return c.booking.Record().Keys }).Should(HaveKeyWithValue("k1", 1))
		c.routers[0].Signal(syscall.SIGSTOP)
		meanwhile := sendBooking(c.routers[1], "k1")
		Expect(meanwhile.Ran).NotTo(Equal("no"), "%+v", meanwhile)
		c.routers[0].Signal(syscall.SIGCONT)
		Eventually(first).Should(Receive(HaveField("Status", http.StatusOK)))
		retryBookingUntilOK(c.routers[2], "k1")
		c.expectBookedOnce("k1")
	})

	It("killed during a booking is never followed by a response of not run or a second execution", func() {
		c := newCluster(nil).start()
		c.booking.SetFaults(stand.PlainFaults{CallTime: stand.Delay(time.Second)})
		first := sendBookingAsync(c.routers[0], "k1")
		Eventually(func() map[string]int { return c.booking.Record().Keys }).Should(HaveKeyWithValue("k1", 1))
		c.routers[0].Kill().Wait(waitTimeout)
		Eventually(first).Should(Receive(HaveField("Err", HaveOccurred())))
		for _, r := range c.routers[1:] {
			again := sendBooking(r, "k1")
			Expect(again.Ran).To(Equal("unknown"), "%+v", again)
		}
		c.expectBookedOnce("k1")
	})

	It("whose caller goes away cancels the run", func() {
		c := newCluster(nil).start()
		cancel := startCancellableChat(c.routers[0], "q1")
		e := c.awaitStreamingEngine("q1")
		cancel()
		Eventually(func() []stand.EngineRun { return e.Record().Runs }).Should(ContainElement(HaveField("Outcome", stand.OutcomeCancelled)))
	})

	It("returns the result of one booking to callers that send it concurrently to every router", func() {
		c := newCluster(nil).start()
		var responses []<-chan bookingResponse
		for i := range 9 {
			responses = append(responses, sendBookingAsync(c.routers[i%3], "k1"))
		}
		for _, r := range responses {
			Eventually(r).Should(Receive(Not(HaveField("Ran", "no"))))
		}
		retryBookingUntilOK(c.routers[1], "k1")
		c.expectBookedOnce("k1")
	})
})
