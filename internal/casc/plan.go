package casc

import (
	"math"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// maxModels bounds the models considered for one request.
const maxModels = 6

// The rates at which answers are rated only to learn.
const (
	// sampleNew is the share of unrated answers that are rated after they are
	// passed on while little is known of them, and sampleRate afterwards.
	sampleNew  = 0.5
	sampleRate = 0.05
	// exploreRate is the share of requests on which a model outside the ladder
	// is tried first while its class is new, and exploreKnown afterwards.
	exploreRate  = 0.1
	exploreKnown = 0.01
	// enough is the number of ratings from which a class is no longer new.
	enough = 20
)

// option is a model that may try a request.
type option struct {
	model   *fleet.Model
	price   float64
	belief  belief // as the first rung
	after   belief // after a cheaper model failed
	trusted bool
	need    time.Duration
}

// planner is the state of one search for a ladder.
type planner struct {
	request  *Request
	left     time.Duration
	target   float64
	options  [maxModels]option // by price; the wanted model last, if usable
	count    int
	best     choice
	fallback bool // the wanted model is not usable
}

// choice is a ladder as the search holds it.
type choice struct {
	rungs   [3]int // options
	levels  [3]int // thresholds of all but the last
	count   int
	quality float64
	cost    float64
}

// Plan chooses the ladder of the lowest expected cost whose expected quality
// meets the team's target, or is the best to be had. The ladder has no rung if
// no model that the team allows is usable.
func Plan(now time.Time, config *fleet.Config, request Request, estimates *Estimates) Ladder {
	p := planner{request: &request, left: request.Deadline.Sub(now), target: float64(request.Team.TargetQuality)}
	p.gather(now, config, estimates)
	if p.count == 0 {
		return Ladder{Reason: "no model that the team allows takes work now"}
	}
	p.search()
	if explored, ok := p.explore(); ok {
		return p.ladder(explored, true)
	}
	return p.ladder(p.best, false)
}

// gather collects the models that may try the request, by price.
func (p *planner) gather(now time.Time, config *fleet.Config, estimates *Estimates) {
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
			p.add(now, m, estimates)
		}
	}
	if !p.fallback {
		p.add(now, wanted, estimates)
	}
}

// add inserts a model by price.
func (p *planner) add(now time.Time, m *fleet.Model, estimates *Estimates) {
	key := Key{Class: p.request.Class, Model: m.ID}
	o := option{model: m, price: float64(m.Price), belief: estimates.believe(now, key, m.Quality)}
	key.Escalated = true
	o.after = estimates.believe(now, key, m.Quality)
	o.trusted = o.belief.lower() >= p.target
	if p.request.Need != nil {
		o.need = p.request.Need(m.ID)
	}
	i := p.count
	for i > 0 && p.options[i-1].price > o.price {
		p.options[i] = p.options[i-1]
		i--
	}
	p.options[i] = o
	p.count++
}

// search tries every ladder of up to two rated rungs and a last one.
func (p *planner) search() {
	for last := range p.count {
		o := &p.options[last]
		if last < p.count-1 && !o.trusted && !p.fallback {
			continue
		}
		p.offer(choice{rungs: [3]int{last}, count: 1, quality: o.belief.mean(), cost: o.price})
		if !p.request.Rater.Up {
			continue
		}
		// What a model makes of requests that a cheaper one failed at is rarely
		// rated, so it is taken for a standard error worse than it looks.
		end := choice{rungs: [3]int{last}, count: 1, quality: o.after.mean() - o.after.doubt(), cost: o.price}
		for second := range last {
			p.extend(end, second)
		}
	}
}

// extend offers the ladders that end so, with a rated rung or two before.
func (p *planner) extend(end choice, second int) {
	o := &p.options[second]
	if !p.fits(end, second) {
		return
	}
	for from := 1; from < Levels; from++ {
		p.offer(p.prepend(end, second, from, &o.belief))
		two := p.prepend(end, second, from, &o.after)
		for first := range second {
			if !p.fits(two, first) {
				continue
			}
			for at := 1; at < Levels; at++ {
				p.offer(p.prepend(two, first, at, &p.options[first].belief))
			}
		}
	}
}

// prepend puts a rated rung before a ladder; answers from a level on are
// passed on.
func (p *planner) prepend(rest choice, first, from int, belief *belief) choice {
	part, quality := belief.passed(from)
	c := choice{
		count:   rest.count + 1,
		quality: quality + (1-part)*rest.quality,
		cost:    p.options[first].price + (1-part)*rest.cost,
	}
	c.rungs[0], c.levels[0] = first, from
	copy(c.rungs[1:], rest.rungs[:rest.count])
	copy(c.levels[1:], rest.levels[:rest.count])
	return c
}

// fits tells whether all rungs can run one after another within the deadline.
func (p *planner) fits(rest choice, first int) bool {
	need := p.options[first].need
	for _, r := range rest.rungs[:rest.count] {
		need += p.request.Rater.Patience + p.options[r].need
	}
	return need <= p.left
}

// offer keeps a ladder if it is better than the best so far: one that meets
// the target at a lower cost, or else of a higher quality.
func (p *planner) offer(c choice) {
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

// explore puts a model that the best ladder does not use first, for a bounded
// share of requests. Its answers are rated before they are passed on, so that
// learning costs money but no quality.
func (p *planner) explore() (choice, bool) {
	if !p.request.Rater.Up || p.count < 2 || p.fallback {
		return choice{}, false
	}
	last := p.count - 1
	first := int(p.request.Seed % uint64(last))
	o := &p.options[first]
	rate := exploreKnown
	if o.belief.weight < enough+priorWeight {
		rate = exploreRate
	}
	end := choice{rungs: [3]int{last}, count: 1, quality: p.options[last].after.mean(), cost: p.options[last].price}
	if chance(p.request.Seed, 1) >= rate || p.best.rungs[0] == first || !p.fits(end, first) {
		return choice{}, false
	}
	from := min(Levels-1, int(math.Ceil(p.target*(Levels-1))))
	return p.prepend(end, first, from, &o.belief), true
}

// ladder writes a choice out.
func (p *planner) ladder(c choice, explore bool) Ladder {
	l := Ladder{
		Rungs:   make([]Rung, c.count),
		Quality: ident.Quality(c.quality),
		Cost:    ident.Micros(math.Round(c.cost)),
		Explore: explore,
		Sample:  p.request.Rater.Up && chance(p.request.Seed, 2) < p.sampling(c),
		Reason:  p.reason(c, explore),
	}
	for i := range l.Rungs {
		o := &p.options[c.rungs[i]]
		l.Rungs[i] = Rung{Model: o.model.ID, Trusted: o.trusted}
		if i+1 < c.count {
			l.Rungs[i].Rated = true
			l.Rungs[i].Threshold = ident.Quality(level(c.levels[i]))
			l.Rungs[i].Patience = p.request.Rater.Patience
			l.Rungs[i].Next = p.options[c.rungs[i+1]].need
		}
	}
	return l
}

// sampling gives the share of a ladder's final answers to rate afterwards.
func (p *planner) sampling(c choice) float64 {
	last := &p.options[c.rungs[c.count-1]]
	weight := last.belief.weight
	if c.count > 1 {
		weight = last.after.weight
	}
	if weight < enough+priorWeight {
		return sampleNew
	}
	return sampleRate
}

func (p *planner) reason(c choice, explore bool) string {
	switch {
	case explore:
		return "a cheaper model is tried to learn about the class"
	case p.fallback:
		return "the wanted model's pools are out"
	case c.quality < p.target:
		return "no ladder is expected to meet the target, the best is taken"
	default:
		return "the cheapest ladder expected to meet the target"
	}
}

// chance maps a seed to [0, 1), differently for each use.
func chance(seed, use uint64) float64 {
	x := seed + use*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / math.Exp2(53)
}
