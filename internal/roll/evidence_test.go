package roll_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const model ident.ModelID = "m"

var start = time.Unix(1000, 0).UTC()

func config(steps ...fleet.RolloutStep) *fleet.Config {
	return &fleet.Config{
		Teams:  map[ident.TeamID]*fleet.Team{"a": team("a"), "b": team("b")},
		Models: map[ident.ModelID]*fleet.Model{model: {ID: model, Default: "1", Versions: []ident.VersionID{"1", "2"}}},
		Rollouts: map[ident.ModelID]*fleet.Rollout{
			model: {Model: model, To: "2", Steps: steps, Limits: fleet.RolloutLimits{Errors: 0.01, Latency: 1.2, Quality: 0.03}},
		},
	}
}

func team(id ident.TeamID) *fleet.Team {
	return &fleet.Team{ID: id, Models: []fleet.ModelGrant{{Model: model}}}
}

func state(step int) fleet.RolloutState {
	return fleet.RolloutState{Model: model, To: "2", Step: step, Entered: start}
}

func release(v ident.VersionID) ident.Release {
	return ident.Release{Model: model, Version: v}
}

// wholeStep is the cell of all teams for the whole first step.
var wholeStep = roll.Key{Release: release("2")}

var _ = Describe("Evidence", func() {
	comparison, _ := roll.ComparisonAt(start, config(fleet.RolloutStep{Share: 0.1}), state(0))

	It("converges at all routers, whatever the order of the deltas", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const routers = 3
			var all [routers]*roll.Evidence
			for i := range all {
				all[i] = roll.NewEvidence(uint64(i))
			}
			requests := 0
			var sent [][]roll.Entry
			for range rapid.IntRange(1, 40).Draw(t, "events") {
				i := rapid.IntRange(0, routers-1).Draw(t, "router")
				self := roll.Source{Router: ident.RouterID(fmt.Sprint(i))}
				switch rapid.IntRange(0, 3).Draw(t, "event") {
				case 0:
					all[i].RecordOutcome(start, self, comparison, "a", release("1"), roll.Outcome{FirstToken: time.Second})
				case 1:
					all[i].RecordOutcome(start, self, comparison, "a", release("2"), roll.Outcome{Failed: rapid.Bool().Draw(t, "failed")})
					requests++
				case 2:
					entries, _ := all[i].Delta(0)
					sent = append(sent, entries)
				case 3:
					if len(sent) > 0 {
						all[i].Merge(rapid.SampledFrom(sent).Draw(t, "delta"))
					}
				}
			}
			for range 2 {
				for i := range all {
					for j := range all {
						entries, _ := all[j].Delta(0)
						all[i].Merge(entries)
					}
				}
			}
			for i := range all {
				total := all[i].Total(wholeStep)
				if total != all[0].Total(wholeStep) || total[roll.CountRequests] != uint64(requests) {
					t.Fatalf("router %d counts %d requests of %d", i, total[roll.CountRequests], requests)
				}
			}
		})
	})

	It("returns only entries that changed after a revision", func() {
		e := roll.NewEvidence(1)
		e.RecordExposure(roll.Source{Router: "a"}, comparison, "a")
		_, revision := e.Delta(0)
		entries, _ := e.Delta(revision)
		Expect(entries).To(BeEmpty())
		e.RecordExposure(roll.Source{Router: "a"}, comparison, "b")
		entries, _ = e.Delta(revision)
		Expect(entries).To(HaveLen(4), "all teams and team b, in the window and the whole step")
	})

	It("reaches a peer in batches of bounded size, each with the cells of all teams together", func() {
		e, peer, self := roll.NewEvidence(1), roll.NewEvidence(2), roll.Source{Router: "a"}
		var revision roll.Revision
		for round := range uint64(200) {
			for i := range 20 {
				e.RecordExposure(self, comparison, ident.TeamID(fmt.Sprint("team", i)))
			}
			var entries []roll.Entry
			entries, revision = e.Batch(self, revision, 5, round)
			Expect(entries).To(HaveLen(5))
			peer.Merge(entries)
			Expect(peer.Total(wholeStep)).To(Equal(e.Total(wholeStep)))
		}
		entries, revision := e.Batch(self, revision, 100, 0)
		Expect(entries).To(HaveLen(42), "20 teams and all of them, in the window and the whole step")
		entries, _ = e.Batch(self, revision, 100, 0)
		Expect(entries).To(BeEmpty())
		for i := range 20 {
			key := wholeStep
			key.Team = ident.TeamID(fmt.Sprint("team", i))
			total := peer.Total(key)
			Expect(total[roll.CountSessions]).To(BeNumerically(">", 100), "team %d", i)
		}
	})

	It("stays bounded while routers are replaced, and loses no counts", func() {
		e, c := roll.NewEvidence(1), config(fleet.RolloutStep{Share: 0.1})
		const incarnations = 500
		var late []roll.Entry
		for i := range incarnations {
			other := roll.NewEvidence(2)
			other.RecordExposure(roll.Source{Router: "r", Incarnation: uint64(i)}, comparison, "a")
			entries, _ := other.Delta(0)
			late = append(late, entries...)
			e.Merge(entries)
			e.Trim(start, c, []fleet.RolloutState{state(0)}, func(s roll.Source) bool { return s.Incarnation == uint64(i) })
		}
		e.Merge(late)
		entries, _ := e.Delta(0)
		Expect(len(entries)).To(BeNumerically("<", incarnations))
		total := e.Total(wholeStep)
		Expect(total[roll.CountSessions]).To(BeEquivalentTo(incarnations), "late entries of folded sources count once")
	})
})

var _ = Describe("A step's session limit", func() {
	It("is not exceeded by all routers together while routers fail and are replaced", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			limit := rapid.IntRange(1, 60).Draw(t, "limit")
			c := config(fleet.RolloutStep{Share: 1, Sessions: limit})
			comparison, _ := roll.ComparisonAt(start, c, state(0))
			// With a single router, its failure would lose the counters.
			n := rapid.IntRange(2, 10).Draw(t, "routers")
			var list []fleet.Router
			evidence := map[ident.RouterID]*roll.Evidence{}
			join := func(i int) fleet.Router {
				id := ident.RouterID(fmt.Sprint("r", i))
				evidence[id] = roll.NewEvidence(1)
				return fleet.Router{ID: id}
			}
			for i := range n {
				list = append(list, join(i))
			}
			synced := map[ident.RouterID]bool{}
			exposed := 0
			for step := range rapid.IntRange(1, 150).Draw(t, "events") {
				r := rapid.SampledFrom(list).Draw(t, "router")
				e, self := evidence[r.ID], roll.Source{Router: r.ID}
				switch rapid.IntRange(0, 9).Draw(t, "event") {
				case 0: // a router sends its counters to the others, fails and is replaced
					entries, _ := e.Delta(0)
					for _, o := range list {
						evidence[o.ID].Merge(entries)
					}
					for i := range list {
						if list[i].ID == r.ID {
							list[i] = join(n + step)
						}
					}
				case 1, 2, 3: // a router receives the counters of all others
					for _, o := range list {
						entries, _ := evidence[o.ID].Delta(0)
						e.Merge(entries)
					}
					synced[r.ID] = true
				default:
					quota := e.SessionQuota(self, c.Rollouts[model], state(0), list, synced[r.ID])
					if quota.Remaining > 0 {
						e.RecordExposure(self, comparison, "a")
						exposed++
					}
				}
			}
			if exposed > limit {
				t.Fatalf("%d sessions exposed, limit %d", exposed, limit)
			}
		})
	})
})
