package casc_test

import (
	"fmt"
	"testing"

	"github.com/marigoldscale/marigoldscale/internal/casc"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

func BenchmarkPlan(b *testing.B) {
	e := casc.NewEstimates()
	for i := range 50 {
		e.Observe(start, casc.Source{Router: "r"}, casc.Key{Class: "c", Model: "small"}, ident.Quality(i%11)/10)
	}
	c, r := config(), request()
	b.ReportAllocs()
	for i := range b.N {
		r.Seed = uint64(i)
		casc.Plan(start, c, r, e)
	}
}

func BenchmarkMerge(b *testing.B) {
	e := casc.NewEstimates()
	for i := range 360 {
		self := casc.Source{Router: ident.RouterID(fmt.Sprint("r", i))}
		for j := range 10 {
			e.Observe(start, self, casc.Key{Class: ident.ClassID(fmt.Sprint("c", j)), Model: "small"}, 0.5)
		}
	}
	entries, _ := e.Delta(0)
	into := casc.NewEstimates()
	b.ReportAllocs()
	b.ReportMetric(float64(len(entries)), "entries")
	for b.Loop() {
		into.Merge(entries)
	}
}

// BenchmarkMeasure prints the cost and quality of the policies by condition.
func BenchmarkMeasure(b *testing.B) {
	for b.Loop() {
		for _, r := range casc.MeasurePolicies(1) {
			fmt.Printf("%-32s %-27s cost %.3f quality %.3f worst class %.3f, second half: cost %.3f quality %.3f (target %.2f)\n",
				r.Condition, r.Policy, r.Cost, r.Quality, r.WorstClassQuality, r.LateCost, r.LateQuality, r.Target)
		}
	}
}
