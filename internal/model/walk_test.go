package model_test

import (
	. "github.com/onsi/ginkgo/v2"

	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/model"
)

// generateScenario draws a scenario with more requests and faults than an
// exhaustive search can cover.
func generateScenario(t *rapid.T) model.Scenario {
	faultCount := func(name string, limit int) int { return rapid.IntRange(0, limit).Draw(t, name) }
	s := model.Scenario{
		Name:    "drawn",
		Ring:    rapid.SampledFrom([]int{2, 3, 4}).Draw(t, "ring"),
		Forward: rapid.Bool().Draw(t, "forward"),
		Faults: model.Faults{
			Refusals: faultCount("refusals", 3), Losses: faultCount("losses", 4), Kills: faultCount("kills", 2),
			Abandons: faultCount("abandons", 2), Breaks: faultCount("breaks", 2),
		},
	}
	for range rapid.IntRange(1, 12).Draw(t, "requests") {
		s.Requests = append(s.Requests, model.Request{
			Key:        rapid.IntRange(1, 4).Draw(t, "key"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
		})
	}
	return s
}

var _ = Describe("Walk", func() {
	It("holds every invariant on random histories", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := generateScenario(t)
			state := model.NewState(&s, rapid.IntRange(2, 3).Draw(t, "routers"))
			err := model.Walk(state, rapid.IntRange(0, 150).Draw(t, "steps"), func(count int) int {
				return rapid.IntRange(0, count-1).Draw(t, "move")
			})
			if err != nil {
				t.Fatal(err)
			}
		})
	})
})
