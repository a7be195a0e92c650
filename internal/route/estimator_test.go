package route_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// manyRouters is the workload of many routers, each of which sees a small part of
// the requests, and many engines.
var manyRouters = workload{engines: 90, routers: 80, sharedParts: 700, rate: 160, sharedTokens: 13300, ownTokens: 3700, tokenTime: 62 * time.Microsecond, cacheParts: 20}

// leastKnownPolicy sends to the engine with the fewest known requests: the
// router's own ones and those that all routers last reported to each other.
type leastKnownPolicy struct {
	random       *rand.Rand
	load         workload
	own          []map[int]int // requests in flight by router and engine
	reported     []int
	lastExchange time.Time
}

func newLeastKnownPolicy(w workload, seed uint64) *leastKnownPolicy {
	p := &leastKnownPolicy{random: rand.New(rand.NewPCG(seed, 3)), load: w, reported: make([]int, w.engines)}
	for range w.routers {
		p.own = append(p.own, map[int]int{})
	}
	return p
}

func (p *leastKnownPolicy) choose(now time.Time, router int, _ string, _ uint64) int {
	if now.Sub(p.lastExchange) > exchangeDelay {
		p.lastExchange = now
		clear(p.reported)
		for _, own := range p.own {
			for i, n := range own {
				p.reported[i] += n
			}
		}
	}
	best := p.random.IntN(p.load.engines)
	for i := range p.load.engines {
		if p.reported[i]+p.own[router][i] < p.reported[best]+p.own[router][best] {
			best = i
		}
	}
	p.own[router][best]++
	return best
}

func (p *leastKnownPolicy) done(_ time.Time, router, engine int, _ time.Duration) {
	p.own[router][engine]--
}

var _ = Describe("Estimator.Choose with many routers", func() {
	// Scenario: 80 routers that learn of each other's requests half a second
	// late, and 90 engines. A policy that compares all engines sends where all
	// other routers send.
	for seed := range uint64(3) {
		It(fmt.Sprintf("has lower latencies than random and least known requests, seed %d", seed), func() {
			own := manyRouters.run(seed, newEstimatorPolicy(manyRouters))
			random := manyRouters.run(seed, &baseline{random: rand.New(rand.NewPCG(seed, 2)), engines: manyRouters.engines})
			least := manyRouters.run(seed, newLeastKnownPolicy(manyRouters, seed))
			for _, other := range [][]time.Duration{random, least} {
				Expect(quantile(own, 0.5)).To(BeNumerically("<", quantile(other, 0.5)))
				Expect(quantile(own, 0.95)).To(BeNumerically("<", quantile(other, 0.95)))
			}
		})
	}

	// Scenario: all routers have the same data, by which one engine is the best.
	It("spreads requests although one candidate is better than all others", func() {
		e, tracker := route.NewEstimator(), route.NewLoadTracker()
		prefixes, err := route.NewPrefixIndex(8)
		Expect(err).NotTo(HaveOccurred())
		var candidates []route.Candidate
		for i := range 90 {
			candidates = append(candidates, route.Candidate{Endpoint: ident.EndpointID(fmt.Sprint("e", i)), Zone: "z", Slots: 64})
		}
		others := func(id ident.EndpointID) route.ModelBacklogs {
			if id == "e7" {
				return nil
			}
			return route.ModelBacklogs{"m": {Count: 1, Work: time.Second}}
		}
		chosen := 0
		for seed := range uint64(500) {
			d := e.Choose(start, candidates, route.Query{Seed: seed * 0x9e3779b97f4a7c15, Zone: "z", Model: "m", Prompt: 3000, OtherBacklogs: others}, tracker, prefixes)
			if d.Index == 7 {
				chosen++
			}
		}
		Expect(chosen).To(BeNumerically(">", 0))
		Expect(chosen).To(BeNumerically("<", 500/10))
	})
})

var _ = Describe("Estimator", func() {
	It("excludes queueing from prefill time by a low quantile of the measurements", func() {
		e := route.NewEstimator()
		for i := range 24 {
			wait := time.Duration(0)
			if i%2 == 0 {
				wait = 3 * time.Second
			}
			e.RecordFirstEvent("m", 10000, 30*time.Millisecond+500*time.Millisecond+wait)
		}
		tracker := route.NewLoadTracker()
		prefixes, err := route.NewPrefixIndex(8)
		Expect(err).NotTo(HaveOccurred())
		d := e.Choose(start, []route.Candidate{{Endpoint: "e", Zone: "z"}}, route.Query{Zone: "z", Model: "m", Prompt: 10000}, tracker, prefixes)
		Expect(d.Work).To(BeNumerically("~", 530*time.Millisecond, 60*time.Millisecond))
	})

	It("estimates generation time by the median", func() {
		e := route.NewEstimator()
		Expect(e.GenerationTime("m", 100)).To(BeZero())
		for _, ms := range []time.Duration{900, 1000, 9000} {
			e.RecordGeneration("m", 100, ms*time.Millisecond)
		}
		Expect(e.GenerationTime("m", 200)).To(Equal(2 * time.Second))
	})

	// Scenario: a short prompt behind a long one of a slow model, and a long one
	// behind a short one.
	It("accounts for chunked prefill in queue delays", func() {
		e := route.NewEstimator()
		for range 24 {
			e.RecordFirstEvent("slow", 10000, 650*time.Millisecond)
			e.RecordFirstEvent("fast", 10000, 90*time.Millisecond)
		}
		tracker := route.NewLoadTracker()
		prefixes, err := route.NewPrefixIndex(8)
		Expect(err).NotTo(HaveOccurred())
		behind := func(model ident.ModelID, prompt ident.Tokens, backlogs route.ModelBacklogs) time.Duration {
			return e.Choose(start, []route.Candidate{{Endpoint: "e", Zone: "z"}}, route.Query{
				Zone: "z", Model: model, Prompt: prompt, OtherBacklogs: func(ident.EndpointID) route.ModelBacklogs { return backlogs },
			}, tracker, prefixes).Wait
		}
		long := route.ModelBacklogs{"slow": {Count: 1, Work: 2 * time.Second}}
		Expect(behind("fast", 1000, long)).To(BeNumerically("<", 200*time.Millisecond))
		Expect(behind("slow", 40000, long)).To(Equal(2 * time.Second))
		Expect(behind("slow", 40000, route.ModelBacklogs{"fast": {Count: 1, Work: 20 * time.Millisecond}})).To(Equal(20 * time.Millisecond))
	})
})
