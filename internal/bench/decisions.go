package bench

import (
	"fmt"

	"github.com/marigoldscale/marigoldscale/internal/casc"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/internal/route"
)

// Names of policies, methods and kinds in the measured rows.
const (
	policyChoose         = "choose"
	policyRandom         = "random"
	policyRoundRobin     = "robin"
	policyLeast          = "least"
	policyCascade        = "cascade"
	methodSequentialTest = "exposure steps, sequential test"
	methodFixedSteps     = "10/50/100, looked at after each step"
	goodKind             = "good"
)

// routeSeeds is the number of seeds whose mean the bounds of the route section
// compare; with one seed the tail near saturation depends on a few arrivals.
const routeSeeds = 4

// The sections of this file run only decision code, in simulated time: their
// figures depend on the seed and not on the machine.

func benchRoute(seed uint64) (Section, error) {
	rows := route.Simulate(seed)
	s := Section{
		Name:        "route",
		Description: "time to the first token by policy: 8 routers, stale reports, one slow endpoint, hot prefixes",
		Columns:     []string{"load", "policy", "p50 ms", "p95 ms", "p99 ms"},
		Data:        rows,
	}
	for _, r := range rows {
		s.Rows = append(s.Rows, []string{formatNumber(float64(r.Load)), r.Policy, formatMillis(r.P50), formatMillis(r.P95), formatMillis(r.P99)})
	}
	s.Bounds = routeBounds(rows)
	p95 := map[string]float64{}
	for i := range uint64(routeSeeds) {
		for _, r := range route.Simulate(seed + i) {
			p95[fmt.Sprint(r.Load, r.Policy)] += r.P95.Seconds() / routeSeeds
		}
	}
	for _, load := range []string{"0.5", "0.8", "0.95", "1.2"} {
		for _, baseline := range []string{policyRandom, policyRoundRobin, policyLeast} {
			name := fmt.Sprintf("p95 at %s load against %s, mean of %d seeds", load, baseline, routeSeeds)
			s.Bounds = append(s.Bounds, atMost(name, p95[load+policyChoose], p95[load+baseline], "s"))
		}
	}
	return s, nil
}

// routeBounds compares the policies on the seed of the run.
func routeBounds(rows []route.SimulationResult) []Bound {
	p95 := map[string]float64{}
	for _, r := range rows {
		p95[fmt.Sprint(r.Load, r.Policy)] = r.P95.Seconds()
	}
	var bounds []Bound
	for _, load := range []string{"0.5", "0.8", "0.95", "1.2"} {
		for _, baseline := range []string{policyRandom, policyRoundRobin, policyLeast} {
			name := fmt.Sprintf("p95 at %s load against %s", load, baseline)
			bounds = append(bounds, atMost(name, p95[load+policyChoose], p95[load+baseline], "s"))
		}
	}
	return bounds
}

func benchRollout(seed uint64) (Section, error) {
	rows := roll.MeasureMethods(seed)
	s := Section{
		Name:        "rollout",
		Description: "sessions that met a bad version, by kind of badness and method",
		Columns:     []string{"kind", "size", "method", "trials", "withdrawn", "exposed", "worst", "bad answers", "delay"},
		Data:        rows,
	}
	for _, r := range rows {
		s.Rows = append(s.Rows, []string{
			r.Kind, r.Severity, r.Method, fmt.Sprint(r.Simulations), formatNumber(r.Withdrawn),
			formatNumber(r.Exposed), fmt.Sprint(r.MaxExposed), formatNumber(r.BadRequests), r.MedianDelay.String(),
		})
	}
	s.Bounds = rolloutBounds(rows)
	return s, nil
}

// rolloutBounds compares exposure with that of fixed steps in the same trials, and
// false withdrawals with the error rate of the sequential test.
func rolloutBounds(rows []roll.Measurement) []Bound {
	fixed := map[string]float64{}
	for _, r := range rows {
		if r.Method == methodFixedSteps {
			fixed[r.Kind+r.Severity] = r.Exposed
		}
	}
	var bounds []Bound
	for _, r := range rows {
		if r.Method != methodSequentialTest {
			continue
		}
		if r.Kind == goodKind {
			bounds = append(bounds, atMost("false withdrawals, "+r.Kind+" "+r.Severity, r.Withdrawn, roll.Alpha, "of roll-outs"))
			continue
		}
		bounds = append(bounds, atMost("exposed against fixed steps, "+r.Kind+" "+r.Severity, r.Exposed, fixed[r.Kind+r.Severity], "sessions"))
	}
	return bounds
}

func benchCascade(seed uint64) (Section, error) {
	rows := casc.MeasurePolicies(seed)
	s := Section{
		Name:        "cascade",
		Description: "cost, as a share of always using the best model, and quality by policy",
		Columns:     []string{"condition", "policy", "cost", "quality", "worst class", "late cost", "late quality", "target"},
		Data:        rows,
	}
	for _, r := range rows {
		s.Rows = append(s.Rows, []string{
			r.Condition, r.Policy, formatNumber(r.Cost), formatNumber(float64(r.Quality)), formatNumber(float64(r.WorstClassQuality)),
			formatNumber(r.LateCost), formatNumber(float64(r.LateQuality)), formatNumber(float64(r.Target)),
		})
		if r.Policy != policyCascade {
			continue
		}
		s.Bounds = append(s.Bounds,
			atLeast("quality, "+r.Condition, float64(r.Quality), float64(r.Target), ""),
			atLeast("quality of the worst class, "+r.Condition, float64(r.WorstClassQuality), float64(r.Target), ""),
			atMost("cost, "+r.Condition, r.Cost, 1, "of the best model's"))
	}
	return s, nil
}
