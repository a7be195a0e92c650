package roll

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// The traffic of a simulation, at about the rate of one current deployment.
const (
	simulatedSessionRate     = 25 // new sessions per second
	simulatedSessionRequests = 4  // requests per session
	simulatedRequestGap      = 10 // seconds between the requests of a session
	simulatedTeams           = 10
	simulatedRatedShare      = 0.2 // share of the answers that are rated
	simulatedLength          = 2 * time.Hour
	simulatedRouters         = 8
	simulatedTrimInterval    = 10 // seconds between calls of Trim
	simulatedBatchSize       = 4  // entries per heartbeat, which each router sends once per second to each peer
)

// Behaviour describes the answers of a version in a simulation.
type Behaviour struct {
	Errors        float64 // share of requests that fail
	Empty         float64 // share of answers that are empty
	LatencyFactor float64 // factor on the time to the first token
	Quality       float64 // mean rating
}

// Simulation describes one simulated roll-out.
type Simulation struct {
	Seed         uint64
	Stable       Behaviour
	Bad          Behaviour           // the candidate, for the affected teams
	AffectedTeam ident.TeamID        // the only team for which the candidate is Bad, or empty for all teams
	BadAfter     time.Duration       // time since the start at which the candidate changes from Stable to Bad
	BurstErrors  float64             // minimum share of requests of both versions that fail in every third minute
	Steps        []fleet.RolloutStep // nil for ExposureSteps
	decide       decisionFunc
}

// decisionFunc decides on the next action of a simulated roll-out.
type decisionFunc func(now time.Time, r *simulator, evidence *Evidence) Decision

// SimulationResult is the outcome of a simulation.
type SimulationResult struct {
	Exposed      int // sessions assigned to the candidate while it was bad for them
	BadRequests  int // requests answered by a bad candidate
	Withdrawn    bool
	AffectedTeam ident.TeamID  // the team named by the withdrawal, or empty for all teams
	Delay        time.Duration // from the first request to a bad candidate to the withdrawal
	Step         int           // at the end
}

// simulator is the state of a running Simulation.
type simulator struct {
	*Simulation
	random    *rand.Rand
	start     time.Time
	config    *fleet.Config
	state     fleet.RolloutState
	routers   []fleet.Router
	evidence  []*Evidence // of each router
	revisions []Revision
	due       [][]simulatedSession // ring buffer of the requests due in each second
	result    SimulationResult
	firstBad  time.Time
	arms      [2]Counters // counters of the step: default version, candidate
}

// simulatedSession is a session that has requests left to send.
type simulatedSession struct {
	team      ident.TeamID
	candidate bool
	remaining int
}

const simulatedModel ident.ModelID = "m"

// Run runs the simulation until the candidate is withdrawn, the roll-out is
// finished, or simulatedLength has passed.
func (t *Simulation) Run() SimulationResult {
	r := newSimulator(t)
	for s := 0; s < int(simulatedLength/time.Second); s++ {
		now := r.start.Add(time.Duration(s) * time.Second)
		r.addSessions(s)
		r.serveRequests(now, s)
		r.exchangeEvidence(now, s)
		if r.applyDecision(now, r.evidence[s%simulatedRouters]) {
			break
		}
	}
	r.result.Step = r.state.Step
	return r.result
}

func newSimulator(t *Simulation) *simulator {
	if t.decide == nil {
		t.decide = decideSequential
	}
	if t.Steps == nil {
		t.Steps = ExposureSteps()
	}
	r := &simulator{
		Simulation: t,
		random:     rand.New(rand.NewPCG(t.Seed, 1)),
		start:      time.Unix(0, 0).UTC(),
		evidence:   make([]*Evidence, simulatedRouters),
		revisions:  make([]Revision, simulatedRouters),
		due:        make([][]simulatedSession, simulatedRequestGap+1),
	}
	r.config = &fleet.Config{
		Teams:  map[ident.TeamID]*fleet.Team{},
		Models: map[ident.ModelID]*fleet.Model{simulatedModel: {ID: simulatedModel, Default: "1", Versions: []ident.VersionID{"1", "2"}}},
		Rollouts: map[ident.ModelID]*fleet.Rollout{simulatedModel: {
			Model: simulatedModel, To: "2", Steps: t.Steps,
			Limits: fleet.RolloutLimits{Errors: 0.01, Quality: 0.03, Latency: 1.25},
		}},
	}
	for i := range simulatedRouters {
		r.evidence[i] = NewEvidence(t.Seed + uint64(i))
		r.routers = append(r.routers, fleet.Router{ID: ident.RouterID(fmt.Sprint("r", i))})
	}
	for i := range simulatedTeams {
		id := teamName(i)
		r.config.Teams[id] = &fleet.Team{ID: id, Models: []fleet.ModelGrant{{Model: simulatedModel}}}
	}
	r.state = fleet.RolloutState{Model: simulatedModel, To: "2", Entered: r.start}
	return r
}

func teamName(i int) ident.TeamID {
	return ident.TeamID(fmt.Sprintf("team-%02d", i))
}

// addSessions adds the new sessions of a second. A few teams get most of them.
func (r *simulator) addSessions(second int) {
	snapshot := &fleet.Snapshot{Config: r.config, Rollouts: map[ident.ModelID]fleet.RolloutState{simulatedModel: r.state}}
	rollout := r.config.Rollouts[simulatedModel]
	for range simulatedSessionRate {
		at := r.random.IntN(simulatedRouters)
		i := int(float64(simulatedTeams) * math.Pow(r.random.Float64(), 2))
		team := r.config.Teams[teamName(i)]
		quota := r.evidence[at].SessionQuota(r.source(at), rollout, r.state, r.routers, true)
		assigned, _ := Assign(r.random.Uint64(), snapshot, team, simulatedModel, quota)
		if assigned.Candidate {
			r.evidence[at].RecordExposure(r.source(at), r.comparison(r.start.Add(time.Duration(second)*time.Second)), team.ID)
		}
		n := simulatedSession{team: team.ID, candidate: assigned.Version == "2", remaining: simulatedSessionRequests}
		if r.meetsBadCandidate(n, time.Duration(second)*time.Second) {
			r.result.Exposed++
		}
		r.due[second%len(r.due)] = append(r.due[second%len(r.due)], n)
	}
}

// serveRequests answers the requests due in a second.
func (r *simulator) serveRequests(now time.Time, second int) {
	slot := second % len(r.due)
	sessions := r.due[slot]
	r.due[slot] = nil
	for _, n := range sessions {
		r.answer(now, n)
		if n.remaining--; n.remaining > 0 {
			next := (second + simulatedRequestGap) % len(r.due)
			r.due[next] = append(r.due[next], n)
		}
	}
}

func (r *simulator) answer(now time.Time, n simulatedSession) {
	b := r.Stable
	if r.meetsBadCandidate(n, now.Sub(r.start)) {
		b = r.Bad
		r.result.BadRequests++
		if r.firstBad.IsZero() {
			r.firstBad = now
		}
	}
	comparison, arm, release := r.comparison(now), 0, ident.Release{Model: simulatedModel, Version: "1"}
	if n.candidate {
		arm, release.Version = 1, "2"
	}
	errorShare := b.Errors
	if int(now.Sub(r.start)/time.Minute)%3 == 1 {
		errorShare = math.Max(errorShare, r.BurstErrors)
	}
	first := time.Duration(b.LatencyFactor * 200 * float64(time.Millisecond) * math.Exp(0.5*r.random.NormFloat64()))
	at := r.random.IntN(simulatedRouters)
	failed := r.random.Float64() < errorShare
	outcome := Outcome{Failed: failed, Empty: r.random.Float64() < b.Empty, FirstToken: first}
	var space [8]Count
	counts := outcome.appendCounts(space[:0])
	r.evidence[at].RecordOutcome(now, r.source(at), comparison, n.team, release, outcome)
	if !failed && r.random.Float64() < simulatedRatedShare {
		quality := ident.Quality(b.Quality + 0.1*r.random.NormFloat64())
		r.evidence[at].RecordRating(now, r.source(at), comparison, n.team, release, quality)
		counts = appendRatingCounts(counts, quality)
	}
	for _, c := range counts {
		r.arms[arm][c.Counter] += c.Value
	}
}

func (r *simulator) source(at int) Source {
	return Source{Router: r.routers[at].ID}
}

// exchangeEvidence sends the heartbeat of each router to all others, and trims
// the evidence at regular intervals.
func (r *simulator) exchangeEvidence(now time.Time, second int) {
	states := []fleet.RolloutState{r.state}
	for i, e := range r.evidence {
		if second%simulatedTrimInterval == 0 {
			e.Trim(now, r.config, states, func(Source) bool { return true })
		}
		entries, revision := e.Batch(r.source(i), r.revisions[i], simulatedBatchSize, uint64(second))
		r.revisions[i] = revision
		for j, peer := range r.evidence {
			if i != j {
				peer.Merge(entries)
			}
		}
	}
}

func (r *simulator) comparison(now time.Time) Comparison {
	comparison, _ := ComparisonAt(now, r.config, r.state)
	return comparison
}

// meetsBadCandidate reports whether a session is served by a candidate that is
// bad for it.
func (r *simulator) meetsBadCandidate(n simulatedSession, elapsed time.Duration) bool {
	return n.candidate && r.Bad != r.Stable && elapsed >= r.BadAfter && (r.AffectedTeam == "" || r.AffectedTeam == n.team)
}

// applyDecision applies the next decision. It reports whether the simulation is
// over.
func (r *simulator) applyDecision(now time.Time, evidence *Evidence) bool {
	switch d := r.Simulation.decide(now, r, evidence).(type) {
	case Withdraw:
		r.result.Withdrawn, r.result.AffectedTeam = true, d.Team
		if !r.firstBad.IsZero() {
			r.result.Delay = now.Sub(r.firstBad)
		}
		return true
	case Advance:
		r.state.Step, r.state.Entered = d.Step, now
		r.arms = [2]Counters{}
	case Finish:
		r.state.Step = d.Step
		return true
	}
	return false
}
