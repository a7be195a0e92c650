package casc_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/casc"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// ratedEstimates returns estimates with 200 ratings of one model.
func ratedEstimates(model ident.ModelID, quality ident.Quality) *casc.Estimates {
	e := casc.NewEstimates()
	for range 200 {
		e.Observe(start, casc.Source{Router: "r"}, casc.Key{Class: "c", Model: model}, quality)
	}
	return e
}

func stageModels(cascade casc.Cascade) []ident.ModelID {
	var ids []ident.ModelID
	for _, s := range cascade.Stages {
		ids = append(ids, s.Model)
	}
	return ids
}

var _ = Describe("Plan", func() {
	It("uses only models that the team may use and that accept work, and rates all but the last", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			all := []ident.ModelID{"small", "medium", "large", "other"}
			r, e := request(), casc.NewEstimates()
			r.Seed = rapid.Uint64().Draw(t, "seed")
			r.Team.CheaperModels = rapid.SliceOfDistinct(rapid.SampledFrom(all), rapid.ID).Draw(t, "cheaper")
			usable := rapid.SliceOfDistinct(rapid.SampledFrom(all), rapid.ID).Draw(t, "usable")
			r.Usable = func(m ident.ModelID) bool { return slices.Contains(usable, m) }
			r.Rater.Available = rapid.Bool().Draw(t, "rater")
			for range rapid.IntRange(0, 40).Draw(t, "ratings") {
				key := casc.Key{Class: "c", Model: rapid.SampledFrom(all).Draw(t, "model")}
				e.Observe(start, casc.Source{Router: "r"}, key, ident.Quality(rapid.Float64Range(0.7, 1).Draw(t, "quality")))
			}
			cascade := casc.Plan(start, config(), r, e)
			for i, stage := range cascade.Stages {
				last := i == len(cascade.Stages)-1
				allowed := stage.Model == "large" || slices.Contains(r.Team.CheaperModels, stage.Model)
				if !allowed || !r.Usable(stage.Model) || stage.Rated == last || stage.Rated && !r.Rater.Available {
					t.Fatalf("stage %d of %+v is not allowed", i, cascade)
				}
			}
			mean, _ := e.Expected(start, casc.Key{Class: "c", Model: "large"}, 0.9)
			if r.Usable("large") && !cascade.Exploratory && cascade.Quality < min(mean, r.Team.TargetQuality) {
				t.Fatalf("expected quality %.3f is below the target and the wanted model's %.3f", cascade.Quality, mean)
			}
			if len(cascade.Stages) == 1 && cascade.Stages[0].Model != "large" && r.Usable("large") {
				_, lower := e.Expected(start, casc.Key{Class: "c", Model: cascade.Stages[0].Model}, config().Models[cascade.Stages[0].Model].Quality)
				if lower < r.Team.TargetQuality {
					t.Fatalf("model %s is trusted with a lower bound of %.3f", cascade.Stages[0].Model, lower)
				}
			}
			if len(cascade.Stages) == 0 && r.Usable("large") {
				t.Fatal("the wanted model accepts work, but the cascade has no stages")
			}
		})
	})

	It("uses a cheap model alone once its quality is proven, also while the rater is down", func() {
		r := request()
		e := ratedEstimates("small", 0.95)
		Expect(stageModels(casc.Plan(start, config(), r, e))).To(Equal([]ident.ModelID{"small"}))
		r.Rater.Available = false
		Expect(stageModels(casc.Plan(start, config(), r, e))).To(Equal([]ident.ModelID{"small"}))
	})

	It("uses only the wanted model while the rater is down and the cheap model is not proven", func() {
		r := request()
		r.Rater.Available = false
		Expect(stageModels(casc.Plan(start, config(), r, ratedEstimates("small", 0.8)))).To(Equal([]ident.ModelID{"large"}))
		later := start.Add(6 * time.Hour)
		r.Deadline = later.Add(time.Minute)
		Expect(stageModels(casc.Plan(later, config(), r, ratedEstimates("small", 0.95)))).To(Equal([]ident.ModelID{"large"}), "decayed ratings are no proof")
	})

	It("plans no second stage that would miss the deadline", func() {
		r := request()
		e := ratedEstimates("small", 0.5)
		for range 200 {
			e.Observe(start, casc.Source{Router: "r"}, casc.Key{Class: "c", Model: "small"}, 1)
		}
		Expect(len(casc.Plan(start, config(), r, e).Stages)).To(BeNumerically(">", 1))
		r.Deadline = start.Add(15 * time.Second)
		Expect(stageModels(casc.Plan(start, config(), r, e))).To(Equal([]ident.ModelID{"large"}))
	})

	It("falls back to a cheaper model without usable pools, only where the team allows it", func() {
		r := request()
		r.Usable = func(m ident.ModelID) bool { return m != "large" }
		Expect(stageModels(casc.Plan(start, config(), r, casc.NewEstimates()))).To(ContainElement(ident.ModelID("medium")))
		r.Team.CheaperModels = nil
		Expect(casc.Plan(start, config(), r, casc.NewEstimates()).Stages).To(BeEmpty())
	})

	It("explores at a bounded rate, and rates exploratory answers before they are returned", func() {
		r, e := request(), ratedEstimates("small", 0.2)
		explored := 0
		const requests = 4000
		for seed := range uint64(requests) {
			r.Seed = seed * 0x9e3779b97f4a7c15
			cascade := casc.Plan(start, config(), r, e)
			if cascade.Exploratory {
				explored++
				Expect(cascade.Stages[0].Rated).To(BeTrue())
				Expect(cascade.Stages[len(cascade.Stages)-1].Model).To(Equal(ident.ModelID("large")))
			}
		}
		Expect(explored).To(BeNumerically(">", 0))
		Expect(explored).To(BeNumerically("<", requests/8))
	})
})

var _ = Describe("Decide", func() {
	cascade := func(trusted bool) casc.Cascade {
		return casc.Cascade{Stages: []casc.Stage{
			{Model: "small", Rated: true, Threshold: 0.8, Trusted: trusted, NextLatency: 10 * time.Second},
			{Model: "large"},
		}}
	}
	DescribeTable("decides on an answer that is",
		func(trusted bool, index int, rating casc.Rating, left time.Duration, decision casc.Decision) {
			Expect(casc.Decide(start, cascade(trusted), index, rating, start.Add(left))).To(BeAssignableToTypeOf(decision))
		},
		Entry("good enough", false, 0, casc.Rated{Quality: 0.8}, time.Minute, casc.Accept{}),
		Entry("too low", false, 0, casc.Rated{Quality: 0.79}, time.Minute, casc.Escalate{}),
		Entry("too low, though trusted", true, 0, casc.Rated{Quality: 0.1}, time.Minute, casc.Escalate{}),
		Entry("too low with no time left", false, 0, casc.Rated{Quality: 0.1}, time.Second, casc.AcceptUnrated{}),
		Entry("unrated and trusted", true, 0, casc.Unrated{}, time.Minute, casc.AcceptUnrated{}),
		Entry("unrated and not trusted", false, 0, casc.Unrated{}, time.Minute, casc.Escalate{}),
		Entry("unrated with no time left", false, 0, casc.Unrated{}, time.Second, casc.AcceptUnrated{}),
		Entry("from the last stage", false, 1, casc.Unrated{}, time.Second, casc.Accept{}),
	)
})

var _ = Describe("A cascade", func() {
	It("meets the target in each class at a lower cost than the best model, in all conditions", func() {
		for _, r := range casc.ComparePolicies(3, 8000) {
			if r.Policy == "cascade" {
				Expect(r.WorstClassQuality).To(BeNumerically(">=", r.Target), "%+v", r)
				Expect(r.Cost).To(BeNumerically("<", 1), "%+v", r)
			}
		}
	})
})
