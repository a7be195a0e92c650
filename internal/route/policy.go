package route

import (
	"math"
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// policy chooses an endpoint for a simulated request. It returns the endpoint, the
// expected time to the first token, and whether there is an endpoint.
type policy func(s *simulation, r *simRequest) (ident.EndpointID, time.Duration, bool)

type namedPolicy struct {
	name   string
	choose policy
}

// policies lists the simulated policies: "choose" is Choose, the others are its
// baselines. "greedy" is Choose without the random draw of two endpoints.
func policies() []namedPolicy {
	return []namedPolicy{
		{"choose", chooseDefault},
		{"greedy", chooseGreedy},
		{"least", chooseLeastRunning},
		{"robin", chooseRoundRobin},
		{"random", chooseRandom},
	}
}

// Simulate simulates each policy in a small queueing model: 8 routers, 12
// endpoints of which one is slow, stale reports and shared prefixes, at 50, 80,
// 95 and 120% load. The same seed gives the same results.
func Simulate(seed uint64) []SimulationResult {
	var results []SimulationResult
	for _, load := range []ident.Share{0.5, 0.8, 0.95, 1.2} {
		results = append(results, SimulateLoad(seed, load, simDuration)...)
	}
	return results
}

// SimulateLoad simulates each policy at one load for the given duration, of which
// the first quarter is not counted.
func SimulateLoad(seed uint64, load ident.Share, duration time.Duration) []SimulationResult {
	var results []SimulationResult
	for _, p := range policies() {
		s := newSimulation(seed, duration, p.choose)
		s.run(load)
		results = append(results, s.result(p.name, load))
	}
	return results
}

// result returns the results of a finished run.
func (s *simulation) result(name string, load ident.Share) SimulationResult {
	slices.Sort(s.latencies)
	return SimulationResult{
		Policy:   name,
		Load:     load,
		P50:      quantile(s.latencies, 0.50),
		P95:      quantile(s.latencies, 0.95),
		P99:      quantile(s.latencies, 0.99),
		Hits:     ident.Share(float64(s.hits) / float64(max(1, s.blocks))),
		Answered: ident.Share(float64(s.answered) / float64(max(1, s.offered))),
	}
}

func chooseDefault(s *simulation, r *simRequest) (ident.EndpointID, time.Duration, bool) {
	return s.choose(r, r.seed)
}

func chooseGreedy(s *simulation, r *simRequest) (ident.EndpointID, time.Duration, bool) {
	return s.choose(r, 0)
}

func (s *simulation) choose(r *simRequest, seed uint64) (ident.EndpointID, time.Duration, bool) {
	q := Request{
		Release: simRelease(),
		Seed:    seed,
		Prompt:  ident.Tokens(len(r.blocks) * simBlockTokens),
		Blocks:  r.blocks,
	}
	choice, ok := Choose(s.now, r.router.snapshot, q, r.router.tracker, r.router.prefixes).(Send)
	if !ok {
		return "", 0, false
	}
	return choice.Endpoint.Spec.ID, choice.Expected, true
}

func chooseLeastRunning(s *simulation, r *simRequest) (ident.EndpointID, time.Duration, bool) {
	best, least := ident.EndpointID(""), math.MaxInt
	offset := int(r.seed % simEndpoints)
	for i := range s.endpoints {
		id := s.endpoints[(i+offset)%simEndpoints].spec.ID
		if n := r.router.tracker.Load(s.now, id, time.Time{}).Running; n < least {
			best, least = id, n
		}
	}
	return best, 0, true
}

func chooseRoundRobin(s *simulation, r *simRequest) (ident.EndpointID, time.Duration, bool) {
	r.router.nextEndpoint++
	return s.endpoints[r.router.nextEndpoint%simEndpoints].spec.ID, 0, true
}

func chooseRandom(s *simulation, r *simRequest) (ident.EndpointID, time.Duration, bool) {
	return s.endpoints[r.seed%simEndpoints].spec.ID, 0, true
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
