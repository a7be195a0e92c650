package roll

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// The traffic of a trial: about the rate of one of today's deployments.
const (
	trialSessions = 25 // new sessions a second
	trialRequests = 4  // requests of a session
	trialGap      = 10 // seconds between a session's requests
	trialTeams    = 10
	trialRated    = 0.2 // share of answers that get rated
	trialLength   = 2 * time.Hour
	trialRouters  = 8
	trialTrim     = 10 // seconds between two trims
	trialBatch    = 4  // entries in a heartbeat, one a second to each peer
)

// Behaviour is how a version answers in a trial.
type Behaviour struct {
	Errors  float64 // share of requests that fail
	Empty   float64 // share of answers that are empty
	Slow    float64 // factor on the time to the first token
	Quality float64 // mean rating
}

// Trial is one simulated roll-out.
type Trial struct {
	Seed     uint64
	Stable   Behaviour
	Bad      Behaviour           // the candidate, for the teams that meet its badness
	OnlyTeam ident.TeamID        // the team that alone meets Bad, or empty for all
	After    time.Duration       // the time at which the candidate turns from Stable to Bad
	Burst    float64             // share of requests of either version that fail in every third minute
	Steps    []fleet.RolloutStep // nil for ExposureSteps
	decide   decider
}

// decider is a way to decide on a running trial.
type decider func(now time.Time, r *trial, evidence *Evidence) Decision

// Result is what a trial led to.
type Result struct {
	Exposed   int // sessions that got the candidate while it was bad for them
	Failed    int // their requests answered by it
	Withdrawn bool
	Blamed    ident.TeamID  // the team that alone suffers, or empty for all
	Delay     time.Duration // from the first request to a bad candidate to its withdrawal
	Step      int           // at the end
}

// trial is the state of a running Trial.
type trial struct {
	*Trial
	random   *rand.Rand
	start    time.Time
	config   *fleet.Config
	state    fleet.RolloutState
	routers  []fleet.Router
	evidence []*Evidence // of each router
	marks    []Mark
	due      [][]turn // requests by the second, a ring
	result   Result
	first    time.Time
	arms     [2]Counters // of the step: default, candidate
}

// turn is one request to come of a session.
type turn struct {
	team      ident.TeamID
	candidate bool
	left      int
}

const trialModel ident.ModelID = "m"

// Run plays the trial to its end: withdrawn, finished, or out of time.
func (t *Trial) Run() Result {
	r := newTrial(t)
	for s := 0; s < int(trialLength/time.Second); s++ {
		now := r.start.Add(time.Duration(s) * time.Second)
		r.arrive(s)
		r.serve(now, s)
		r.gossip(now, s)
		if r.act(now, r.evidence[s%trialRouters]) {
			break
		}
	}
	r.result.Step = r.state.Step
	return r.result
}

func newTrial(t *Trial) *trial {
	if t.decide == nil {
		t.decide = sequential
	}
	if t.Steps == nil {
		t.Steps = ExposureSteps()
	}
	r := &trial{
		Trial:    t,
		random:   rand.New(rand.NewPCG(t.Seed, 1)),
		start:    time.Unix(0, 0).UTC(),
		evidence: make([]*Evidence, trialRouters),
		marks:    make([]Mark, trialRouters),
		due:      make([][]turn, trialGap+1),
	}
	r.config = &fleet.Config{
		Teams:  map[ident.TeamID]*fleet.Team{},
		Models: map[ident.ModelID]*fleet.Model{trialModel: {ID: trialModel, Default: "1", Versions: []ident.VersionID{"1", "2"}}},
		Rollouts: map[ident.ModelID]*fleet.Rollout{trialModel: {
			Model: trialModel, To: "2", Steps: t.Steps,
			Limits: fleet.RolloutLimits{Errors: 0.01, Quality: 0.03, Latency: 1.25},
		}},
	}
	for i := range trialRouters {
		r.evidence[i] = New(t.Seed + uint64(i))
		r.routers = append(r.routers, fleet.Router{ID: ident.RouterID(fmt.Sprint("r", i))})
	}
	for i := range trialTeams {
		id := teamName(i)
		r.config.Teams[id] = &fleet.Team{ID: id, Models: []fleet.ModelGrant{{Model: trialModel}}}
	}
	r.state = fleet.RolloutState{Model: trialModel, To: "2", Entered: r.start}
	return r
}

func teamName(i int) ident.TeamID {
	return ident.TeamID(fmt.Sprintf("team-%02d", i))
}

// arrive lets a second's new sessions in. A few teams are large.
func (r *trial) arrive(second int) {
	snapshot := &fleet.Snapshot{Config: r.config, Rollouts: map[ident.ModelID]fleet.RolloutState{trialModel: r.state}}
	rollout := r.config.Rollouts[trialModel]
	for range trialSessions {
		at := r.random.IntN(trialRouters)
		i := int(float64(trialTeams) * math.Pow(r.random.Float64(), 2))
		team := r.config.Teams[teamName(i)]
		quota := r.evidence[at].Share(r.source(at), rollout, r.state, r.routers, true)
		choice, _ := Assign(r.random.Uint64(), snapshot, team, trialModel, quota)
		if choice.Candidate {
			r.evidence[at].Expose(r.source(at), r.view(r.start.Add(time.Duration(second)*time.Second)), team.ID)
		}
		n := turn{team: team.ID, candidate: choice.Version == "2", left: trialRequests}
		if r.bad(n, time.Duration(second)*time.Second) {
			r.result.Exposed++
		}
		r.due[second%len(r.due)] = append(r.due[second%len(r.due)], n)
	}
}

// serve answers the requests of a second.
func (r *trial) serve(now time.Time, second int) {
	slot := second % len(r.due)
	turns := r.due[slot]
	r.due[slot] = nil
	for _, n := range turns {
		r.answer(now, n)
		if n.left--; n.left > 0 {
			next := (second + trialGap) % len(r.due)
			r.due[next] = append(r.due[next], n)
		}
	}
}

func (r *trial) answer(now time.Time, n turn) {
	b := r.Stable
	if r.bad(n, now.Sub(r.start)) {
		b = r.Bad
		r.result.Failed++
		if r.first.IsZero() {
			r.first = now
		}
	}
	view, arm, release := r.view(now), 0, ident.Release{Model: trialModel, Version: "1"}
	if n.candidate {
		arm, release.Version = 1, "2"
	}
	failing := b.Errors
	if int(now.Sub(r.start)/time.Minute)%3 == 1 {
		failing = math.Max(failing, r.Burst)
	}
	first := time.Duration(b.Slow * 200 * float64(time.Millisecond) * math.Exp(0.5*r.random.NormFloat64()))
	at := r.random.IntN(trialRouters)
	failed := r.random.Float64() < failing
	outcome := Outcome{Failed: failed, Empty: r.random.Float64() < b.Empty, First: first}
	var space [8]Count
	counts := outcome.count(space[:0])
	r.evidence[at].Record(now, r.source(at), view, n.team, release, outcome)
	if !failed && r.random.Float64() < trialRated {
		quality := ident.Quality(b.Quality + 0.1*r.random.NormFloat64())
		r.evidence[at].Rate(now, r.source(at), view, n.team, release, quality)
		counts = countRating(counts, quality)
	}
	for _, c := range counts {
		r.arms[arm][c.Counter] += c.Value
	}
}

func (r *trial) source(at int) Source {
	return Source{Router: r.routers[at].ID}
}

// gossip sends each router's heartbeat to all others, and forgets what is no
// longer needed.
func (r *trial) gossip(now time.Time, second int) {
	states := []fleet.RolloutState{r.state}
	for i, e := range r.evidence {
		if second%trialTrim == 0 {
			e.Trim(now, r.config, states, func(Source) bool { return true })
		}
		entries, mark := e.Batch(r.source(i), r.marks[i], trialBatch, uint64(second))
		r.marks[i] = mark
		for j, peer := range r.evidence {
			if i != j {
				peer.Merge(entries)
			}
		}
	}
}

func (r *trial) view(now time.Time) View {
	view, _ := Look(now, r.config, r.state)
	return view
}

// bad tells whether a session meets a bad candidate.
func (r *trial) bad(n turn, elapsed time.Duration) bool {
	return n.candidate && r.Bad != r.Stable && elapsed >= r.After && (r.OnlyTeam == "" || r.OnlyTeam == n.team)
}

// act acts on a decision; it is true when the trial is over.
func (r *trial) act(now time.Time, evidence *Evidence) bool {
	switch d := r.Trial.decide(now, r, evidence).(type) {
	case Withdraw:
		r.result.Withdrawn, r.result.Blamed = true, d.Team
		if !r.first.IsZero() {
			r.result.Delay = now.Sub(r.first)
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
