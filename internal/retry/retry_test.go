package retry_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/retry"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var now = time.Unix(1_000_000, 0)

func attemptState(outcome retry.Outcome) retry.State {
	return retry.State{
		Outcome: outcome, Idempotent: true, Attempts: 1, Started: now, TailLatency: 100 * time.Millisecond,
		Deadline: now.Add(10 * time.Second),
	}
}

var _ = Describe("Decide", func() {
	DescribeTable("stops", func(reason retry.Reason, ran retry.RunState, change func(*retry.State)) {
		s := attemptState(retry.OutcomeBroken)
		change(&s)
		Expect(retry.Decide(now, s, retry.NewBudget(0.1))).To(Equal(retry.Stop{Reason: reason, Ran: ran}))
	},
		Entry("when done", retry.ReasonDone, retry.RanYes, func(s *retry.State) { s.Outcome = retry.OutcomeDone }),
		Entry("when the request is invalid", retry.ReasonRejected, retry.RanNo, func(s *retry.State) { s.Outcome = retry.OutcomeRejected }),
		Entry("when a non-idempotent request may have run", retry.ReasonNotIdempotent, retry.RanUnknown, func(s *retry.State) { s.Idempotent = false }),
		Entry("when a non-idempotent request has run", retry.ReasonNotIdempotent, retry.RanYes, func(s *retry.State) { s.Idempotent, s.Received = false, 1 }),
		Entry("when an earlier attempt of a non-idempotent request may have run", retry.ReasonNotIdempotent, retry.RanUnknown, func(s *retry.State) {
			s.Idempotent, s.Outcome, s.EarlierRan = false, retry.OutcomeNotRun, retry.RanUnknown
		}),
		Entry("while another attempt is in flight", retry.ReasonInFlight, retry.RanUnknown, func(s *retry.State) { s.InFlight = 1 }),
		Entry("after the maximum number of attempts", retry.ReasonAttempts, retry.RanUnknown, func(s *retry.State) { s.Attempts = 4 }),
		Entry("at the deadline", retry.ReasonDeadline, retry.RanUnknown, func(s *retry.State) { s.Deadline = now.Add(time.Millisecond) }),
		Entry("when the endpoint asks for a retry after the deadline", retry.ReasonDeadline, retry.RanNo, func(s *retry.State) {
			s.Outcome, s.RetryAfter = retry.OutcomeOverloaded, time.Minute
		}),
		Entry("with unknown execution when an earlier attempt may have run", retry.ReasonAttempts, retry.RanUnknown, func(s *retry.State) {
			s.Outcome, s.EarlierRan, s.Attempts = retry.OutcomeNotRun, retry.RanUnknown, 4
		}),
		Entry("with unknown execution when another attempt may still run", retry.ReasonInFlight, retry.RanUnknown, func(s *retry.State) {
			s.Outcome, s.InFlight = retry.OutcomeNotSent, 1
		}),
		Entry("without a hedge for a non-idempotent request", retry.ReasonInFlight, retry.RanUnknown, func(s *retry.State) {
			s.Outcome, s.Idempotent = retry.OutcomeRunning, false
		}),
		Entry("without a second hedge", retry.ReasonInFlight, retry.RanUnknown, func(s *retry.State) {
			s.Outcome, s.InFlight = retry.OutcomeRunning, 2
		}),
	)

	It("retries a request that did not run, also if it is not idempotent", func() {
		s := attemptState(retry.OutcomeNotRun)
		s.Idempotent = false
		Expect(retry.Decide(now, s, retry.NewBudget(0.1))).To(BeAssignableToTypeOf(retry.Retry{}))
	})

	It("resumes a broken stream without delay after the last received frame", func() {
		s := attemptState(retry.OutcomeBroken)
		s.Received = 7
		Expect(retry.Decide(now, s, retry.NewBudget(0.1))).To(Equal(retry.Resume{From: 7}))
	})

	It("hedges when the first token is late, and not before", func() {
		s, b := attemptState(retry.OutcomeRunning), retry.NewBudget(0.1)
		s.InFlight = 1
		Expect(retry.Decide(now, s, b)).To(Equal(retry.Hedge{After: 100 * time.Millisecond}))
		Expect(retry.Decide(now.Add(100*time.Millisecond), s, b)).To(Equal(retry.Hedge{}))
		s.Received = 1
		Expect(retry.Decide(now.Add(time.Second), s, b)).To(HaveField("Reason", retry.ReasonInFlight))
	})

	It("keeps extra attempts within the budget when all requests fail", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const share, burst, floor = 0.1, 10, 0.2
			b, at, first, extra := retry.NewBudget(share), now, 0, 0
			for range rapid.IntRange(1, 500).Draw(t, "requests") {
				at = at.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
				b.RecordFirst(at)
				first++
				for range 3 {
					s := attemptState(retry.OutcomeNotRun)
					s.Deadline = at.Add(time.Minute)
					if _, ok := retry.Decide(at, s, b).(retry.Retry); ok {
						extra++
					}
				}
			}
			if limit := burst + share*float64(first) + floor*at.Sub(now).Seconds(); float64(extra) > limit+1 {
				t.Fatalf("%d extra attempts for %d requests", extra, first)
			}
		})
	})
})

func frame(attempt ident.AttemptID, n, of int) engine.Frame {
	return engine.Frame{Request: "r", Attempt: attempt, Sequence: n, Text: fmt.Sprint(attempt, n), Final: n == of-1}
}

var _ = Describe("Assembler", func() {
	var out []engine.Frame
	emit := func(f engine.Frame) error {
		out = append(out, f)
		return nil
	}
	BeforeEach(func() { out = nil })

	It("counts dropped frames by cause", func() {
		a := retry.NewAssembler("r", 2)
		a.Open("a")
		a.Open("b")
		other := frame("a", 0, 5)
		other.Request = "other"
		for _, f := range []engine.Frame{
			other, frame("never", 0, 5), frame("a", 0, 5), frame("b", 0, 5), frame("a", 0, 5), frame("a", 2, 5), frame("a", 2, 5),
		} {
			Expect(a.Add(f, emit)).To(Succeed())
		}
		Expect(a.Lost()).To(ConsistOf(ident.AttemptID("b")))
		Expect(a.Open("c")).To(BeFalse(), "there is a leader")
		Expect(errors.Is(a.Add(frame("a", 4, 5), emit), retry.ErrGap)).To(BeTrue())
		Expect(a.Add(frame("a", 1, 5), emit)).To(Succeed())
		Expect(a.Add(frame("a", 3, 5), emit)).To(Succeed())
		Expect(a.Done()).To(BeFalse(), "the final frame is missing")
		Expect(a.Add(frame("a", 4, 5), emit)).To(Succeed())
		Expect(a.Add(frame("a", 5, 5), emit)).To(Succeed())
		Expect(a.Done()).To(BeTrue())
		Expect(a.Drops()).To(Equal(retry.Drops{Foreign: 2, Stale: 1, Duplicate: 2, AfterFinal: 1, OutOfWindow: 1}))
	})

	It("returns the error of emit", func() {
		a, gone := retry.NewAssembler("r", 2), errors.New("caller is gone")
		a.Open("a")
		Expect(errors.Is(a.Add(frame("a", 0, 2), func(engine.Frame) error { return gone }), gone)).To(BeTrue())
	})

	It("emits each frame once and in order, whatever the order of arrival", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { checkAssembly(t) })
	})
})

// checkAssembly adds random frames of several attempts, then resumes in order.
func checkAssembly(t *rapid.T) {
	n := rapid.IntRange(1, 12).Draw(t, "frames")
	a, out := retry.NewAssembler("r", 4), []engine.Frame(nil)
	emit := func(f engine.Frame) error {
		if f.Attempt != a.Leader() {
			t.Fatalf("frame of %s while %s is the leader", f.Attempt, a.Leader())
		}
		out = append(out, f)
		return nil
	}
	names := []ident.AttemptID{"a", "b", "c"}
	for range rapid.IntRange(0, 60).Draw(t, "steps") {
		name := rapid.SampledFrom(names).Draw(t, "attempt")
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0:
			a.Close(name)
		case 1, 2:
			a.Open(name)
		default:
			f := frame(name, rapid.IntRange(0, n-1).Draw(t, "sequence"), n)
			if err := a.Add(f, emit); err != nil && !errors.Is(err, retry.ErrGap) {
				t.Fatal(err)
			}
		}
	}
	a.Close(a.Leader())
	if !a.Done() {
		a.Open("last")
		for i := a.Next(); i < n; i++ {
			_ = a.Add(frame("last", i, n), emit)
		}
	}
	if !a.Done() || len(out) != n {
		t.Fatalf("done %v with %d of %d frames", a.Done(), len(out), n)
	}
	for i, f := range out {
		if f.Sequence != i || f.Final != (i == n-1) {
			t.Fatalf("frame %d is %+v", i, f)
		}
	}
}

func BenchmarkAssembler(b *testing.B) {
	a := retry.NewAssembler("r", 16)
	a.Open("a")
	f := frame("a", 0, -1)
	emit := func(engine.Frame) error { return nil }
	b.ReportAllocs()
	for b.Loop() {
		_ = a.Add(f, emit)
		f.Sequence++
	}
}
