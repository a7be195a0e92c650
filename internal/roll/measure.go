package roll

import (
	"math"
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
)

// Row is one measured line: how one method fares with one kind of version.
type Row struct {
	Method    string        `json:"method"`
	Kind      string        `json:"kind"`
	Size      string        `json:"size"`
	Trials    int           `json:"trials"`
	Withdrawn float64       `json:"withdrawn"` // share of trials
	Exposed   float64       `json:"exposed"`   // mean sessions that met a bad version
	Worst     int           `json:"worst"`     // most such sessions in one trial
	Bad       float64       `json:"bad"`       // mean requests answered by a bad version
	Delay     time.Duration `json:"delay"`     // median from first bad request to withdrawal, of those withdrawn
}

// method is a way to run a roll-out.
type method struct {
	name   string
	fixed  bool
	steps  []fleet.RolloutStep
	decide decider
}

// scenario is a kind of version to roll out.
type scenario struct {
	kind, size string
	trial      Trial
}

// The trials that Measure runs for each bad and each good version, and for each
// by the fixed steps, whose trials last half an hour.
const (
	badTrials   = 8
	goodTrials  = 24
	fixedTrials = 4
)

// goodKind marks scenarios in which the candidate is as good as the default.
const goodKind = "good"

// fixedStep is how long the baseline stays at each of its steps.
const fixedStep = 10 * time.Minute

// Measure runs roll-outs of good and bad versions by exposure steps with the
// sequential test, and by fixed steps of 10, 50 and 100 percent, with the same
// seeds.
func Measure(seed uint64) []Row {
	var rows []Row
	for _, s := range scenarios() {
		for _, m := range methods() {
			rows = append(rows, measure(seed, s, m))
		}
	}
	return rows
}

func measure(seed uint64, s scenario, m method) Row {
	trials := badTrials
	switch {
	case m.fixed:
		trials = fixedTrials
	case s.kind == goodKind:
		trials = goodTrials
	}
	row := Row{Method: m.name, Kind: s.kind, Size: s.size, Trials: trials}
	var delays []time.Duration
	for i := range trials {
		t := s.trial
		t.Seed = seed + uint64(i)
		t.Steps, t.decide = m.steps, m.decide
		r := t.Run()
		row.Exposed += float64(r.Exposed) / float64(trials)
		row.Bad += float64(r.Failed) / float64(trials)
		row.Worst = max(row.Worst, r.Exposed)
		if r.Withdrawn {
			row.Withdrawn += 1 / float64(trials)
			delays = append(delays, r.Delay)
		}
	}
	if len(delays) > 0 {
		slices.Sort(delays)
		row.Delay = delays[len(delays)/2]
	}
	return row
}

// ExposureSteps are the steps of a roll-out as recommended to operators.
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
		{name: "exposure steps, sequential test", steps: ExposureSteps(), decide: sequential},
		{name: "10/50/100, sequential test", fixed: true, steps: fixed, decide: timed},
		{name: "10/50/100, looked at after each step", fixed: true, steps: fixed, decide: naive},
	}
}

// sequential is the decision that routers take.
func sequential(now time.Time, r *trial, evidence *Evidence) Decision {
	return Decide(now, r.config, r.state, evidence)
}

// timed steps forward by the clock, with the sequential test in between.
func timed(now time.Time, r *trial, evidence *Evidence) Decision {
	rollout := r.config.Rollouts[trialModel]
	if w := examine(now, r.config, rollout, r.state, evidence); w.strength >= 1 {
		return Withdraw{Kind: w.kind, Team: w.team}
	}
	return onward(now, rollout, r.state)
}

// naive compares observed values with the limits at the end of each step. The
// noise of the shares is allowed for by three standard errors.
func naive(now time.Time, r *trial, _ *Evidence) Decision {
	rollout := r.config.Rollouts[trialModel]
	if now.Sub(r.state.Entered) < fixedStep {
		return Hold{}
	}
	s, c := &r.arms[0], &r.arms[1]
	quality, rated := c.Mean()
	stableQuality, stableRated := s.Mean()
	switch {
	case beyond(c, s, CountErrors, float64(rollout.Limits.Errors)):
		return Withdraw{Kind: KindErrors}
	case beyond(c, s, CountEmpty, float64(rollout.Limits.Errors)):
		return Withdraw{Kind: KindEmpty}
	case float64(c.Median()) > rollout.Limits.Latency*float64(s.Median()):
		return Withdraw{Kind: KindSlow}
	case rated && stableRated && quality < stableQuality-rollout.Limits.Quality:
		return Withdraw{Kind: KindQuality}
	}
	return onward(now, rollout, r.state)
}

// beyond tells whether the candidate's share of a counter is above the default
// version's by more than tolerance and three standard errors.
func beyond(c, s *Counters, counter Counter, tolerance float64) bool {
	n, stableN := float64(c[CountRequests]), float64(s[CountRequests])
	if n == 0 || stableN == 0 {
		return false
	}
	p, q := float64(c[counter])/n, float64(s[counter])/stableN
	return p > q+tolerance+3*math.Sqrt((q+tolerance)*(1-q)/n)
}

func onward(now time.Time, rollout *fleet.Rollout, state fleet.RolloutState) Decision {
	if now.Sub(state.Entered) < fixedStep {
		return Hold{}
	}
	if state.Step+1 == len(rollout.Steps) {
		return Finish{Step: len(rollout.Steps)}
	}
	return Advance{Step: state.Step + 1}
}

func scenarios() []scenario {
	good := Behaviour{Errors: 0.01, Empty: 0.002, Slow: 1, Quality: 0.85}
	change := func(apply func(*Behaviour)) Trial {
		bad := good
		apply(&bad)
		return Trial{Stable: good, Bad: bad}
	}
	rotten := change(func(b *Behaviour) { b.Errors = 0.3 })
	small := rotten
	small.OnlyTeam = teamName(trialTeams - 1)
	large := rotten
	large.OnlyTeam = teamName(0)
	later := rotten
	later.After = 4 * time.Minute
	burst := Trial{Stable: good, Bad: good, Burst: 0.3}
	return []scenario{
		{goodKind, "same as the default", Trial{Stable: good, Bad: good}},
		{goodKind, "30% errors of both in every third minute", burst},
		{"errors", "100%", change(func(b *Behaviour) { b.Errors = 1 })},
		{"errors", "30%", rotten},
		{"errors", "5%", change(func(b *Behaviour) { b.Errors = 0.05 })},
		{"empty", "30%", change(func(b *Behaviour) { b.Empty = 0.3 })},
		{"empty", "5%", change(func(b *Behaviour) { b.Empty = 0.05 })},
		{"slow", "3 times", change(func(b *Behaviour) { b.Slow = 3 })},
		{"slow", "1.6 times", change(func(b *Behaviour) { b.Slow = 1.6 })},
		{"quality", "0.50", change(func(b *Behaviour) { b.Quality = 0.5 })},
		{"quality", "0.75", change(func(b *Behaviour) { b.Quality = 0.75 })},
		{"one team", "30% errors, a large team", large},
		{"one team", "30% errors, a small team", small},
		{"turns bad", "30% errors after 4 min", later},
	}
}
