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

func facts(outcome retry.Outcome) retry.State {
	return retry.State{
		Outcome: outcome, Idempotent: true, Attempts: 1, Started: now, TailLatency: 100 * time.Millisecond,
		Deadline: now.Add(10 * time.Second),
	}
}

var _ = Describe("Decide", func() {
	DescribeTable("stops", func(reason retry.Reason, ran retry.Ran, spoil func(*retry.State)) {
		f := facts(retry.OutcomeBroken)
		spoil(&f)
		Expect(retry.Decide(now, f, retry.NewBudget(0.1))).To(Equal(retry.Stop{Reason: reason, Ran: ran}))
	},
		Entry("when done", retry.ReasonDone, retry.RanYes, func(f *retry.State) { f.Outcome = retry.OutcomeDone }),
		Entry("when the request is at fault", retry.ReasonRejected, retry.RanNo, func(f *retry.State) { f.Outcome = retry.OutcomeRejected }),
		Entry("when it may have run once", retry.ReasonNotIdempotent, retry.RanUnknown, func(f *retry.State) { f.Idempotent = false }),
		Entry("when it did run once", retry.ReasonNotIdempotent, retry.RanYes, func(f *retry.State) { f.Idempotent, f.Received = false, 1 }),
		Entry("when an earlier attempt may have run once", retry.ReasonNotIdempotent, retry.RanUnknown, func(f *retry.State) {
			f.Idempotent, f.Outcome, f.EarlierRan = false, retry.OutcomeNotRun, retry.RanUnknown
		}),
		Entry("while another attempt runs", retry.ReasonInFlight, retry.RanUnknown, func(f *retry.State) { f.InFlight = 1 }),
		Entry("after enough attempts", retry.ReasonAttempts, retry.RanUnknown, func(f *retry.State) { f.Attempts = 4 }),
		Entry("at the deadline", retry.ReasonDeadline, retry.RanUnknown, func(f *retry.State) { f.Deadline = now.Add(time.Millisecond) }),
		Entry("when told to come back after the deadline", retry.ReasonDeadline, retry.RanNo, func(f *retry.State) {
			f.Outcome, f.RetryAfter = retry.OutcomeOverloaded, time.Minute
		}),
		Entry("not run, though an earlier attempt may have", retry.ReasonAttempts, retry.RanUnknown, func(f *retry.State) {
			f.Outcome, f.EarlierRan, f.Attempts = retry.OutcomeNotRun, retry.RanUnknown, 4
		}),
		Entry("not run, though another attempt may yet", retry.ReasonInFlight, retry.RanUnknown, func(f *retry.State) {
			f.Outcome, f.InFlight = retry.OutcomeNotSent, 1
		}),
		Entry("without a hedge for what runs once", retry.ReasonInFlight, retry.RanUnknown, func(f *retry.State) {
			f.Outcome, f.Idempotent = retry.OutcomeRunning, false
		}),
		Entry("without a second hedge", retry.ReasonInFlight, retry.RanUnknown, func(f *retry.State) {
			f.Outcome, f.InFlight = retry.OutcomeRunning, 2
		}),
	)

	It("retries what did not run, also if it must run only once", func() {
		f := facts(retry.OutcomeNotRun)
		f.Idempotent = false
		Expect(retry.Decide(now, f, retry.NewBudget(0.1))).To(BeAssignableToTypeOf(retry.Retry{}))
	})

	It("resumes a broken stream at once, after what was received", func() {
		f := facts(retry.OutcomeBroken)
		f.Received = 7
		Expect(retry.Decide(now, f, retry.NewBudget(0.1))).To(Equal(retry.Resume{From: 7}))
	})

	It("hedges once the first token is late, and not before", func() {
		f, b := facts(retry.OutcomeRunning), retry.NewBudget(0.1)
		f.InFlight = 1
		Expect(retry.Decide(now, f, b)).To(Equal(retry.Hedge{After: 100 * time.Millisecond}))
		Expect(retry.Decide(now.Add(100*time.Millisecond), f, b)).To(Equal(retry.Hedge{}))
		f.Received = 1
		Expect(retry.Decide(now.Add(time.Second), f, b)).To(HaveField("Reason", retry.ReasonInFlight))
	})

	It("keeps extra attempts within their share, also when everything fails", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const share, burst, floor = 0.1, 10, 0.2
			b, at, first, extra := retry.NewBudget(share), now, 0, 0
			for range rapid.IntRange(1, 500).Draw(t, "requests") {
				at = at.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
				b.RecordFirst(at)
				first++
				for range 3 {
					f := facts(retry.OutcomeNotRun)
					f.Deadline = at.Add(time.Minute)
					if _, ok := retry.Decide(at, f, b).(retry.Retry); ok {
						extra++
					}
				}
			}
			if most := burst + share*float64(first) + floor*at.Sub(now).Seconds(); float64(extra) > most+1 {
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

	It("counts what it drops by kind", func() {
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
		Expect(a.Open("c")).To(BeFalse(), "an attempt is followed")
		Expect(errors.Is(a.Add(frame("a", 4, 5), emit), retry.ErrGap)).To(BeTrue())
		Expect(a.Add(frame("a", 1, 5), emit)).To(Succeed())
		Expect(a.Add(frame("a", 3, 5), emit)).To(Succeed())
		Expect(a.Done()).To(BeFalse(), "the final frame is missing")
		Expect(a.Add(frame("a", 4, 5), emit)).To(Succeed())
		Expect(a.Add(frame("a", 5, 5), emit)).To(Succeed())
		Expect(a.Done()).To(BeTrue())
		Expect(a.Drops()).To(Equal(retry.Drops{Foreign: 2, Stale: 1, Duplicate: 2, AfterFinal: 1, OutOfWindow: 1}))
	})

	It("hands on emit's error", func() {
		a, gone := retry.NewAssembler("r", 2), errors.New("caller is gone")
		a.Open("a")
		Expect(errors.Is(a.Add(frame("a", 0, 2), func(engine.Frame) error { return gone }), gone)).To(BeTrue())
	})

	It("gives each frame once, in order and whole, whatever arrives in whatever order", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { assemble(t) })
	})
})

// assemble sends frames of several attempts at random, then resumes in order.
func assemble(t *rapid.T) {
	n := rapid.IntRange(1, 12).Draw(t, "frames")
	a, out := retry.NewAssembler("r", 4), []engine.Frame(nil)
	emit := func(f engine.Frame) error {
		if f.Attempt != a.Leader() {
			t.Fatalf("frame of %s while %s is followed", f.Attempt, a.Leader())
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
