package route

import (
	"math"
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// policy chooses an endpoint for a request of the model.
type policy func(m *model, r *modelRequest) (ident.EndpointID, time.Duration, bool)

type namedPolicy struct {
	name   string
	choose policy
}

// policies names the measured policies: Choose, and the ones it is compared
// with. "greedy" takes the endpoint with the best score, without drawing two.
func policies() []namedPolicy {
	return []namedPolicy{
		{"choose", chooseRoute},
		{"greedy", chooseGreedy},
		{"least", chooseLeast},
		{"robin", chooseRobin},
		{"random", chooseRandom},
	}
}

// Measure runs each policy over a small queue model of endpoints: 8 routers, 12
// endpoints of which one is slow, stale reports and shared prefixes, at 50, 80,
// 95 and 120% load. The same seed gives the same rows.
func Simulate(seed uint64) []SimulationResult {
	var rows []SimulationResult
	for _, load := range []ident.Share{0.5, 0.8, 0.95, 1.2} {
		rows = append(rows, SimulateLoad(seed, load, modelDuration)...)
	}
	return rows
}

// MeasureLoad is Measure at one load, offered for a time of which the first
// quarter is not counted.
func SimulateLoad(seed uint64, load ident.Share, duration time.Duration) []SimulationResult {
	var rows []SimulationResult
	for _, p := range policies() {
		m := newModel(seed, duration, p.choose)
		m.run(load)
		rows = append(rows, m.row(p.name, load))
	}
	return rows
}

func (m *model) row(name string, load ident.Share) SimulationResult {
	slices.Sort(m.firsts)
	return SimulationResult{
		Policy:   name,
		Load:     load,
		P50:      quantile(m.firsts, 0.50),
		P95:      quantile(m.firsts, 0.95),
		P99:      quantile(m.firsts, 0.99),
		Hits:     ident.Share(float64(m.hits) / float64(max(1, m.blocks))),
		Answered: ident.Share(float64(m.answered) / float64(max(1, m.offered))),
	}
}

func chooseRoute(m *model, r *modelRequest) (ident.EndpointID, time.Duration, bool) {
	return m.choose(r, r.seed)
}

func chooseGreedy(m *model, r *modelRequest) (ident.EndpointID, time.Duration, bool) {
	return m.choose(r, 0)
}

func (m *model) choose(r *modelRequest, seed uint64) (ident.EndpointID, time.Duration, bool) {
	q := Request{
		Release: modelRelease(),
		Seed:    seed,
		Prompt:  ident.Tokens(len(r.blocks) * modelTokens),
		Blocks:  r.blocks,
	}
	s, ok := Choose(m.now, r.router.snapshot, q, r.router.table, r.router.prefixes).(Send)
	if !ok {
		return "", 0, false
	}
	return s.Endpoint.Spec.ID, s.Expected, true
}

func chooseLeast(m *model, r *modelRequest) (ident.EndpointID, time.Duration, bool) {
	best, least := ident.EndpointID(""), math.MaxInt
	offset := int(r.seed % modelEndpoints)
	for i := range m.endpoints {
		id := m.endpoints[(i+offset)%modelEndpoints].spec.ID
		if n := r.router.table.Load(m.now, id, time.Time{}).Running; n < least {
			best, least = id, n
		}
	}
	return best, 0, true
}

func chooseRobin(m *model, r *modelRequest) (ident.EndpointID, time.Duration, bool) {
	r.router.turn++
	return m.endpoints[r.router.turn%modelEndpoints].spec.ID, 0, true
}

func chooseRandom(m *model, r *modelRequest) (ident.EndpointID, time.Duration, bool) {
	return m.endpoints[r.seed%modelEndpoints].spec.ID, 0, true
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
