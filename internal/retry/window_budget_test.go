package retry_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/retry"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var _ = Describe("WindowBudget", func() {
	const length = 10 * time.Second

	It("keeps retries within their share in any window", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			share := rapid.Float64Range(0, 1).Draw(t, "share")
			extra := rapid.Float64Range(0, 20).Draw(t, "extra")
			w := retry.NewWindowBudget(ident.Share(share), extra, length)
			type event struct {
				at      time.Time
				isRetry bool
			}
			var events []event
			at := now
			for range rapid.IntRange(1, 400).Draw(t, "events") {
				at = at.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
				if rapid.Bool().Draw(t, "first") {
					w.RecordFirst(at)
					events = append(events, event{at: at})
				} else if w.Allow(at) {
					events = append(events, event{at: at, isRetry: true})
				}
			}
			for i, last := range events {
				if !last.isRetry {
					continue
				}
				first, retries := 0, 0
				for _, e := range events[:i+1] {
					switch {
					case last.at.Sub(e.at) > length:
					case e.isRetry:
						retries++
					default:
						first++
					}
				}
				if float64(retries) > share*float64(first)+extra+1e-9 {
					t.Fatalf("%d retries within a window of %d requests, share %g, extra %g", retries, first, share, extra)
				}
			}
		})
	})

	// A router of a large deployment sends three requests per second, nearly half of
	// which are retried. Then a third of the endpoints is down for three seconds,
	// and two requests in three fail.
	It("allows the retries after a crash that fails most of a router's requests", func() {
		denied, requested := 0, 0
		for seed := range uint64(20) {
			r := rand.New(rand.NewPCG(seed, 1))
			w := retry.NewWindowBudget(0.81, 1.25, length)
			for ms := 0; ms < 14_000; ms += 333 {
				at := now.Add(time.Duration(ms) * time.Millisecond)
				w.RecordFirst(at)
				if r.Float64() < 0.46 {
					w.AllowOpinion(at, 0.25)
				}
				if ms >= 11_000 && r.Float64() < 0.66 {
					requested++
					if !w.Allow(at) {
						denied++
					}
				}
			}
		}
		Expect(float64(denied)).To(BeNumerically("<=", 0.05*float64(requested)))
	})

	// A fleet of 64 routers that grows to 360: each went on with a 64th of the attempts
	// that all may send together.
	It("keeps the sum over a fleet that grows within what all may send together", func() {
		const extra = 344.0
		fleet := make([]*retry.WindowBudget, 360)
		for i := range fleet {
			fleet[i] = retry.NewWindowBudget(0, extra/64, length)
		}
		sum := 0
		for _, w := range fleet {
			w.SetExtra(now, extra/float64(len(fleet)))
			for w.Allow(now) {
				sum++
			}
		}
		Expect(sum).To(BeNumerically("<=", extra))
	})

	// Half of a fleet leaves: the others took over its part of a window in which that had
	// been used, 67 attempts where 56 are allowed.
	It("keeps the sum over a fleet that shrinks within what all may send together", func() {
		const extra = 56.0
		fleet, sum := make([]*retry.WindowBudget, 8), 0
		use := func(at time.Time) {
			for _, w := range fleet {
				w.SetExtra(at, 0.8*extra/float64(len(fleet)))
				for w.Allow(at) {
					sum++
				}
			}
		}
		for i := range fleet {
			fleet[i] = retry.NewWindowBudget(0, 0.8*extra/8, length)
		}
		use(now)
		fleet = fleet[:4]
		use(now.Add(9 * time.Second))
		Expect(sum).To(Equal(40))
		use(now.Add(21 * time.Second))
		Expect(sum).To(Equal(40 + 44))
	})

	// A process that is stopped between decision and send sends at 0.8 s what it decided at
	// 0 s, and was allowed as many again at 10.6 s.
	It("counts an attempt in the window in which it is sent", func() {
		w := retry.NewWindowBudget(0, 1, length)
		Expect(w.Allow(now)).To(BeTrue())
		w.Sent(now, now.Add(800*time.Millisecond))
		Expect(w.Allow(now.Add(10600 * time.Millisecond))).To(BeFalse())
		Expect(w.Allow(now.Add(11100 * time.Millisecond))).To(BeTrue())
	})

	// An endpoint that is silent reads at 1.2 s what it was sent at 0 s.
	It("counts an attempt in the window in which it is read", func() {
		w := retry.NewWindowBudget(0, 1, length)
		Expect(w.Allow(now)).To(BeTrue())
		w.SentUnread(now, now)
		w.Read(now, now.Add(1200*time.Millisecond))
		Expect(w.Allow(now.Add(11100 * time.Millisecond))).To(BeFalse())
		Expect(w.Allow(now.Add(11600 * time.Millisecond))).To(BeTrue())
	})

	It("counts an attempt that nobody is known to have read for as long as a silence lasts", func() {
		w := retry.NewWindowBudget(0, 1, length)
		Expect(w.Allow(now)).To(BeTrue())
		w.SentUnread(now, now)
		Expect(w.Allow(now.Add(11400 * time.Millisecond))).To(BeFalse())
		Expect(w.Allow(now.Add(12100 * time.Millisecond))).To(BeTrue())
	})

	It("counts an attempt that is answered late no longer than a silence lasts", func() {
		w := retry.NewWindowBudget(0, 1, length)
		Expect(w.Allow(now)).To(BeTrue())
		w.SentUnread(now, now)
		w.Read(now, now.Add(5*time.Second))
		Expect(w.Allow(now.Add(11400 * time.Millisecond))).To(BeFalse())
		Expect(w.Allow(now.Add(12100 * time.Millisecond))).To(BeTrue())
	})

	It("leaves the reserve for more urgent attempts", func() {
		w := retry.NewWindowBudget(0, 8, length)
		taken := 0
		for w.AllowOpinion(now, 0.25) {
			taken++
		}
		Expect(taken).To(Equal(6))
		Expect(w.Allow(now)).To(BeTrue())
	})

	It("is not refilled by a clock that jumps", func() {
		w := retry.NewWindowBudget(0, 2, length)
		Expect(w.Allow(now)).To(BeTrue())
		Expect(w.Allow(now.Add(-time.Hour))).To(BeTrue())
		Expect(w.Allow(now.Add(time.Second))).To(BeFalse())
		Expect(w.Allow(now.Add(11 * time.Second))).To(BeTrue())
	})
})
