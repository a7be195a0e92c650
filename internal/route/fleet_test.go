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

// fleetLoad is the load of many routers before many engines, each of which
// sees a small part of the requests.
var fleetLoad = replay{engines: 90, routers: 80, subjects: 700, rate: 160, shared: 13300, own: 3700, token: 62 * time.Microsecond, keeps: 20}

// greedy sends to the engine with the least work that it knows of: its own
// router's, and what all routers told each other last.
type greedy struct {
	random *rand.Rand
	load   replay
	own    []map[int]int // by router and engine
	told   []int
	at     time.Time
}

func newGreedy(r replay, seed uint64) *greedy {
	g := &greedy{random: rand.New(rand.NewPCG(seed, 3)), load: r, told: make([]int, r.engines)}
	for range r.routers {
		g.own = append(g.own, map[int]int{})
	}
	return g
}

func (g *greedy) pick(now time.Time, router int, _ string, _ uint64) int {
	if now.Sub(g.at) > lag {
		g.at = now
		clear(g.told)
		for _, own := range g.own {
			for i, n := range own {
				g.told[i] += n
			}
		}
	}
	best := g.random.IntN(g.load.engines)
	for i := range g.load.engines {
		if g.told[i]+g.own[router][i] < g.told[best]+g.own[router][best] {
			best = i
		}
	}
	g.own[router][best]++
	return best
}

func (g *greedy) done(_ time.Time, router, engine int, _ time.Duration) { g.own[router][engine]-- }

var _ = Describe("Choose, by many routers", func() {
	// The load: 80 routers that hear of each other's requests half a second
	// late, before 90 engines. Whoever looks at all of them sends where all
	// others send.
	for seed := range uint64(3) {
		It(fmt.Sprintf("beats random and the least known work, seed %d", seed), func() {
			ours := fleetLoad.run(seed, newChooser(fleetLoad))
			random := fleetLoad.run(seed, &baseline{random: rand.New(rand.NewPCG(seed, 2)), engines: fleetLoad.engines})
			least := fleetLoad.run(seed, newGreedy(fleetLoad, seed))
			for _, other := range [][]time.Duration{random, least} {
				Expect(at(ours, 0.5)).To(BeNumerically("<", at(other, 0.5)))
				Expect(at(ours, 0.95)).To(BeNumerically("<", at(other, 0.95)))
			}
		})
	}

	// The load: every router gets the same news, and one engine looks best.
	It("spreads requests although one site looks better than all others", func() {
		t, table := route.NewEstimator(), route.NewLoadTracker()
		prefixes, err := route.NewPrefixIndex(8)
		Expect(err).NotTo(HaveOccurred())
		var sites []route.Candidate
		for i := range 90 {
			sites = append(sites, route.Candidate{Endpoint: ident.EndpointID(fmt.Sprint("e", i)), Zone: "z", Slots: 64})
		}
		others := func(id ident.EndpointID) route.ModelBacklogs {
			if id == "e7" {
				return nil
			}
			return route.ModelBacklogs{"m": {Count: 1, Work: time.Second}}
		}
		idle := 0
		for seed := range uint64(500) {
			p := t.Choose(start, sites, route.Query{Seed: seed * 0x9e3779b97f4a7c15, Zone: "z", Model: "m", Prompt: 3000, OtherBacklogs: others}, table, prefixes)
			if p.Index == 7 {
				idle++
			}
		}
		Expect(idle).To(BeNumerically(">", 0))
		Expect(idle).To(BeNumerically("<", 500/10))
	})
})

var _ = Describe("Tempo", func() {
	It("tells reading from waiting by the shorter of its measurements", func() {
		t := route.NewEstimator()
		for i := range 24 {
			wait := time.Duration(0)
			if i%2 == 0 {
				wait = 3 * time.Second
			}
			t.RecordFirstEvent("m", 10000, 30*time.Millisecond+500*time.Millisecond+wait)
		}
		table := route.NewLoadTracker()
		prefixes, err := route.NewPrefixIndex(8)
		Expect(err).NotTo(HaveOccurred())
		p := t.Choose(start, []route.Candidate{{Endpoint: "e", Zone: "z"}}, route.Query{Zone: "z", Model: "m", Prompt: 10000}, table, prefixes)
		Expect(p.Work).To(BeNumerically("~", 530*time.Millisecond, 60*time.Millisecond))
	})

	It("foresees how long an answer is written", func() {
		t := route.NewEstimator()
		Expect(t.GenerationTime("m", 100)).To(BeZero())
		for _, ms := range []time.Duration{900, 1000, 9000} {
			t.RecordGeneration("m", 100, ms*time.Millisecond)
		}
		Expect(t.GenerationTime("m", 200)).To(Equal(2 * time.Second))
	})

	// The load: a short prompt behind a long one of a slow model, and a long one
	// behind a short one.
	It("foresees that engines read prompts in turns", func() {
		t := route.NewEstimator()
		for range 24 {
			t.RecordFirstEvent("slow", 10000, 650*time.Millisecond)
			t.RecordFirstEvent("fast", 10000, 90*time.Millisecond)
		}
		table := route.NewLoadTracker()
		prefixes, err := route.NewPrefixIndex(8)
		Expect(err).NotTo(HaveOccurred())
		behind := func(model ident.ModelID, prompt ident.Tokens, piles route.ModelBacklogs) time.Duration {
			return t.Choose(start, []route.Candidate{{Endpoint: "e", Zone: "z"}}, route.Query{
				Zone: "z", Model: model, Prompt: prompt, OtherBacklogs: func(ident.EndpointID) route.ModelBacklogs { return piles },
			}, table, prefixes).Wait
		}
		long := route.ModelBacklogs{"slow": {Count: 1, Work: 2 * time.Second}}
		Expect(behind("fast", 1000, long)).To(BeNumerically("<", 200*time.Millisecond))
		Expect(behind("slow", 40000, long)).To(Equal(2 * time.Second))
		Expect(behind("slow", 40000, route.ModelBacklogs{"fast": {Count: 1, Work: 20 * time.Millisecond}})).To(Equal(20 * time.Millisecond))
	})
})
