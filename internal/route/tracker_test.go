package route_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/route"
)

var _ = Describe("LoadTracker", func() {
	It("counts attempts in flight under concurrent use", func() {
		t, all := route.NewLoadTracker(), sync.WaitGroup{}
		for range 50 {
			all.Go(func() {
				t.Start(now, "e")
				t.FirstToken(now, "e", time.Second, time.Second)
				t.Start(now, "e")
				t.End(now, "e", route.OutcomeDone)
			})
		}
		all.Wait()
		Expect(t.Load(now, "e", now).Running).To(Equal(50))
	})

	It("raises an endpoint's correction as its first tokens come late, and lets it decay", func() {
		t := route.NewLoadTracker()
		for range 20 {
			t.Start(now, "e")
			t.FirstToken(now, "e", 100*time.Millisecond, time.Second)
			t.End(now, "e", route.OutcomeDone)
		}
		Expect(t.Load(now, "e", now).Correction).To(BeNumerically(">", 4))
		Expect(t.Load(now.Add(5*time.Minute), "e", now).Correction).To(BeNumerically("~", 1, 0.01))
	})

	It("lowers the limit on refusals, once in a burst, and never below one", func() {
		t := route.NewLoadTracker()
		for range 10 {
			t.Start(now, "e")
		}
		t.End(now, "e", route.OutcomeOverloaded)
		first := t.Load(now, "e", now).Limit
		t.End(now, "e", route.OutcomeOverloaded)
		Expect(t.Load(now, "e", now).Limit).To(Equal(first))
		for i := range 100 {
			t.End(now.Add(time.Duration(i)*time.Second), "e", route.OutcomeOverloaded)
		}
		Expect(t.Load(now, "e", now).Limit).To(BeNumerically(">=", 1))
	})

	It("counts the own attempts started after a report", func() {
		t := route.NewLoadTracker()
		t.Start(now, "e")
		t.Start(now.Add(2*time.Second), "e")
		t.Start(now.Add(3*time.Second), "e")
		Expect(t.Load(now, "e", now.Add(time.Second)).StartedSinceReport).To(Equal(2))
		Expect(t.Load(now, "e", now.Add(4*time.Second)).StartedSinceReport).To(Equal(0))
	})
})

var _ = Describe("PrefixIndex", func() {
	blocks := []uint64{1, 2, 3, 4, 5}

	It("counts sent prompts as cached until events say otherwise", func() {
		p, _ := route.NewPrefixIndex(100)
		p.RecordSent("e", blocks)
		Expect(p.Cached("e", blocks)).To(Equal(5))
		p.Apply("e", []route.CacheEvent{{Sequence: 1, Block: 3}, {Sequence: 2, Block: 4}})
		Expect(p.Cached("e", blocks)).To(Equal(2))
		p.Apply("e", []route.CacheEvent{{Sequence: 1, Block: 4, Stored: true}})
		Expect(p.Cached("e", blocks)).To(Equal(2), "a late event is skipped")
	})

	It("tolerates a lost event, and is cleared by a restart", func() {
		p, _ := route.NewPrefixIndex(100)
		p.ObserveBoot("e", "1")
		p.Apply("e", []route.CacheEvent{{1, 1, true}, {3, 3, true}, {4, 4, true}})
		Expect(p.Cached("e", blocks)).To(Equal(4))
		p.ObserveBoot("e", "2")
		Expect(p.Cached("e", blocks)).To(Equal(0))
	})

	It("is bounded and keeps the start of prompts", func() {
		p, _ := route.NewPrefixIndex(3)
		p.RecordSent("e", blocks)
		Expect(p.Cached("e", blocks)).To(Equal(3))
		_, err := route.NewPrefixIndex(0)
		Expect(err).To(HaveOccurred())
	})

	It("hashes equal prefixes to equal blocks, and no others", func() {
		a, b := make([]byte, 3*route.BlockBytes), make([]byte, 3*route.BlockBytes)
		b[route.BlockBytes] = 1
		x, y := route.HashBlocks(a), route.HashBlocks(b)
		Expect(x[0]).To(Equal(y[0]))
		Expect(x[1]).NotTo(Equal(y[1]))
		Expect(x[2]).NotTo(Equal(y[2]))
	})
})

var _ = Describe("Simulate", func() {
	It("gives the same results for the same seed", func() {
		Expect(route.SimulateLoad(3, 1.2, time.Second)).To(Equal(route.SimulateLoad(3, 1.2, time.Second)))
	})

	It("has better results than the simple policies over the same seeds at 80% load", func() {
		sums := map[string]route.SimulationResult{}
		for seed := range uint64(3) {
			for _, r := range route.SimulateLoad(seed, 0.8, 12*time.Second) {
				s := sums[r.Policy]
				s.P95, s.P99, s.Hits, s.Answered = s.P95+r.P95, s.P99+r.P99, s.Hits+r.Hits, s.Answered+r.Answered
				sums[r.Policy] = s
			}
		}
		own := sums["choose"]
		for _, other := range []string{"least", "robin", "random"} {
			Expect(own.P95).To(BeNumerically("<=", sums[other].P95), other)
			Expect(own.P99).To(BeNumerically("<=", sums[other].P99), other)
			Expect(own.Hits).To(BeNumerically(">", sums[other].Hits), other)
			Expect(own.Answered).To(BeNumerically(">=", sums[other].Answered), other)
		}
	})
})

// BenchmarkSimulate prints the results that docs/notes/route.md lists.
func BenchmarkSimulate(b *testing.B) {
	for b.Loop() {
		for _, r := range route.Simulate(11) {
			b.Logf("%-7s load %.2f: p50 %4d ms, p95 %5d ms, p99 %6d ms, hits %.2f, answered %.3f",
				r.Policy, r.Load, r.P50.Milliseconds(), r.P95.Milliseconds(), r.P99.Milliseconds(), r.Hits, r.Answered)
		}
	}
}
