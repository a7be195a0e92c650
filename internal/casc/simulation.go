package casc

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// The traffic of a simulation.
const (
	simulatedRequests      = 40_000
	simulatedRequestGap    = 250 * time.Millisecond // between requests
	simulatedTarget        = 0.85
	simulatedRaterNoise    = 0.05 // standard deviation of the rater's error
	simulatedRatingTimeout = 500 * time.Millisecond
	simulatedLatency       = 2 * time.Second // time to each model's complete answer
	simulatedDeadline      = 10 * time.Second
)

// class is a request class with each model's mean quality in it.
type class struct {
	id    ident.ClassID
	means map[ident.ModelID]float64
}

// condition describes the faults and changes of a simulation.
type condition struct {
	name        string
	lateRatings float64 // share of the ratings that arrive too late
	raterDown   bool    // the rater is down in the middle third
	drift       bool    // the quality of the cheap model drops in one class after half of the requests
	newClass    bool    // one class appears only after half of the requests
}

// policy is a strategy for choosing models.
type policy string

// The policies that are compared.
const (
	policyCascade   policy = "cascade"
	policyBest      policy = "always best"
	policyCheap     policy = "always cheap"
	policySplit     policy = "fixed split, half to each"
	policyHindsight policy = "hindsight"
)

// simulation is one simulated run of a policy.
type simulation struct {
	condition
	policy        policy
	requests      int
	random        *rand.Rand
	config        *fleet.Config
	team          *fleet.Team
	estimates     *Estimates
	now           time.Time
	qualityPrices map[ident.ClassID]float64 // price of a unit of quality for the hindsight policy
	classes       map[ident.ClassID]*totals
	cost          float64
	quality       float64
	secondHalf    totals // of the second half of the requests
	all           totals
}

// totals holds sums over requests.
type totals struct{ requests, cost, quality float64 }

const (
	cheapModel ident.ModelID = "small"
	midModel   ident.ModelID = "medium"
	bestModel  ident.ModelID = "large"
)

func simulatedConfig() (*fleet.Config, *fleet.Team) {
	models := map[ident.ModelID]*fleet.Model{
		cheapModel: {ID: cheapModel, Price: 100, Quality: 0.7},
		midModel:   {ID: midModel, Price: 400, Quality: 0.8},
		bestModel:  {ID: bestModel, Price: 1000, Quality: 0.9},
	}
	team := &fleet.Team{
		ID: "t", TargetQuality: simulatedTarget, CheaperModels: []ident.ModelID{cheapModel, midModel},
		Models: []fleet.ModelGrant{{Model: cheapModel}, {Model: midModel}, {Model: bestModel}},
	}
	return &fleet.Config{Models: models}, team
}

func classes() []class {
	return []class{
		{"easy", map[ident.ModelID]float64{cheapModel: 0.92, midModel: 0.93, bestModel: 0.94}},
		{"middling", map[ident.ModelID]float64{cheapModel: 0.75, midModel: 0.85, bestModel: 0.92}},
		{"hard", map[ident.ModelID]float64{cheapModel: 0.45, midModel: 0.70, bestModel: 0.90}},
	}
}

func newSimulation(seed uint64, requests int, c condition, p policy) *simulation {
	config, team := simulatedConfig()
	return &simulation{
		condition: c, policy: p, requests: requests, config: config, team: team,
		qualityPrices: map[ident.ClassID]float64{}, classes: map[ident.ClassID]*totals{},
		random: rand.New(rand.NewPCG(seed, 1)), estimates: NewEstimates(), now: time.Unix(0, 0).UTC(),
	}
}

func (t *simulation) run() {
	list := classes()
	for i := range t.requests {
		t.now = t.now.Add(simulatedRequestGap)
		k := int(t.random.Float64() * float64(len(list)))
		if t.newClass && i < t.requests/2 {
			k = 1 + k%(len(list)-1)
		}
		c := list[k]
		seed, hardness := t.random.Uint64(), t.random.NormFloat64()
		noise := [3]float64{t.random.NormFloat64(), t.random.NormFloat64(), t.random.NormFloat64()}
		answer := func(m ident.ModelID) float64 { return t.answer(i, c, m, hardness, noise) }
		before := totals{cost: t.cost, quality: t.quality}
		t.serveRequest(i, c.id, seed, answer)
		served := totals{requests: 1, cost: t.cost - before.cost, quality: t.quality - before.quality}
		t.all.add(served)
		if t.classes[c.id] == nil {
			t.classes[c.id] = &totals{}
		}
		t.classes[c.id].add(served)
		if i >= t.requests/2 {
			t.secondHalf.add(served)
		}
	}
}

func (q *totals) add(o totals) {
	q.requests += o.requests
	q.cost += o.cost
	q.quality += o.quality
}

// answer returns the true quality of a model's answer to a request. Hardness
// affects all models alike.
func (t *simulation) answer(i int, c class, m ident.ModelID, hardness float64, noise [3]float64) float64 {
	mean, which := c.means[m], 0
	switch m {
	case midModel:
		which = 1
	case bestModel:
		which = 2
	}
	if t.drift && i >= t.requests/2 && c.id == "easy" && m == cheapModel {
		mean = 0.5
	}
	return math.Min(1, math.Max(0, mean+0.08*hardness+0.06*noise[which]))
}

func (t *simulation) serveRequest(i int, class ident.ClassID, seed uint64, answer func(ident.ModelID) float64) {
	switch t.policy {
	case policyBest:
		t.useModel(bestModel, answer)
	case policyCheap:
		t.useModel(cheapModel, answer)
	case policySplit:
		if seed%2 == 0 {
			t.useModel(cheapModel, answer)
		} else {
			t.useModel(bestModel, answer)
		}
	case policyHindsight:
		t.useModel(t.bestInHindsight(class, answer), answer)
	case policyCascade:
		t.runCascade(i, class, seed, answer)
	}
}

func (t *simulation) useModel(m ident.ModelID, answer func(ident.ModelID) float64) {
	t.cost += float64(t.config.Models[m].Price)
	t.quality += answer(m)
}

// bestInHindsight returns the model with the greatest value of its answer minus
// its cost, with all answers known.
func (t *simulation) bestInHindsight(class ident.ClassID, answer func(ident.ModelID) float64) ident.ModelID {
	best, bestValue := bestModel, math.Inf(-1)
	for _, m := range [...]ident.ModelID{cheapModel, midModel, bestModel} {
		if w := answer(m)*t.qualityPrices[class] - float64(t.config.Models[m].Price); w > bestValue {
			best, bestValue = m, w
		}
	}
	return best
}

// runCascade plans and runs a cascade.
func (t *simulation) runCascade(i int, class ident.ClassID, seed uint64, answer func(ident.ModelID) float64) {
	up := !t.raterDown || i < t.requests/3 || i >= t.requests*2/3
	cascade := Plan(t.now, t.config, Request{
		Team: t.team, Class: class, Wanted: bestModel, Seed: seed, Deadline: t.now.Add(simulatedDeadline),
		Rater:   Rater{Available: up, Timeout: simulatedRatingTimeout},
		Usable:  func(ident.ModelID) bool { return true },
		Latency: func(ident.ModelID) time.Duration { return simulatedLatency },
	}, t.estimates)
	for n := range cascade.Stages {
		stage := &cascade.Stages[n]
		quality := answer(stage.Model)
		t.cost += float64(t.config.Models[stage.Model].Price)
		var rating Rating = Unrated{}
		if (stage.Rated || cascade.SampleFinal) && up && t.random.Float64() >= t.lateRatings {
			rated := ident.Quality(quality + simulatedRaterNoise*t.random.NormFloat64())
			t.estimates.Observe(t.now, Source{Router: "r"}, Key{Class: class, Model: stage.Model, Escalated: n > 0}, rated)
			rating = Rated{Quality: rated}
		}
		decision := Decide(t.now, cascade, n, rating, t.now.Add(simulatedDeadline))
		if _, escalate := decision.(Escalate); !escalate {
			t.quality += quality
			return
		}
	}
}
