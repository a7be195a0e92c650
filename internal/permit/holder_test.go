package permit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/permit"
)

var start = time.Unix(2_000_000, 0)

var _ = Describe("Holder", func() {
	p := permit.Permit{Endpoint: "e", Router: "r", Attempt: "a", Start: time.Second, Run: 10 * time.Second}

	It("sends once, and only within the start time counted from its question", func() {
		h := permit.NewHolder("r", time.Second)
		h.Ask(start, "a", "e")
		Expect(h.Check(start, "a")).To(BeFalse(), "no permit yet")
		Expect(h.Granted(start.Add(500*time.Millisecond), p)).To(BeTrue())
		Expect(h.Check(start.Add(time.Second), "a")).To(BeFalse(), "paused between the permit and the sending")
		Expect(h.Check(start.Add(900*time.Millisecond), "a")).To(BeTrue())
		Expect(h.Check(start.Add(900*time.Millisecond), "a")).To(BeFalse(), "sent already")
	})

	It("takes no permit that came late, for another router or for another endpoint", func() {
		h := permit.NewHolder("r", time.Second)
		Expect(h.Granted(start, p)).To(BeFalse(), "never asked")
		h.Ask(start, "a", "e")
		other := p
		other.Endpoint = "f"
		Expect(h.Granted(start, other)).To(BeFalse())
		Expect(h.Granted(start.Add(time.Second), p)).To(BeFalse())
	})

	It("ends runs before their permits lapse, unless prolonged", func() {
		h := permit.NewHolder("r", time.Second)
		h.Ask(start, "a", "e")
		h.Granted(start, p)
		h.Check(start, "a")
		Expect(h.Ending(start.Add(7*time.Second), time.Second)).To(BeEmpty())
		Expect(h.Ending(start.Add(8*time.Second), time.Second)).To(HaveLen(1))
		h.Ask(start.Add(8*time.Second), "a", "e")
		Expect(h.Granted(start.Add(8*time.Second), p)).To(BeTrue())
		Expect(h.Ending(start.Add(17*time.Second), 0)).To(BeEmpty())
		Expect(h.Ending(start.Add(18*time.Second), 0)).To(HaveLen(1))
		released, ok := h.Done("a")
		Expect(ok).To(BeTrue())
		Expect(released.Attempt).To(BeEquivalentTo("a"))
	})
})

var _ = Describe("Phase", func() {
	warm := func(asked time.Duration, boot string) permit.Reported {
		return permit.Reported{Asked: start.Add(asked), Report: fleet.Report{Boot: boot, Warm: true}}
	}

	DescribeTable("is cold until the endpoint reports otherwise, and after each",
		func(sign permit.Sign, at time.Duration, phase fleet.Phase) {
			p := &permit.Phase{}
			Expect(p.Phase()).To(Equal(fleet.PhaseCold))
			Expect(p.Step(start, warm(0, "1"))).To(Equal(fleet.PhaseWarm))
			for range 3 {
				p.Step(start.Add(at), sign)
			}
			Expect(p.Phase()).To(Equal(phase))
			Expect(p.Step(start.Add(at), warm(at, "1"))).NotTo(Equal(fleet.PhaseWarm), "a report of the time before does not lift it")
		},
		Entry("silence", permit.Passed{}, 3*time.Second, fleet.PhaseCold),
		Entry("long silence", permit.Passed{}, 7*time.Second, fleet.PhaseDown),
		Entry("restart", warm(time.Second, "2"), time.Second, fleet.PhaseCold),
		Entry("slowness", permit.Answered{Latency: 5 * time.Second, Expected: 100 * time.Millisecond}, time.Second, fleet.PhaseCold),
		Entry("broken connections", permit.Broke{}, time.Second, fleet.PhaseDown),
		Entry("another router's word", permit.Marked{Boot: "1"}, time.Second, fleet.PhaseCold),
	)

	It("turns warm by a report asked for after the doubt, and tells others of its doubt", func() {
		p := &permit.Phase{}
		p.Step(start, warm(0, "1"))
		p.Step(start, permit.Broke{Ran: true})
		mark, ok := p.Mark(start.Add(time.Second))
		Expect(ok).To(BeTrue())
		Expect(mark).To(Equal(permit.Marked{Boot: "1", Age: time.Second}))
		Expect(p.Step(start.Add(2*time.Second), warm(2*time.Second, "1"))).To(Equal(fleet.PhaseWarm))
		Expect(p.Step(start.Add(2*time.Second), permit.Marked{Boot: "0"})).To(Equal(fleet.PhaseWarm), "word of an earlier boot")
	})

	It("is warm through ordinary answers and one slow one", func() {
		p := &permit.Phase{}
		p.Step(start, warm(0, "1"))
		for i := range 9 {
			latency := 100 * time.Millisecond
			if i%3 == 0 {
				latency = 10 * time.Second
			}
			p.Step(start, permit.Answered{Latency: latency, Expected: latency / 100})
			p.Step(start, permit.Answered{Latency: 100 * time.Millisecond, Expected: 100 * time.Millisecond})
		}
		Expect(p.Phase()).To(Equal(fleet.PhaseWarm))
	})
})
