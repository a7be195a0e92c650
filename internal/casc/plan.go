package casc

import (
	"math"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// maxModels limits the number of models considered for one request.
const maxModels = 6

// The rates of ratings that serve only to estimate quality.
const (
	// newSampleRate is the share of unrated answers that are rated after they
	// are returned while their class has few ratings, and knownSampleRate
	// afterwards.
	newSampleRate   = 0.5
	knownSampleRate = 0.05
	// newExploreRate is the share of requests on which a model that the best
	// cascade does not start with is tried first while it has few ratings in the
	// class, and knownExploreRate afterwards.
	newExploreRate   = 0.1
	knownExploreRate = 0.01
	// knownClassRatings is the number of ratings from which a class is no longer
	// new.
	knownClassRatings = 20
)

// candidate is a model that may try a request.
type candidate struct {
	model     *fleet.Model
	price     float64
	direct    posterior // quality as the first stage
	escalated posterior // quality after a cheaper model failed
	trusted   bool
	latency   time.Duration
}

// planner holds the state of one search for a cascade.
type planner struct {
	request    *Request
	remaining  time.Duration
	target     float64
	candidates [maxModels]candidate // by price; the wanted model is the last one, if usable
	count      int
	best       plan
	fallback   bool // the wanted model is not usable
}

// plan is a cascade during the search.
type plan struct {
	stages  [3]int // indices of candidates
	levels  [3]int // threshold levels of all stages but the last
	count   int
	quality float64
	cost    float64
}

// Plan returns the cascade with the lowest expected cost whose expected quality
// meets the team's target, or the one with the highest expected quality if none
// does. The cascade has no stages if no model that the team may use is usable.
func Plan(now time.Time, config *fleet.Config, request Request, estimates *Estimates) Cascade {
	p := planner{request: &request, remaining: request.Deadline.Sub(now), target: float64(request.Team.TargetQuality)}
	p.collectCandidates(now, config, estimates)
	if p.count == 0 {
		return Cascade{Reason: "no model that the team may use accepts work now"}
	}
	p.search()
	if exploratory, ok := p.explore(); ok {
		return p.cascade(exploratory, true)
	}
	return p.cascade(p.best, false)
}

// collectCandidates adds the models that may try the request.
func (p *planner) collectCandidates(now time.Time, config *fleet.Config, estimates *Estimates) {
	wanted, ok := config.Models[p.request.Wanted]
	if !ok {
		return
	}
	p.fallback = !p.request.Usable(wanted.ID)
	for _, id := range p.request.Team.CheaperModels {
		m, ok := config.Models[id]
		if !ok || id == wanted.ID || p.count == maxModels-1 || !p.fallback && m.Price >= wanted.Price {
			continue
		}
		if p.request.Usable(id) {
			p.insertCandidate(now, m, estimates)
		}
	}
	if !p.fallback {
		p.insertCandidate(now, wanted, estimates)
	}
}

// insertCandidate inserts a model, sorted by price.
func (p *planner) insertCandidate(now time.Time, m *fleet.Model, estimates *Estimates) {
	key := Key{Class: p.request.Class, Model: m.ID}
	o := candidate{model: m, price: float64(m.Price), direct: estimates.posterior(now, key, m.Quality)}
	key.Escalated = true
	o.escalated = estimates.posterior(now, key, m.Quality)
	o.trusted = o.direct.lowerBound() >= p.target
	if p.request.Latency != nil {
		o.latency = p.request.Latency(m.ID)
	}
	i := p.count
	for i > 0 && p.candidates[i-1].price > o.price {
		p.candidates[i] = p.candidates[i-1]
		i--
	}
	p.candidates[i] = o
	p.count++
}

// search tries all cascades of up to two rated stages and a last one.
func (p *planner) search() {
	for last := range p.count {
		o := &p.candidates[last]
		if last < p.count-1 && !o.trusted && !p.fallback {
			continue
		}
		p.keepIfBetter(plan{stages: [3]int{last}, count: 1, quality: o.direct.mean(), cost: o.price})
		if !p.request.Rater.Available {
			continue
		}
		// Answers to escalated requests are rarely rated, so their quality is
		// assumed to be one standard error below the estimated mean.
		end := plan{stages: [3]int{last}, count: 1, quality: o.escalated.mean() - o.escalated.standardError(), cost: o.price}
		for second := range last {
			p.searchPrefixes(end, second)
		}
	}
}

// searchPrefixes tries the cascades that consist of one or two rated stages
// followed by end.
func (p *planner) searchPrefixes(end plan, second int) {
	o := &p.candidates[second]
	if !p.meetsDeadline(end, second) {
		return
	}
	for from := 1; from < QualityLevels; from++ {
		p.keepIfBetter(p.prepend(end, second, from, &o.direct))
		two := p.prepend(end, second, from, &o.escalated)
		for first := range second {
			if !p.meetsDeadline(two, first) {
				continue
			}
			for at := 1; at < QualityLevels; at++ {
				p.keepIfBetter(p.prepend(two, first, at, &p.candidates[first].direct))
			}
		}
	}
}

// prepend returns rest with a rated stage before it, whose answers are accepted
// from a quality level on.
func (p *planner) prepend(rest plan, first, from int, estimate *posterior) plan {
	accepted, quality := estimate.accepted(from)
	c := plan{
		count:   rest.count + 1,
		quality: quality + (1-accepted)*rest.quality,
		cost:    p.candidates[first].price + (1-accepted)*rest.cost,
	}
	c.stages[0], c.levels[0] = first, from
	copy(c.stages[1:], rest.stages[:rest.count])
	copy(c.levels[1:], rest.levels[:rest.count])
	return c
}

// meetsDeadline reports whether all stages can run one after another within the
// deadline.
func (p *planner) meetsDeadline(rest plan, first int) bool {
	latency := p.candidates[first].latency
	for _, i := range rest.stages[:rest.count] {
		latency += p.request.Rater.Timeout + p.candidates[i].latency
	}
	return latency <= p.remaining
}

// keepIfBetter replaces the best cascade by c if c is better: if it meets the
// target at a lower cost or, while none meets the target, if its quality is
// higher.
func (p *planner) keepIfBetter(c plan) {
	b := &p.best
	meets, met := c.quality >= p.target, b.count > 0 && b.quality >= p.target
	switch {
	case b.count == 0, meets && !met:
	case meets && c.cost < b.cost:
	case !meets && !met && c.quality > b.quality:
	default:
		return
	}
	p.best = c
}

// explore returns, for a bounded share of requests, a cascade that starts with a
// model that the best cascade does not start with. Its answers are rated before
// they are returned, so that exploration costs money but no quality.
func (p *planner) explore() (plan, bool) {
	if !p.request.Rater.Available || p.count < 2 || p.fallback {
		return plan{}, false
	}
	last := p.count - 1
	first := int(p.request.Seed % uint64(last))
	o := &p.candidates[first]
	rate := knownExploreRate
	if o.direct.weight < knownClassRatings+priorRatings {
		rate = newExploreRate
	}
	end := plan{stages: [3]int{last}, count: 1, quality: p.candidates[last].escalated.mean(), cost: p.candidates[last].price}
	if hashFraction(p.request.Seed, 1) >= rate || p.best.stages[0] == first || !p.meetsDeadline(end, first) {
		return plan{}, false
	}
	from := min(QualityLevels-1, int(math.Ceil(p.target*(QualityLevels-1))))
	return p.prepend(end, first, from, &o.direct), true
}

// cascade converts a plan to a Cascade.
func (p *planner) cascade(c plan, explore bool) Cascade {
	result := Cascade{
		Stages:      make([]Stage, c.count),
		Quality:     ident.Quality(c.quality),
		Cost:        ident.Micros(math.Round(c.cost)),
		Exploratory: explore,
		SampleFinal: p.request.Rater.Available && hashFraction(p.request.Seed, 2) < p.finalSampleRate(c),
		Reason:      p.reason(c, explore),
	}
	for i := range result.Stages {
		o := &p.candidates[c.stages[i]]
		result.Stages[i] = Stage{Model: o.model.ID, Trusted: o.trusted}
		if i+1 < c.count {
			result.Stages[i].Rated = true
			result.Stages[i].Threshold = ident.Quality(levelQuality(c.levels[i]))
			result.Stages[i].RatingTimeout = p.request.Rater.Timeout
			result.Stages[i].NextLatency = p.candidates[c.stages[i+1]].latency
		}
	}
	return result
}

// finalSampleRate returns the share of a cascade's final answers that are rated
// after they are returned.
func (p *planner) finalSampleRate(c plan) float64 {
	last := &p.candidates[c.stages[c.count-1]]
	weight := last.direct.weight
	if c.count > 1 {
		weight = last.escalated.weight
	}
	if weight < knownClassRatings+priorRatings {
		return newSampleRate
	}
	return knownSampleRate
}

func (p *planner) reason(c plan, explore bool) string {
	switch {
	case explore:
		return "a cheaper model is tried to gather ratings of the class"
	case p.fallback:
		return "the wanted model has no pool that accepts work"
	case c.quality < p.target:
		return "no cascade is expected to meet the target; the one of the highest expected quality is used"
	default:
		return "the cheapest cascade expected to meet the target"
	}
}

// hashFraction maps a seed to [0, 1), differently for each use.
func hashFraction(seed, use uint64) float64 {
	x := seed + use*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / math.Exp2(53)
}
