package model_test

import (
	. "github.com/onsi/ginkgo/v2"

	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/model"
)

// drawScenario makes up a scenario with more requests and faults than a search
// of every interleaving can take.
func drawScenario(t *rapid.T) model.Scenario {
	fault := func(name string, most int) int { return rapid.IntRange(0, most).Draw(t, name) }
	s := model.Scenario{
		Name:    "drawn",
		Ring:    rapid.SampledFrom([]int{2, 3, 4}).Draw(t, "ring"),
		Forward: rapid.Bool().Draw(t, "forward"),
		Faults: model.Faults{
			Refusals: fault("refusals", 3), Losses: fault("losses", 4), Kills: fault("kills", 2),
			Abandons: fault("abandons", 2), Breaks: fault("breaks", 2),
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
			s := drawScenario(t)
			w := model.New(&s, rapid.IntRange(2, 3).Draw(t, "routers"))
			err := model.Walk(w, rapid.IntRange(0, 150).Draw(t, "steps"), func(moves int) int {
				return rapid.IntRange(0, moves-1).Draw(t, "move")
			})
			if err != nil {
				t.Fatal(err)
			}
		})
	})
})
