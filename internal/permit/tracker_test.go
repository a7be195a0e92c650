package permit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/permit"
)

var start = time.Unix(2_000_000, 0)

var _ = Describe("Tracker", func() {
	p := permit.Permit{Endpoint: "e", Router: "r", Attempt: "a", StartTimeout: time.Second, RunTimeout: 10 * time.Second}

	It("allows one send, within the start timeout counted from the request", func() {
		tracker := permit.NewTracker("r", time.Second)
		tracker.Request(start, "a", "e")
		Expect(tracker.MarkSent(start, "a")).To(BeFalse(), "no permit yet")
		Expect(tracker.ApplyPermit(start.Add(500*time.Millisecond), p)).To(BeTrue())
		Expect(tracker.MarkSent(start.Add(time.Second), "a")).To(BeFalse(), "paused between permit and send")
		Expect(tracker.MarkSent(start.Add(900*time.Millisecond), "a")).To(BeTrue())
		Expect(tracker.MarkSent(start.Add(900*time.Millisecond), "a")).To(BeFalse(), "already sent")
	})

	It("rejects permits that are late, unrequested or for another endpoint", func() {
		tracker := permit.NewTracker("r", time.Second)
		Expect(tracker.ApplyPermit(start, p)).To(BeFalse(), "never requested")
		tracker.Request(start, "a", "e")
		other := p
		other.Endpoint = "f"
		Expect(tracker.ApplyPermit(start, other)).To(BeFalse())
		Expect(tracker.ApplyPermit(start.Add(time.Second), p)).To(BeFalse())
	})

	It("ends attempts before their permits expire, unless extended", func() {
		tracker := permit.NewTracker("r", time.Second)
		tracker.Request(start, "a", "e")
		tracker.ApplyPermit(start, p)
		tracker.MarkSent(start, "a")
		Expect(tracker.Expiring(start.Add(7*time.Second), time.Second)).To(BeEmpty())
		Expect(tracker.Expiring(start.Add(8*time.Second), time.Second)).To(HaveLen(1))
		tracker.Request(start.Add(8*time.Second), "a", "e")
		Expect(tracker.ApplyPermit(start.Add(8*time.Second), p)).To(BeTrue())
		Expect(tracker.Expiring(start.Add(17*time.Second), 0)).To(BeEmpty())
		Expect(tracker.Expiring(start.Add(18*time.Second), 0)).To(HaveLen(1))
		released, ok := tracker.Release("a")
		Expect(ok).To(BeTrue())
		Expect(released.Attempt).To(BeEquivalentTo("a"))
	})
})

var _ = Describe("PhaseDetector", func() {
	warm := func(requested time.Duration, boot string) permit.ReportReceived {
		return permit.ReportReceived{Requested: start.Add(requested), Report: fleet.Report{Boot: boot, Warm: true}}
	}

	DescribeTable("is cold until the endpoint reports otherwise, and again after",
		func(observation permit.Observation, at time.Duration, phase fleet.Phase) {
			p := &permit.PhaseDetector{}
			Expect(p.Phase()).To(Equal(fleet.PhaseCold))
			Expect(p.Step(start, warm(0, "1"))).To(Equal(fleet.PhaseWarm))
			for range 3 {
				p.Step(start.Add(at), observation)
			}
			Expect(p.Phase()).To(Equal(phase))
			Expect(p.Step(start.Add(at), warm(at, "1"))).NotTo(Equal(fleet.PhaseWarm), "a report requested earlier has no effect")
		},
		Entry("silence", permit.TimeElapsed{}, 3*time.Second, fleet.PhaseCold),
		Entry("long silence", permit.TimeElapsed{}, 7*time.Second, fleet.PhaseDown),
		Entry("restart", warm(time.Second, "2"), time.Second, fleet.PhaseCold),
		Entry("slow first tokens", permit.FirstToken{Latency: 5 * time.Second, Expected: 100 * time.Millisecond}, time.Second, fleet.PhaseCold),
		Entry("broken connections", permit.ConnectionFailed{}, time.Second, fleet.PhaseDown),
		Entry("another router's mark", permit.ColdMark{Boot: "1"}, time.Second, fleet.PhaseCold),
	)

	It("becomes warm by a report requested after the hold-down, and returns a mark for other routers", func() {
		p := &permit.PhaseDetector{}
		p.Step(start, warm(0, "1"))
		p.Step(start, permit.ConnectionFailed{RunInterrupted: true})
		mark, ok := p.Mark(start.Add(time.Second))
		Expect(ok).To(BeTrue())
		Expect(mark).To(Equal(permit.ColdMark{Boot: "1", Age: time.Second}))
		Expect(p.Step(start.Add(2*time.Second), warm(2*time.Second, "1"))).To(Equal(fleet.PhaseWarm))
		Expect(p.Step(start.Add(2*time.Second), permit.ColdMark{Boot: "0"})).To(Equal(fleet.PhaseWarm), "mark for an earlier boot")
	})

	It("stays warm through normal answers and single slow ones", func() {
		p := &permit.PhaseDetector{}
		p.Step(start, warm(0, "1"))
		for i := range 9 {
			latency := 100 * time.Millisecond
			if i%3 == 0 {
				latency = 10 * time.Second
			}
			p.Step(start, permit.FirstToken{Latency: latency, Expected: latency / 100})
			p.Step(start, permit.FirstToken{Latency: 100 * time.Millisecond, Expected: 100 * time.Millisecond})
		}
		Expect(p.Phase()).To(Equal(fleet.PhaseWarm))
	})
})
