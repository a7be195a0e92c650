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

// rated gives estimates with many ratings of one model.
func rated(model ident.ModelID, quality ident.Quality) *casc.Estimates {
	e := casc.New()
	for range 200 {
		e.Observe(start, casc.Source{Router: "r"}, casc.Key{Class: "c", Model: model}, quality)
	}
	return e
}

func models(l casc.Ladder) []ident.ModelID {
	var ids []ident.ModelID
	for _, r := range l.Rungs {
		ids = append(ids, r.Model)
	}
	return ids
}

var _ = Describe("Plan", func() {
	It("uses only models that the team allows and that take work, and rates all but the last", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			all := []ident.ModelID{"small", "medium", "large", "other"}
			r, e := request(), casc.New()
			r.Seed = rapid.Uint64().Draw(t, "seed")
			r.Team.CheaperModels = rapid.SliceOfDistinct(rapid.SampledFrom(all), rapid.ID).Draw(t, "cheaper")
			usable := rapid.SliceOfDistinct(rapid.SampledFrom(all), rapid.ID).Draw(t, "usable")
			r.Usable = func(m ident.ModelID) bool { return slices.Contains(usable, m) }
			r.Rater.Up = rapid.Bool().Draw(t, "rater")
			for range rapid.IntRange(0, 40).Draw(t, "ratings") {
				key := casc.Key{Class: "c", Model: rapid.SampledFrom(all).Draw(t, "model")}
				e.Observe(start, casc.Source{Router: "r"}, key, ident.Quality(rapid.Float64Range(0.7, 1).Draw(t, "quality")))
			}
			l := casc.Plan(start, config(), r, e)
			for i, rung := range l.Rungs {
				last := i == len(l.Rungs)-1
				allowed := rung.Model == "large" || slices.Contains(r.Team.CheaperModels, rung.Model)
				if !allowed || !r.Usable(rung.Model) || rung.Rated == last || rung.Rated && !r.Rater.Up {
					t.Fatalf("rung %d of %+v is not allowed", i, l)
				}
			}
			mean, _ := e.Expected(start, casc.Key{Class: "c", Model: "large"}, 0.9)
			if r.Usable("large") && !l.Explore && l.Quality < min(mean, r.Team.TargetQuality) {
				t.Fatalf("expected quality %.3f is below the target and the wanted model's %.3f", l.Quality, mean)
			}
			if len(l.Rungs) == 1 && l.Rungs[0].Model != "large" && r.Usable("large") {
				_, lower := e.Expected(start, casc.Key{Class: "c", Model: l.Rungs[0].Model}, config().Models[l.Rungs[0].Model].Quality)
				if lower < r.Team.TargetQuality {
					t.Fatalf("model %s is trusted with a lower bound of %.3f", l.Rungs[0].Model, lower)
				}
			}
			if len(l.Rungs) == 0 && r.Usable("large") {
				t.Fatal("the wanted model takes work, but there is no ladder")
			}
		})
	})

	It("takes a cheap model alone once its quality is sure, and also while the rater is down", func() {
		r := request()
		e := rated("small", 0.95)
		Expect(models(casc.Plan(start, config(), r, e))).To(Equal([]ident.ModelID{"small"}))
		r.Rater.Up = false
		Expect(models(casc.Plan(start, config(), r, e))).To(Equal([]ident.ModelID{"small"}))
	})

	It("goes straight to the wanted model while the rater is down and the cheap one is not sure", func() {
		r := request()
		r.Rater.Up = false
		Expect(models(casc.Plan(start, config(), r, rated("small", 0.8)))).To(Equal([]ident.ModelID{"large"}))
		later := start.Add(6 * time.Hour)
		r.Deadline = later.Add(time.Minute)
		Expect(models(casc.Plan(later, config(), r, rated("small", 0.95)))).To(Equal([]ident.ModelID{"large"}), "old ratings prove nothing")
	})

	It("plans no second rung that the deadline has no time for", func() {
		r := request()
		e := rated("small", 0.5)
		for range 200 {
			e.Observe(start, casc.Source{Router: "r"}, casc.Key{Class: "c", Model: "small"}, 1)
		}
		Expect(len(casc.Plan(start, config(), r, e).Rungs)).To(BeNumerically(">", 1))
		r.Deadline = start.Add(15 * time.Second)
		Expect(models(casc.Plan(start, config(), r, e))).To(Equal([]ident.ModelID{"large"}))
	})

	It("falls to a cheaper model when pools are out, only where the team allows it", func() {
		r := request()
		r.Usable = func(m ident.ModelID) bool { return m != "large" }
		Expect(models(casc.Plan(start, config(), r, casc.New()))).To(ContainElement(ident.ModelID("medium")))
		r.Team.CheaperModels = nil
		Expect(casc.Plan(start, config(), r, casc.New()).Rungs).To(BeEmpty())
	})

	It("explores at a bounded rate, and rates what it explores before passing it on", func() {
		r, e := request(), rated("small", 0.2)
		explored := 0
		const requests = 4000
		for seed := range uint64(requests) {
			r.Seed = seed * 0x9e3779b97f4a7c15
			l := casc.Plan(start, config(), r, e)
			if l.Explore {
				explored++
				Expect(l.Rungs[0].Rated).To(BeTrue())
				Expect(l.Rungs[len(l.Rungs)-1].Model).To(Equal(ident.ModelID("large")))
			}
		}
		Expect(explored).To(BeNumerically(">", 0))
		Expect(explored).To(BeNumerically("<", requests/8))
	})
})

var _ = Describe("Judge", func() {
	ladder := func(trusted bool) casc.Ladder {
		return casc.Ladder{Rungs: []casc.Rung{
			{Model: "small", Rated: true, Threshold: 0.8, Trusted: trusted, Next: 10 * time.Second},
			{Model: "large"},
		}}
	}
	DescribeTable("decides on an answer",
		func(trusted bool, index int, rating casc.Rating, left time.Duration, verdict casc.Verdict) {
			Expect(casc.Judge(start, ladder(trusted), index, rating, start.Add(left))).To(BeAssignableToTypeOf(verdict))
		},
		Entry("good enough", false, 0, casc.Rated{Quality: 0.8}, time.Minute, casc.Accept{}),
		Entry("too low", false, 0, casc.Rated{Quality: 0.79}, time.Minute, casc.Escalate{}),
		Entry("too low, though trusted", true, 0, casc.Rated{Quality: 0.1}, time.Minute, casc.Escalate{}),
		Entry("too low with no time left", false, 0, casc.Rated{Quality: 0.1}, time.Second, casc.AcceptUnrated{}),
		Entry("unrated and trusted", true, 0, casc.Unrated{}, time.Minute, casc.AcceptUnrated{}),
		Entry("unrated and not trusted", false, 0, casc.Unrated{}, time.Minute, casc.Escalate{}),
		Entry("unrated with no time left", false, 0, casc.Unrated{}, time.Second, casc.AcceptUnrated{}),
		Entry("of the last rung", false, 1, casc.Unrated{}, time.Second, casc.Accept{}),
	)
})

var _ = Describe("A cascade", func() {
	It("meets the target in each class at a lower cost than the best model, in every condition", func() {
		for _, r := range casc.Compare(3, 8000) {
			if r.Policy == "cascade" {
				Expect(r.Worst).To(BeNumerically(">=", r.Target), "%+v", r)
				Expect(r.Cost).To(BeNumerically("<", 1), "%+v", r)
			}
		}
	})
})
