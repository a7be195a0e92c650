package roll

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Source identifies one incarnation of a router. Its counters only grow.
type Source struct {
	Router      ident.RouterID `json:"router"`
	Incarnation uint64         `json:"incarnation"`
}

// Key identifies a cell of evidence: the outcomes of a candidate for one team, or
// for all teams if Team is empty, within one stratum of its roll-out.
type Key struct {
	Release ident.Release `json:"release"`
	Team    ident.TeamID  `json:"team"`
	Stratum Stratum       `json:"stratum"`
}

// Entry holds the counters of one source for one cell.
type Entry struct {
	Key    Key     `json:"key"`
	Source Source  `json:"source"`
	Counts []Count `json:"counts"`
}

// Revision numbers the local changes of an Evidence or a Tallies.
type Revision uint64

// Evidence holds the counters of all routers, as far as this router has received
// them. It is not safe for concurrent use; only the control loop uses it.
type Evidence struct {
	cells    map[Key]*cell
	controls controlSets
	random   generator
	revision Revision
	folded   *foldedSources
}

type cell struct {
	sources map[Source]*record
	folded  Counters
	total   Counters
}

type record struct {
	counters Counters
	revision Revision
}

// Comparison describes a roll-out in progress, as needed to record outcomes.
type Comparison struct {
	Candidate  ident.Release
	Stable     ident.Release // the default version, which the candidate is compared with
	Stratum    Stratum
	tolerances tolerances
}

// NewEvidence returns an empty Evidence. The seed determines the random numbers
// that break ties and add failures at the tolerated rate.
func NewEvidence(seed uint64) *Evidence {
	return &Evidence{cells: map[Key]*cell{}, controls: controlSets{}, random: generator{state: seed}, folded: newFoldedSources()}
}

// ComparisonAt returns the comparison of a roll-out at now, or false if the
// roll-out is not in progress.
func ComparisonAt(now time.Time, config *fleet.Config, state fleet.RolloutState) (Comparison, bool) {
	model, rollout := config.Models[state.Model], config.Rollouts[state.Model]
	if model == nil || rollout == nil || rollout.To != state.To || state.Step >= len(rollout.Steps) {
		return Comparison{}, false
	}
	return Comparison{
		Candidate:  ident.Release{Model: model.ID, Version: rollout.To},
		Stable:     ident.Release{Model: model.ID, Version: model.Default},
		Stratum:    StratumAt(now, state),
		tolerances: tolerancesOf(rollout.Limits),
	}, true
}

// RecordExposure records one new session assigned to the candidate.
func (e *Evidence) RecordExposure(self Source, comparison Comparison, team ident.TeamID) {
	counts := [...]Count{{CountSessions, 1}}
	e.add(self, comparison, "", counts[:])
	e.add(self, comparison, team, counts[:])
}

// RecordOutcome records the outcome of one request that this router observed.
// Outcomes of the default version are kept as control samples for the
// comparison; those of other releases than the two compared are ignored.
func (e *Evidence) RecordOutcome(now time.Time, self Source, comparison Comparison, team ident.TeamID, release ident.Release, outcome Outcome) {
	for _, t := range [...]ident.TeamID{"", team} {
		switch release {
		case comparison.Stable:
			e.controls.at(comparison.Candidate, t).push(now, outcome)
		case comparison.Candidate:
			e.compareOutcome(now, self, comparison, t, outcome)
		}
	}
}

// compareOutcome records a candidate's outcome and its position among the
// control samples.
func (e *Evidence) compareOutcome(now time.Time, self Source, comparison Comparison, team ident.TeamID, outcome Outcome) {
	controls, maxAge := e.controls.at(comparison.Candidate, team), maxControlAge(team)
	var buffer [16]float64
	var space [8]Count
	counts := outcome.appendCounts(space[:0])
	record := func(c Counter, ok bool) {
		if ok {
			counts = append(counts, Count{c, 1})
		}
	}
	record(e.random.setCounter(countErrorSets, outcome.Failed, controls.errors.take(now, maxAge, &buffer), comparison.tolerances.errors))
	if !outcome.Failed {
		record(e.random.setCounter(countEmptySets, outcome.Empty, controls.empty.take(now, maxAge, &buffer), comparison.tolerances.errors))
	}
	if !outcome.Failed && outcome.FirstToken > 0 {
		longer := func(v float64) float64 { return v * comparison.tolerances.latency }
		record(e.random.rankCounter(countLatencyRanks, float64(outcome.FirstToken), controls.latency.take(now, maxAge, &buffer), longer))
	}
	e.add(self, comparison, team, counts)
}

// RecordRating records the rating of one answer that this router observed.
func (e *Evidence) RecordRating(now time.Time, self Source, comparison Comparison, team ident.TeamID, release ident.Release, quality ident.Quality) {
	for _, t := range [...]ident.TeamID{"", team} {
		switch release {
		case comparison.Stable:
			e.controls.at(comparison.Candidate, t).qualityLoss.push(now, 1-float64(quality))
		case comparison.Candidate:
			e.compareRating(now, self, comparison, t, quality)
		}
	}
}

func (e *Evidence) compareRating(now time.Time, self Source, comparison Comparison, team ident.TeamID, quality ident.Quality) {
	var buffer [16]float64
	var space [4]Count
	counts := appendRatingCounts(space[:0], quality)
	set := e.controls.at(comparison.Candidate, team).qualityLoss.take(now, maxControlAge(team), &buffer)
	lower := func(v float64) float64 { return v + comparison.tolerances.quality }
	if c, ok := e.random.rankCounter(countQualityRanks, 1-float64(quality), set, lower); ok {
		counts = append(counts, Count{c, 1})
	}
	e.add(self, comparison, team, counts)
}

// add adds counts to the cells of the current window and of the whole step.
func (e *Evidence) add(self Source, comparison Comparison, team ident.TeamID, counts []Count) {
	for _, s := range [...]Stratum{comparison.Stratum, comparison.Stratum.WholeStep()} {
		c := e.cell(Key{Release: comparison.Candidate, Team: team, Stratum: s})
		r := c.record(self)
		for _, n := range counts {
			r.counters[n.Counter] += n.Value
			c.total[n.Counter] += n.Value
		}
		e.revision++
		r.revision = e.revision
	}
}

// Merge merges entries received from a peer. Entries may arrive late, more than
// once and in any order; those of folded sources are dropped.
func (e *Evidence) Merge(entries []Entry) {
	for i := range entries {
		n := &entries[i]
		if e.folded.contains(n.Source) {
			continue
		}
		c := e.cell(n.Key)
		r := c.record(n.Source)
		if r.counters.mergeMax(n.Counts, &c.total) {
			e.revision++
			r.revision = e.revision
		}
	}
}

// Delta returns the entries of all sources that changed after since, and the
// revision to pass to the next call.
func (e *Evidence) Delta(since Revision) ([]Entry, Revision) {
	var entries []Entry
	for k, c := range e.cells {
		for s, r := range c.sources {
			if r.revision > since {
				entries = append(entries, Entry{Key: k, Source: s, Counts: r.counters.NonZero()})
			}
		}
	}
	return entries, e.revision
}

// Batch returns at most limit of a source's own entries that changed after
// since, for a heartbeat of bounded size: first the cells of all teams, then the
// others in an order derived from the seed. The returned revision is the one to
// pass to the next call; it advances only if no entry was left out. Entries left
// out are candidates again in the next call, with their counters' values by then.
func (e *Evidence) Batch(self Source, since Revision, limit int, seed uint64) ([]Entry, Revision) {
	var ranked []rankedKey
	for k, c := range e.cells {
		if r, ok := c.sources[self]; ok && r.revision > since {
			ranked = append(ranked, rankedKey{key: k, rank: k.batchRank(seed)})
		}
	}
	revision := e.revision
	if len(ranked) > limit {
		slices.SortFunc(ranked, func(a, b rankedKey) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), a.key.compare(b.key))
		})
		ranked, revision = ranked[:limit], since
	}
	entries := make([]Entry, len(ranked))
	for i, n := range ranked {
		entries[i] = Entry{Key: n.key, Source: self, Counts: e.cells[n.key].sources[self].counters.NonZero()}
	}
	return entries, revision
}

// rankedKey is a key with its rank in a batch.
type rankedKey struct {
	key  Key
	rank uint64
}

// batchRank returns a key's rank in a batch; lower ranks are sent first.
func (k Key) batchRank(seed uint64) uint64 {
	if k.Team == "" {
		return 0
	}
	stratum := uint64(k.Stratum.Step)<<32 | uint64(k.Stratum.Window)
	return 1 + splitMix64(seed^xxhash.Sum64String(string(k.Team))^splitMix64(stratum))>>1
}

// compare orders keys of the same rank.
func (k Key) compare(other Key) int {
	return cmp.Or(
		cmp.Compare(k.Release.Model, other.Release.Model),
		cmp.Compare(k.Release.Version, other.Release.Version),
		cmp.Compare(k.Team, other.Team),
		cmp.Compare(other.Stratum.Step, k.Stratum.Step),
		cmp.Compare(other.Stratum.Window, k.Stratum.Window),
	)
}

// Total returns the counters of one cell, summed over all sources.
func (e *Evidence) Total(key Key) Counters {
	if c, ok := e.cells[key]; ok {
		return c.total
	}
	return Counters{}
}

// cell returns the cell of a key, added if missing.
func (e *Evidence) cell(key Key) *cell {
	c, ok := e.cells[key]
	if !ok {
		c = &cell{sources: map[Source]*record{}}
		e.cells[key] = c
	}
	return c
}

func (c *cell) record(source Source) *record {
	r, ok := c.sources[source]
	if !ok {
		r = &record{}
		c.sources[source] = r
	}
	return r
}
