package roll

import (
	"math"
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
)

// Measurement is the result of one method in one scenario.
type Measurement struct {
	Method      string        `json:"method"`
	Kind        string        `json:"kind"`
	Severity    string        `json:"size"`
	Simulations int           `json:"trials"`
	Withdrawn   float64       `json:"withdrawn"` // share of the simulations that withdrew the candidate
	Exposed     float64       `json:"exposed"`   // mean number of sessions assigned to a bad version
	MaxExposed  int           `json:"worst"`     // greatest number of such sessions in one simulation
	BadRequests float64       `json:"bad"`       // mean number of requests answered by a bad version
	MedianDelay time.Duration `json:"delay"`     // from the first bad request to the withdrawal, where withdrawn
}

// method is a strategy for running a roll-out: its steps and decisions.
type method struct {
	name   string
	fixed  bool
	steps  []fleet.RolloutStep
	decide decisionFunc
}

// scenario is a simulated roll-out of one kind of version.
type scenario struct {
	kind, severity string
	simulation     Simulation
}

// The number of simulations for each scenario with a bad and with a good
// version, and for each scenario with fixed steps, which simulate half an hour.
const (
	badSimulations   = 8
	goodSimulations  = 24
	fixedSimulations = 4
)

// goodKind is the kind of the scenarios in which the candidate is as good as the
// default version.
const goodKind = "good"

// fixedStepLength is the duration of each step of the methods with fixed steps.
const fixedStepLength = 10 * time.Minute

// MeasureMethods simulates roll-outs of good and bad versions by exposure steps
// with the sequential test, and by fixed steps of 10, 50 and 100 percent, with
// the same seeds.
func MeasureMethods(seed uint64) []Measurement {
	var rows []Measurement
	for _, s := range scenarios() {
		for _, m := range methods() {
			rows = append(rows, measureScenario(seed, s, m))
		}
	}
	return rows
}

func measureScenario(seed uint64, s scenario, m method) Measurement {
	simulations := badSimulations
	switch {
	case m.fixed:
		simulations = fixedSimulations
	case s.kind == goodKind:
		simulations = goodSimulations
	}
	row := Measurement{Method: m.name, Kind: s.kind, Severity: s.severity, Simulations: simulations}
	var delays []time.Duration
	for i := range simulations {
		t := s.simulation
		t.Seed = seed + uint64(i)
		t.Steps, t.decide = m.steps, m.decide
		r := t.Run()
		row.Exposed += float64(r.Exposed) / float64(simulations)
		row.BadRequests += float64(r.BadRequests) / float64(simulations)
		row.MaxExposed = max(row.MaxExposed, r.Exposed)
		if r.Withdrawn {
			row.Withdrawn += 1 / float64(simulations)
			delays = append(delays, r.Delay)
		}
	}
	if len(delays) > 0 {
		slices.Sort(delays)
		row.MedianDelay = delays[len(delays)/2]
	}
	return row
}

// ExposureSteps returns the steps of a roll-out recommended to operators.
func ExposureSteps() []fleet.RolloutStep {
	return []fleet.RolloutStep{
		{Share: 0.01, Sessions: 50, Evidence: 100},
		{Share: 0.05, Sessions: 500, Evidence: 500},
		{Share: 0.25, Evidence: 2000},
		{Share: 1, Evidence: 5000},
	}
}

func methods() []method {
	fixed := []fleet.RolloutStep{{Share: 0.1}, {Share: 0.5}, {Share: 1}}
	return []method{
		{name: "exposure steps, sequential test", steps: ExposureSteps(), decide: decideSequential},
		{name: "10/50/100, sequential test", fixed: true, steps: fixed, decide: decideTimed},
		{name: "10/50/100, looked at after each step", fixed: true, steps: fixed, decide: decideNaive},
	}
}

// decideSequential decides as routers do.
func decideSequential(now time.Time, r *simulator, evidence *Evidence) Decision {
	return Decide(now, r.config, r.state, evidence)
}

// decideTimed advances after a fixed time, unless the sequential test withdraws
// the candidate.
func decideTimed(now time.Time, r *simulator, evidence *Evidence) Decision {
	rollout := r.config.Rollouts[simulatedModel]
	if f := strongestFinding(now, r.config, rollout, r.state, evidence); f.strength >= 1 {
		return Withdraw{Kind: f.kind, Team: f.team}
	}
	return advanceByTime(now, rollout, r.state)
}

// decideNaive compares the observed values with the limits at the end of each
// step. Shares may exceed their limit by three standard errors, to allow for
// noise.
func decideNaive(now time.Time, r *simulator, _ *Evidence) Decision {
	rollout := r.config.Rollouts[simulatedModel]
	if now.Sub(r.state.Entered) < fixedStepLength {
		return Hold{}
	}
	s, c := &r.arms[0], &r.arms[1]
	quality, rated := c.MeanRating()
	stableQuality, stableRated := s.MeanRating()
	switch {
	case exceedsTolerance(c, s, CountErrors, float64(rollout.Limits.Errors)):
		return Withdraw{Kind: KindErrors}
	case exceedsTolerance(c, s, CountEmpty, float64(rollout.Limits.Errors)):
		return Withdraw{Kind: KindEmpty}
	case float64(c.MedianLatency()) > rollout.Limits.Latency*float64(s.MedianLatency()):
		return Withdraw{Kind: KindSlow}
	case rated && stableRated && quality < stableQuality-rollout.Limits.Quality:
		return Withdraw{Kind: KindQuality}
	}
	return advanceByTime(now, rollout, r.state)
}

// exceedsTolerance reports whether the candidate's share of a counter exceeds
// that of the default version by more than tolerance and three standard errors.
func exceedsTolerance(c, s *Counters, counter Counter, tolerance float64) bool {
	n, stableN := float64(c[CountRequests]), float64(s[CountRequests])
	if n == 0 || stableN == 0 {
		return false
	}
	p, q := float64(c[counter])/n, float64(s[counter])/stableN
	return p > q+tolerance+3*math.Sqrt((q+tolerance)*(1-q)/n)
}

// advanceByTime advances a roll-out when its step has lasted fixedStepLength.
func advanceByTime(now time.Time, rollout *fleet.Rollout, state fleet.RolloutState) Decision {
	if now.Sub(state.Entered) < fixedStepLength {
		return Hold{}
	}
	if state.Step+1 == len(rollout.Steps) {
		return Finish{Step: len(rollout.Steps)}
	}
	return Advance{Step: state.Step + 1}
}

func scenarios() []scenario {
	good := Behaviour{Errors: 0.01, Empty: 0.002, LatencyFactor: 1, Quality: 0.85}
	change := func(apply func(*Behaviour)) Simulation {
		bad := good
		apply(&bad)
		return Simulation{Stable: good, Bad: bad}
	}
	failing := change(func(b *Behaviour) { b.Errors = 0.3 })
	small := failing
	small.AffectedTeam = teamName(simulatedTeams - 1)
	large := failing
	large.AffectedTeam = teamName(0)
	later := failing
	later.BadAfter = 4 * time.Minute
	burst := Simulation{Stable: good, Bad: good, BurstErrors: 0.3}
	return []scenario{
		{goodKind, "same as the default", Simulation{Stable: good, Bad: good}},
		{goodKind, "30% errors of both in every third minute", burst},
		{"errors", "100%", change(func(b *Behaviour) { b.Errors = 1 })},
		{"errors", "30%", failing},
		{"errors", "5%", change(func(b *Behaviour) { b.Errors = 0.05 })},
		{"empty", "30%", change(func(b *Behaviour) { b.Empty = 0.3 })},
		{"empty", "5%", change(func(b *Behaviour) { b.Empty = 0.05 })},
		{"slow", "3 times", change(func(b *Behaviour) { b.LatencyFactor = 3 })},
		{"slow", "1.6 times", change(func(b *Behaviour) { b.LatencyFactor = 1.6 })},
		{"quality", "0.50", change(func(b *Behaviour) { b.Quality = 0.5 })},
		{"quality", "0.75", change(func(b *Behaviour) { b.Quality = 0.75 })},
		{"one team", "30% errors, a large team", large},
		{"one team", "30% errors, a small team", small},
		{"turns bad", "30% errors after 4 min", later},
	}
}
