package roll_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

func BenchmarkAssign(b *testing.B) {
	s := &fleet.Snapshot{Config: config(fleet.RolloutStep{Share: 0.1}), Rollouts: map[ident.ModelID]fleet.RolloutState{model: state(0)}}
	t := team("a")
	b.ReportAllocs()
	for i := range b.N {
		roll.Assign(uint64(i), s, t, model, roll.Quota{})
	}
}

// filledEvidence returns evidence recorded by the given numbers of routers and
// teams.
func filledEvidence(routers, teams int) (*fleet.Config, *roll.Evidence) {
	c := config(fleet.RolloutStep{Share: 0.1, Evidence: 1 << 30})
	comparison, _ := roll.ComparisonAt(start, c, state(0))
	e := roll.NewEvidence(1)
	for i := range teams {
		id := ident.TeamID(fmt.Sprint("team", i))
		c.Teams[id] = team(id)
		for j := range routers * 20 {
			self := roll.Source{Router: ident.RouterID(fmt.Sprint("r", j%routers))}
			e.RecordOutcome(start, self, comparison, id, release("1"), roll.Outcome{FirstToken: time.Second})
			e.RecordOutcome(start, self, comparison, id, release("2"), roll.Outcome{FirstToken: time.Second, Failed: j%19 == 0})
		}
	}
	return c, e
}

func BenchmarkDecide(b *testing.B) {
	for _, teams := range []int{10, 100} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			c, e := filledEvidence(8, teams)
			b.ReportAllocs()
			for b.Loop() {
				roll.Decide(start, c, state(0), e)
			}
		})
	}
}

func BenchmarkMerge(b *testing.B) {
	for _, routers := range []int{8, 360} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			_, e := filledEvidence(routers, 10)
			entries, _ := e.Delta(0)
			into := roll.NewEvidence(1)
			b.ReportAllocs()
			b.ReportMetric(float64(len(entries)), "entries")
			for b.Loop() {
				into.Merge(entries)
			}
		})
	}
}

// BenchmarkMeasure prints the results of the roll-out methods by scenario.
func BenchmarkMeasure(b *testing.B) {
	for b.Loop() {
		for _, r := range roll.MeasureMethods(1) {
			fmt.Printf("%-37s %-9s %-41s trials %2d withdrawn %.2f exposed %6.1f worst %4d bad requests %7.1f delay %s\n",
				r.Method, r.Kind, r.Severity, r.Simulations, r.Withdrawn, r.Exposed, r.MaxExposed, r.BadRequests, r.MedianDelay)
		}
	}
}
