package casc

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// The traffic of a trial.
const (
	trialRequests = 40_000
	trialGap      = 250 * time.Millisecond // between requests
	trialTarget   = 0.85
	trialNoise    = 0.05 // standard deviation of the rater's error
	trialPatience = 500 * time.Millisecond
	trialNeed     = 2 * time.Second // of each model's whole answer
	trialDeadline = 10 * time.Second
)

// class is a request class with each model's mean quality in it.
type class struct {
	id    ident.ClassID
	means map[ident.ModelID]float64
}

// condition is what a trial meets.
type condition struct {
	name   string
	silent float64 // share of ratings that come too late
	down   bool    // the rater is down in the middle third
	drift  bool    // the cheap model falls in one class at half-time
	fresh  bool    // one class appears at half-time only
}

// policy is a way to choose models.
type policy string

// The policies that are compared.
const (
	policyCascade policy = "cascade"
	policyBest    policy = "always best"
	policyCheap   policy = "always cheap"
	policySplit   policy = "fixed split, half to each"
	policyPerfect policy = "hindsight"
)

// trial is one simulated run of a policy.
type trial struct {
	condition
	policy    policy
	requests  int
	random    *rand.Rand
	config    *fleet.Config
	team      *fleet.Team
	estimates *Estimates
	now       time.Time
	prices    map[ident.ClassID]float64 // what a unit of quality is worth to the hindsight policy
	classes   map[ident.ClassID]*quantity
	cost      float64
	quality   float64
	late      quantity // of the requests after a change at half-time
	all       quantity
}

// quantity is a sum of costs and qualities.
type quantity struct{ requests, cost, quality float64 }

const (
	cheapModel ident.ModelID = "small"
	midModel   ident.ModelID = "medium"
	bestModel  ident.ModelID = "large"
)

func trialConfig() (*fleet.Config, *fleet.Team) {
	models := map[ident.ModelID]*fleet.Model{
		cheapModel: {ID: cheapModel, Price: 100, Quality: 0.7},
		midModel:   {ID: midModel, Price: 400, Quality: 0.8},
		bestModel:  {ID: bestModel, Price: 1000, Quality: 0.9},
	}
	team := &fleet.Team{
		ID: "t", TargetQuality: trialTarget, CheaperModels: []ident.ModelID{cheapModel, midModel},
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

func newTrial(seed uint64, requests int, c condition, p policy) *trial {
	config, team := trialConfig()
	return &trial{
		condition: c, policy: p, requests: requests, config: config, team: team,
		prices: map[ident.ClassID]float64{}, classes: map[ident.ClassID]*quantity{},
		random: rand.New(rand.NewPCG(seed, 1)), estimates: New(), now: time.Unix(0, 0).UTC(),
	}
}

func (t *trial) run() {
	list := classes()
	for i := range t.requests {
		t.now = t.now.Add(trialGap)
		k := int(t.random.Float64() * float64(len(list)))
		if t.fresh && i < t.requests/2 {
			k = 1 + k%(len(list)-1)
		}
		c := list[k]
		seed, hardness := t.random.Uint64(), t.random.NormFloat64()
		noise := [3]float64{t.random.NormFloat64(), t.random.NormFloat64(), t.random.NormFloat64()}
		answer := func(m ident.ModelID) float64 { return t.answer(i, c, m, hardness, noise) }
		before := quantity{cost: t.cost, quality: t.quality}
		t.serve(i, c.id, seed, answer)
		spent := quantity{requests: 1, cost: t.cost - before.cost, quality: t.quality - before.quality}
		t.all.add(spent)
		if t.classes[c.id] == nil {
			t.classes[c.id] = &quantity{}
		}
		t.classes[c.id].add(spent)
		if i >= t.requests/2 {
			t.late.add(spent)
		}
	}
}

func (q *quantity) add(o quantity) {
	q.requests += o.requests
	q.cost += o.cost
	q.quality += o.quality
}

// answer gives the true quality of a model's answer to a request. A hard
// request is hard for all models.
func (t *trial) answer(i int, c class, m ident.ModelID, hardness float64, noise [3]float64) float64 {
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

func (t *trial) serve(i int, class ident.ClassID, seed uint64, answer func(ident.ModelID) float64) {
	switch t.policy {
	case policyBest:
		t.pass(bestModel, answer)
	case policyCheap:
		t.pass(cheapModel, answer)
	case policySplit:
		if seed%2 == 0 {
			t.pass(cheapModel, answer)
		} else {
			t.pass(bestModel, answer)
		}
	case policyPerfect:
		t.pass(t.perfect(class, answer), answer)
	case policyCascade:
		t.cascade(i, class, seed, answer)
	}
}

func (t *trial) pass(m ident.ModelID, answer func(ident.ModelID) float64) {
	t.cost += float64(t.config.Models[m].Price)
	t.quality += answer(m)
}

// perfect chooses with knowledge of every answer the model that is worth most
// at the price of quality.
func (t *trial) perfect(class ident.ClassID, answer func(ident.ModelID) float64) ident.ModelID {
	best, worth := bestModel, math.Inf(-1)
	for _, m := range [...]ident.ModelID{cheapModel, midModel, bestModel} {
		if w := answer(m)*t.prices[class] - float64(t.config.Models[m].Price); w > worth {
			best, worth = m, w
		}
	}
	return best
}

// cascade runs a planned ladder.
func (t *trial) cascade(i int, class ident.ClassID, seed uint64, answer func(ident.ModelID) float64) {
	up := !t.down || i < t.requests/3 || i >= t.requests*2/3
	ladder := Plan(t.now, t.config, Request{
		Team: t.team, Class: class, Wanted: bestModel, Seed: seed, Deadline: t.now.Add(trialDeadline),
		Rater:  Rater{Up: up, Patience: trialPatience},
		Usable: func(ident.ModelID) bool { return true },
		Need:   func(ident.ModelID) time.Duration { return trialNeed },
	}, t.estimates)
	for n := range ladder.Rungs {
		rung := &ladder.Rungs[n]
		quality := answer(rung.Model)
		t.cost += float64(t.config.Models[rung.Model].Price)
		var rating Rating = Unrated{}
		if (rung.Rated || ladder.Sample) && up && t.random.Float64() >= t.silent {
			rated := ident.Quality(quality + trialNoise*t.random.NormFloat64())
			t.estimates.Observe(t.now, Source{Router: "r"}, Key{Class: class, Model: rung.Model, Escalated: n > 0}, rated)
			rating = Rated{Quality: rated}
		}
		verdict := Judge(t.now, ladder, n, rating, t.now.Add(trialDeadline))
		if _, more := verdict.(Escalate); !more {
			t.quality += quality
			return
		}
	}
}
