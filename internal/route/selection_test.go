package route_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// workload is a simulated load of long prompts with shared parts on engines that
// process one prompt after the other and cache the most recent shared parts.
type workload struct {
	engines      int
	routers      int
	sharedParts  int           // number of shared parts
	rate         float64       // requests a second
	sharedTokens ident.Tokens  // length of a shared part
	ownTokens    ident.Tokens  // length of the rest of a prompt
	tokenTime    time.Duration // prefill time of a token
	cacheParts   int           // shared parts that an engine caches
	hotShare     float64       // fraction of requests with the first shared part
}

var longPrompts = workload{engines: 9, routers: 8, sharedParts: 70, rate: 22, sharedTokens: 13300, ownTokens: 3700, tokenTime: 60 * time.Microsecond, cacheParts: 14}

// engine is one emulated engine.
type engine struct {
	readyAt time.Time // when its queue is empty
	parts   []string  // cached shared parts, the most recent last
}

func (e *engine) cached(part string) bool {
	for _, p := range e.parts {
		if p == part {
			return true
		}
	}
	return false
}

// store caches a part and evicts the least recent one over the limit.
func (e *engine) store(part string, limit int) {
	cached := e.parts[:0]
	for _, p := range e.parts {
		if p != part {
			cached = append(cached, p)
		}
	}
	cached = append(cached, part)
	if len(cached) > limit {
		cached = cached[1:]
	}
	e.parts = cached
}

// policy chooses an engine for a request; done reports each first event to it.
type policy interface {
	choose(now time.Time, router int, part string, seed uint64) int
	done(now time.Time, router, engine int, took time.Duration)
}

// run simulates the workload for a minute and returns the times to first events,
// sorted.
func (w workload) run(seed uint64, p policy) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 1))
	engines := make([]engine, w.engines)
	type end struct {
		at             time.Time
		router, engine int
		took           time.Duration
	}
	var ends []end
	var times []time.Duration
	now := start
	for now.Before(start.Add(time.Minute)) {
		now = now.Add(time.Duration(random.ExpFloat64() / w.rate * float64(time.Second)))
		sort.Slice(ends, func(i, j int) bool { return ends[i].at.Before(ends[j].at) })
		for len(ends) > 0 && !ends[0].at.After(now) {
			p.done(ends[0].at, ends[0].router, ends[0].engine, ends[0].took)
			ends = ends[1:]
		}
		part := fmt.Sprint("p", random.IntN(w.sharedParts))
		if random.Float64() < w.hotShare {
			part = "p0"
		}
		router := random.IntN(w.routers)
		i := p.choose(now, router, part, random.Uint64())
		e := &engines[i]
		work := w.ownTokens
		if !e.cached(part) {
			work += w.sharedTokens
		}
		e.store(part, w.cacheParts)
		if e.readyAt.Before(now) {
			e.readyAt = now
		}
		e.readyAt = e.readyAt.Add(time.Duration(work) * w.tokenTime)
		took := e.readyAt.Sub(now)
		times = append(times, took)
		ends = append(ends, end{at: e.readyAt, router: router, engine: i, took: took})
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times
}

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// estimatorPolicy is the policy under test, with one Estimator for each router.
// Routers exchange backlogs and prefixes every exchangeDelay.
type estimatorPolicy struct {
	load         workload
	candidates   []route.Candidate
	estimators   []*route.Estimator
	trackers     []*route.LoadTracker
	prefixes     []*route.PrefixIndex
	pending      []map[int][]sentRequest
	total        route.EndpointBacklogs
	lastExchange time.Time
	unreported   []sentPrefix
}

// exchangeDelay is the age up to which a router uses the data of others.
const exchangeDelay = 500 * time.Millisecond

// sentPrefix is a shared part that was sent to an engine.
type sentPrefix struct {
	engine ident.EndpointID
	hashes []uint64
}

type sentRequest struct {
	work        time.Duration
	uncorrected time.Duration
	uncached    ident.Tokens
}

func newEstimatorPolicy(w workload) *estimatorPolicy {
	p := &estimatorPolicy{load: w, total: route.EndpointBacklogs{}}
	for i := range w.engines {
		p.candidates = append(p.candidates, route.Candidate{Endpoint: ident.EndpointID(fmt.Sprint("e", i)), Zone: "z", Slots: 64})
	}
	for range w.routers {
		index, err := route.NewPrefixIndex(128)
		Expect(err).NotTo(HaveOccurred())
		p.prefixes = append(p.prefixes, index)
		p.estimators = append(p.estimators, route.NewEstimator())
		p.trackers = append(p.trackers, route.NewLoadTracker())
		p.pending = append(p.pending, map[int][]sentRequest{})
	}
	return p
}

func (p *estimatorPolicy) choose(now time.Time, router int, part string, seed uint64) int {
	if now.Sub(p.lastExchange) > exchangeDelay {
		p.lastExchange = now
		for _, n := range p.unreported {
			for _, index := range p.prefixes {
				index.RecordSent(n.engine, n.hashes)
			}
		}
		p.unreported = nil
		p.total = route.EndpointBacklogs{}
		for _, e := range p.estimators {
			for id, backlogs := range e.Backlogs() {
				p.total.Add(id, "m", backlogs["m"])
			}
		}
	}
	own := p.estimators[router].Backlogs()
	q := route.Query{
		Seed: seed, Zone: "z", Model: "m", Prompt: p.load.sharedTokens + p.load.ownTokens, Remaining: time.Hour,
		Parts: []route.PromptPart{{ID: part, Tokens: p.load.sharedTokens}, {ID: fmt.Sprint("own", seed), Tokens: p.load.ownTokens}},
		OtherBacklogs: func(id ident.EndpointID) route.ModelBacklogs {
			left := p.total[id]["m"].Sub(own[id]["m"])
			left.Work = max(0, left.Work-now.Sub(p.lastExchange))
			return route.ModelBacklogs{"m": left}
		},
	}
	d := p.estimators[router].Choose(now, p.candidates, q, p.trackers[router], p.prefixes[router])
	id := p.candidates[d.Index].Endpoint
	p.trackers[router].Start(now, id)
	p.estimators[router].AddPending(id, "m", d.Work)
	hashes := route.HashParts("m", q.Parts[:1])
	p.prefixes[router].RecordSent(id, hashes)
	p.unreported = append(p.unreported, sentPrefix{engine: id, hashes: hashes})
	p.pending[router][d.Index] = append(p.pending[router][d.Index], sentRequest{work: d.Work, uncorrected: d.Uncorrected, uncached: d.Uncached})
	return d.Index
}

func (p *estimatorPolicy) done(now time.Time, router, engine int, took time.Duration) {
	list := p.pending[router][engine]
	s := list[0]
	p.pending[router][engine] = list[1:]
	id := p.candidates[engine].Endpoint
	p.estimators[router].RemovePending(id, "m", s.work)
	p.trackers[router].FirstToken(now, id, s.uncorrected, took)
	p.trackers[router].End(now, id, route.OutcomeDone)
	p.estimators[router].RecordFirstEvent("m", s.uncached, took)
}

// baseline chooses a random engine, or the one with the fewest requests of the
// router in flight.
type baseline struct {
	random   *rand.Rand
	engines  int
	inFlight []map[int]int // by router and engine, nil for random choice
}

func (b *baseline) choose(_ time.Time, router int, _ string, _ uint64) int {
	if b.inFlight == nil {
		return b.random.IntN(b.engines)
	}
	best := b.random.IntN(b.engines)
	for i := range b.engines {
		if b.inFlight[router][i] < b.inFlight[router][best] {
			best = i
		}
	}
	b.inFlight[router][best]++
	return best
}

func (b *baseline) done(_ time.Time, router, engine int, _ time.Duration) {
	if b.inFlight != nil {
		b.inFlight[router][engine]--
	}
}

func leastInFlight(w workload, seed uint64) *baseline {
	b := &baseline{random: rand.New(rand.NewPCG(seed, 2)), engines: w.engines}
	for range w.routers {
		b.inFlight = append(b.inFlight, map[int]int{})
	}
	return b
}

func quantile(times []time.Duration, q float64) time.Duration {
	return times[int(float64(len(times)-1)*q)]
}

var _ = Describe("Estimator.Choose", func() {
	// Scenario: prompts of 17,000 tokens, 13,300 of them in one of 70 shared
	// parts, at a rate that the engines sustain only if most shared parts stay
	// cached.
	for seed := range uint64(4) {
		It(fmt.Sprintf("has lower latencies than random and least in flight with long shared prompts, seed %d", seed), func() {
			own := longPrompts.run(seed, newEstimatorPolicy(longPrompts))
			random := longPrompts.run(seed, &baseline{random: rand.New(rand.NewPCG(seed, 2)), engines: longPrompts.engines})
			least := longPrompts.run(seed, leastInFlight(longPrompts, seed))
			for _, other := range [][]time.Duration{random, least} {
				Expect(quantile(own, 0.5)).To(BeNumerically("<", quantile(other, 0.5)))
				Expect(quantile(own, 0.95)).To(BeNumerically("<", quantile(other, 0.95)))
			}
		})

		// Scenario: a third of the requests have the same shared part.
		It(fmt.Sprintf("does not overload the home of a hot part, seed %d", seed), func() {
			hot := longPrompts
			hot.hotShare = 0.33
			own := hot.run(seed, newEstimatorPolicy(hot))
			home := hot.run(seed, newHomeOnlyPolicy(hot))
			Expect(quantile(own, 0.95)).To(BeNumerically("<", quantile(home, 0.95)))
		})
	}

	It("reports that no candidate can meet the deadline, and when to retry", func() {
		e, tracker := route.NewEstimator(), route.NewLoadTracker()
		prefixes, err := route.NewPrefixIndex(8)
		Expect(err).NotTo(HaveOccurred())
		candidates := []route.Candidate{{Endpoint: "a", Zone: "z", Slots: 1}}
		q := route.Query{Model: "m", Prompt: 100000, Remaining: time.Second, Zone: "z"}
		d := e.Choose(start, candidates, q, tracker, prefixes)
		Expect(d.Index).To(Equal(-1))
		Expect(d.TooLate).To(BeTrue())
		Expect(d.RetryAfter).To(BeNumerically(">", time.Second))
	})

	It("backs off from an unreachable address, longer each time", func() {
		e, tracker := route.NewEstimator(), route.NewLoadTracker()
		prefixes, err := route.NewPrefixIndex(8)
		Expect(err).NotTo(HaveOccurred())
		candidates := []route.Candidate{{Endpoint: "a", Zone: "z", Slots: 1}}
		q := route.Query{Zone: "z"}
		var last time.Duration
		now := start
		for range 4 {
			tracker.Start(now, "a")
			tracker.End(now, "a", route.OutcomeUnreachable)
			d := e.Choose(now, candidates, q, tracker, prefixes)
			Expect(d.Index).To(Equal(-1))
			Expect(d.RetryAfter).To(BeNumerically(">", last))
			last = d.RetryAfter
			now = now.Add(d.RetryAfter)
			Expect(e.Choose(now, candidates, q, tracker, prefixes).Index).To(Equal(0))
		}
	})

	It("prefers its own zone between equal candidates, but not an endpoint that fails more often", func() {
		e, tracker := route.NewEstimator(), route.NewLoadTracker()
		prefixes, err := route.NewPrefixIndex(8)
		Expect(err).NotTo(HaveOccurred())
		candidates := []route.Candidate{{Endpoint: "far", Zone: "y", Slots: 6}, {Endpoint: "near", Zone: "z", Slots: 6}}
		q := route.Query{Zone: "z", TransferBytes: 4096}
		Expect(e.Choose(start, candidates, q, tracker, prefixes).Index).To(Equal(1))
		for range 6 {
			e.RecordOutcome(start, "near", true)
			e.RecordOutcome(start, "far", false)
			e.RecordOutcome(start, "far", false)
		}
		Expect(e.Choose(start, candidates, q, tracker, prefixes).Index).To(Equal(0))
	})
})

// homeOnlyPolicy always sends to the first home of a part.
type homeOnlyPolicy struct{ policy *estimatorPolicy }

func newHomeOnlyPolicy(w workload) homeOnlyPolicy { return homeOnlyPolicy{newEstimatorPolicy(w)} }

func (p homeOnlyPolicy) choose(now time.Time, _ int, part string, _ uint64) int {
	q := route.Query{Seed: 1, Zone: "z", Model: "m", Prompt: 17000, Remaining: time.Hour, Parts: []route.PromptPart{{ID: part, Tokens: 13300}, {ID: "own", Tokens: 3700}}}
	return route.NewEstimator().Choose(now, p.policy.candidates, q, route.NewLoadTracker(), p.policy.prefixes[0]).Index
}

func (homeOnlyPolicy) done(time.Time, int, int, time.Duration) {}

var _ = Describe("ColdLimiter", func() {
	// Scenario: all endpoints of a service restart cold, and every router has more
	// requests than they can take.
	for _, routers := range []int{1, 2, 8, 80, 360} {
		It(fmt.Sprintf("keeps %d routers together within a cold endpoint's rate", routers), func() {
			const rate, limit = 6.3, 14 // 1.5 times the rate, and 5
			limiters := make([]*route.ColdLimiter, routers)
			for i := range limiters {
				limiters[i] = route.NewColdLimiter(fmt.Sprint("router-", i))
			}
			for endpoint := range 5 {
				var sent []time.Time
				for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(10 * time.Millisecond) {
					for _, l := range limiters {
						if l.Allow(now, ident.EndpointID(fmt.Sprint("e", endpoint)), rate, routers) {
							sent = append(sent, now)
						}
					}
				}
				for i := range sent {
					n := 0
					for _, t := range sent[i:] {
						if t.Sub(sent[i]) < time.Second {
							n++
						}
					}
					Expect(n).To(BeNumerically("<=", limit))
				}
			}
		})
	}
})
