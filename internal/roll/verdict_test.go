package roll_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// found is the chance at which a roll-out is undone, and goodUndone the part of
// sound versions that may be.
const (
	found      = 0.003
	goodUndone = 0.02
)

func key(version ident.VersionID, group roll.Group, slice int) roll.TallyKey {
	return roll.TallyKey{Rollout: "o", Version: version, Group: group, Slice: slice}
}

func source(n int) roll.Source {
	return roll.Source{Router: ident.RouterID(fmt.Sprint("router-", n)), Incarnation: 1}
}

// bernoulli draws answers of which a part fails and a part is slow.
func bernoulli(r *rand.Rand, n int, failed, slow float64) roll.Tally {
	t := roll.Tally{Answers: uint64(n), Timed: uint64(n)}
	for range n {
		if r.Float64() < failed {
			t.Failed++
		}
		if r.Float64() < slow {
			t.Slow++
		}
	}
	return t
}

var _ = Describe("Brief", func() {
	judge := func(b *roll.Tallies, slice int) roll.Verdict { return b.Compare("o", "v1", "v2", slice) }

	// The load: a plain service of ten requests a second, one route of which
	// fails one in seven on its own, and routes that only probes use. A version
	// that fails two in five got 21 answers in a trial of 16 s on eight routers.
	It("finds out a version that fails two in five beside a route that always fails some", func() {
		b := roll.NewTallies()
		for i := range 8 {
			b.Add(key("v1", "read", i/2), source(i), roll.Tally{Answers: 9, Failed: 1})
			b.Add(key("v1", "post", i/2), source(i), roll.Tally{Answers: 9})
		}
		for i := range 7 {
			b.Add(key("v2", "read", i/2), source(i), roll.Tally{Answers: 1, Failed: uint64((i + 1) % 2)})
			b.Add(key("v2", "post", i/2), source(i), roll.Tally{Answers: 2, Failed: uint64((i + 1) % 2)})
		}
		v := judge(b, 3)
		Expect(v.PValue).To(BeNumerically("<=", found))
		Expect(v.Kind).To(Equal(roll.KindErrors))
		Expect(v.Describe()).To(ContainSubstring("failed"))
	})

	// A service of 700 requests in the time of its roll-out may give a bad
	// version 135 of them, which are 45 on each of three routes.
	DescribeTable("finds out a version that turns bad", func(failed, slow float64, from int, group roll.Group, n int) {
		missed := 0
		for seed := range uint64(50) {
			r := rand.New(rand.NewPCG(seed, 1))
			b := roll.NewTallies()
			for slice := range 5 {
				for _, g := range []roll.Group{"a", "b", "c"} {
					b.Add(key("v1", g, slice), source(0), bernoulli(r, 24, 0.05, 0.1))
					f, s := 0.05, 0.1
					if slice >= from && (group == "" || g == group) {
						f, s = max(f, failed), max(s, slow)
					}
					b.Add(key("v2", g, slice), source(1), bernoulli(r, n, f, s))
				}
			}
			if judge(b, 4).PValue > found {
				missed++
			}
		}
		Expect(missed).To(BeNumerically("<=", 2))
	},
		Entry("that fails half of the requests", 0.5, 0.0, 0, roll.Group(""), 3),
		Entry("that is slow in six of ten", 0.0, 0.6, 0, roll.Group(""), 4),
		Entry("that fails half of the requests from the middle on", 0.5, 0.0, 3, roll.Group(""), 6),
		Entry("that fails half of the requests of one route", 0.5, 0.0, 0, roll.Group("b"), 8),
		Entry("that fails one in three of many requests", 0.33, 0.0, 0, roll.Group(""), 40),
	)

	// The load: a bad hour, in which one in three answers of both versions
	// fails or is late. The verdict is looked at after every answer.
	It("seldom blames a sound version, however often one looks", func() {
		undone := 0
		const rollouts = 200
		for seed := range uint64(rollouts) {
			r := rand.New(rand.NewPCG(seed, 2))
			b := roll.NewTallies()
			blamed := false
			for n := range 60 {
				slice := n / 15
				for _, g := range []roll.Group{"a", "b", "c"} {
					b.Add(key("v1", g, slice), source(n%8), bernoulli(r, 4, 0.33, 0.33))
				}
				b.Add(key("v2", []roll.Group{"a", "b", "c"}[n%3], slice), source(n%8), bernoulli(r, 1, 0.33, 0.33))
				blamed = blamed || judge(b, slice).PValue <= found
			}
			if blamed {
				undone++
			}
		}
		Expect(undone).To(BeNumerically("<=", goodUndone*rollouts))
	})

	It("says nothing of a group that the old version has hardly answered", func() {
		b := roll.NewTallies()
		b.Add(key("v1", "a", 0), source(0), roll.Tally{Answers: 7})
		b.Add(key("v2", "a", 0), source(0), roll.Tally{Answers: 9, Failed: 9})
		Expect(judge(b, 0).PValue).To(BeNumerically("==", 1))
	})

	It("does not count the answers to probes towards what a trial needs", func() {
		b := roll.NewTallies()
		b.Add(key("v1", "a", 0), source(0), roll.Tally{Answers: 200})
		b.Add(key("v1", "probe", 0), source(0), roll.Tally{Answers: 8})
		b.Add(key("v2", "a", 0), source(0), roll.Tally{Answers: 5})
		b.Add(key("v2", "probe", 0), source(0), roll.Tally{Answers: 30})
		Expect(judge(b, 0).LoadAnswers).To(Equal(uint64(5)))
	})

	It("knows the same of entries that come late, doubled and in any order", func() {
		told := roll.NewTallies()
		var entries []roll.TallyEntry
		var mark roll.Revision
		for i := range 40 {
			told.Add(key("v2", "a", i%3), source(i%4), roll.Tally{Answers: 2, Failed: uint64(i % 2), Timed: 1})
			told.Add(key("v1", "a", i%3), source(i%4), roll.Tally{Answers: 5})
			var delta []roll.TallyEntry
			delta, mark = told.Delta(mark)
			entries = append(entries, delta...)
		}
		r := rand.New(rand.NewPCG(3, 3))
		heard := roll.NewTallies()
		for range 2 {
			r.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
			heard.Merge(slices.Clone(entries))
		}
		Expect(judge(heard, 2)).To(Equal(judge(told, 2)))
		none, _ := told.Delta(mark)
		Expect(none).To(BeEmpty())
	})

	It("forgets roll-outs that are over", func() {
		b := roll.NewTallies()
		b.Add(key("v2", "a", 0), source(0), roll.Tally{Answers: 9})
		b.Retain(func(order string) bool { return order != "o" })
		Expect(judge(b, 0).LoadAnswers).To(BeZero())
	})
})

var _ = Describe("Cuts", func() {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	bad := roll.Tally{Answers: 1, Failed: 1}
	life := roll.Incarnation{Endpoint: "e", Started: 1}

	// The load: an endpoint crashes with twenty requests in progress, and comes
	// back in a new life.
	It("says nothing of a version whose endpoint crashed", func() {
		c := roll.NewTruncations()
		for range 20 {
			c.Record(at(0), life, key("v2", "a", 0), bad)
		}
		Expect(c.Confirm(at(1500), roll.Incarnation{Endpoint: "e", Started: 2})).To(BeEmpty())
		Expect(c.Confirm(at(4000), life)).To(BeEmpty())
	})

	It("counts the answers that an endpoint breaks off between others", func() {
		c := roll.NewTruncations()
		c.Record(at(0), life, key("v2", "a", 0), bad)
		c.Record(at(10), life, key("v2", "a", 0), bad)
		Expect(c.Confirm(at(300), life)).To(HaveKeyWithValue(key("v2", "a", 0), roll.Tally{Answers: 2, Failed: 2}))
		Expect(c.Confirm(at(310), life)).To(BeEmpty())
	})
})

var _ = Describe("Usual", func() {
	It("calls slow what takes several times the median of the latest answers", func() {
		u := roll.NewLatencyBaseline()
		for i := range 4 {
			u.Add("a", float64(i))
		}
		_, known := u.Slow("a", 100)
		Expect(known).To(BeFalse())
		for range 50 {
			u.Add("a", 2)
		}
		slow, known := u.Slow("a", 5.9)
		Expect([]bool{slow, known}).To(Equal([]bool{false, true}))
		slow, _ = u.Slow("a", 6.1)
		Expect(slow).To(BeTrue())
		_, known = u.Slow("b", 1)
		Expect(known).To(BeFalse())
	})
})
