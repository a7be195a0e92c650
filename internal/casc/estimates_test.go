package casc_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/casc"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var _ = Describe("Estimates", func() {
	key := casc.Key{Class: "c", Model: "small"}

	It("converge at all routers, whatever the order of the deltas", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			all := [3]*casc.Estimates{casc.NewEstimates(), casc.NewEstimates(), casc.NewEstimates()}
			reference := casc.NewEstimates()
			now := start
			var sent [][]casc.Entry
			for range rapid.IntRange(1, 40).Draw(t, "events") {
				now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "seconds")) * time.Second)
				i := rapid.IntRange(0, 2).Draw(t, "router")
				switch rapid.IntRange(0, 2).Draw(t, "event") {
				case 0:
					quality := ident.Quality(rapid.Float64Range(0, 1).Draw(t, "quality"))
					self := casc.Source{Router: ident.RouterID(fmt.Sprint(i))}
					all[i].Observe(now, self, key, quality)
					reference.Observe(now, self, key, quality)
				case 1:
					entries, _ := all[i].Delta(0)
					sent = append(sent, entries)
				case 2:
					if len(sent) > 0 {
						all[i].Merge(rapid.SampledFrom(sent).Draw(t, "delta"))
					}
				}
			}
			for i := range all {
				for j := range all {
					entries, _ := all[j].Delta(0)
					all[i].Merge(entries)
				}
			}
			first, _ := reference.Expected(now, key, 0.5)
			for i := range all {
				mean, _ := all[i].Clone().Expected(now, key, 0.5)
				if math.Abs(float64(mean-first)) > 1e-9 {
					t.Fatalf("router %d expects %v, a router with all ratings %v", i, mean, first)
				}
			}
		})
	})

	It("reach a peer in batches of bounded size", func() {
		e, peer, self := casc.NewEstimates(), casc.NewEstimates(), casc.Source{Router: "r"}
		for i := range 20 {
			e.Observe(start, self, casc.Key{Class: ident.ClassID(fmt.Sprint(i)), Model: "small"}, 0.5)
		}
		for round := range uint64(60) {
			entries, revision := e.Batch(self, 0, 3, round)
			Expect(entries).To(HaveLen(3))
			Expect(revision).To(BeZero())
			peer.Merge(entries)
		}
		got, _ := peer.Delta(0)
		Expect(got).To(HaveLen(20))
		_, revision := e.Batch(self, 0, 20, 0)
		entries, _ := e.Batch(self, revision, 20, 0)
		Expect(entries).To(BeEmpty())
	})

	It("decay within hours, and have a bounded number of keys", func() {
		e, self := casc.NewEstimates(), casc.Source{Router: "r"}
		const classes = 10_000
		for i := range classes {
			e.Observe(start, self, casc.Key{Class: ident.ClassID(fmt.Sprint(i)), Model: "small"}, 0.1)
		}
		entries, _ := e.Delta(0)
		Expect(len(entries)).To(BeNumerically("<", classes))
		before, _ := e.Expected(start, casc.Key{Class: "0", Model: "small"}, 0.9)
		later := start.Add(6 * time.Hour)
		after, _ := e.Expected(later, casc.Key{Class: "0", Model: "small"}, 0.9)
		Expect(before).To(BeNumerically("<", 0.8))
		Expect(after).To(BeNumerically("~", 0.9, 0.01))
		e.Trim(later)
		entries, _ = e.Delta(0)
		Expect(entries).To(BeEmpty())
	})
})
