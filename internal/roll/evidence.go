package roll

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Source is one life of a router; its counters only ever grow.
type Source struct {
	Router      ident.RouterID `json:"router"`
	Incarnation uint64         `json:"incarnation"`
}

// Key names a cell of evidence: how a candidate fared with one team, or with
// all teams if Team is empty, within one stratum of its roll-out.
type Key struct {
	Release ident.Release `json:"release"`
	Team    ident.TeamID  `json:"team"`
	Stratum Stratum       `json:"stratum"`
}

// Entry is one source's counters of one cell.
type Entry struct {
	Key    Key     `json:"key"`
	Source Source  `json:"source"`
	Counts []Count `json:"counts"`
}

// Mark is a point in an Evidence's local history of changes.
type Revision uint64

// Evidence holds the counters of the whole fleet, as far as this router has
// heard of them. It belongs to the control thread.
type Evidence struct {
	cells map[Key]*cell
	pools pools
	draw  draw
	mark  Revision
	folds *folds
}

type cell struct {
	sources map[Source]*record
	folded  Counters
	total   Counters
}

type record struct {
	counters Counters
	mark     Revision
}

// View is what recording needs to know of a roll-out in progress.
type Comparison struct {
	Candidate  ident.Release
	Stable     ident.Release // the version that the candidate is compared with
	Stratum    Stratum
	tolerances tolerances
}

// New gives evidence that holds nothing. The seed decides on ties alone.
func NewEvidence(seed uint64) *Evidence {
	return &Evidence{cells: map[Key]*cell{}, pools: pools{}, draw: draw{state: seed}, folds: newFolds()}
}

// Look gives the view of a roll-out, and false if it is not in progress.
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

// Expose counts one new session assigned to the candidate.
func (e *Evidence) RecordExposure(self Source, view Comparison, team ident.TeamID) {
	counts := [...]Count{{CountSessions, 1}}
	e.add(self, view, "", counts[:])
	e.add(self, view, team, counts[:])
}

// Record takes in the outcome of one request that this router saw run on the
// release. The default version's outcomes wait to be compared with; those of
// other releases are passed over.
func (e *Evidence) RecordOutcome(now time.Time, self Source, view Comparison, team ident.TeamID, release ident.Release, outcome Outcome) {
	for _, t := range [...]ident.TeamID{"", team} {
		switch release {
		case view.Stable:
			e.pools.at(view.Candidate, t).push(now, outcome)
		case view.Candidate:
			e.compare(now, self, view, t, outcome)
		}
	}
}

// compare counts a candidate's outcome and its places among the default
// version's.
func (e *Evidence) compare(now time.Time, self Source, view Comparison, team ident.TeamID, outcome Outcome) {
	w, age := e.pools.at(view.Candidate, team), maxAge(team)
	var into [16]float64
	var space [8]Count
	counts := outcome.count(space[:0])
	place := func(c Counter, ok bool) {
		if ok {
			counts = append(counts, Count{c, 1})
		}
	}
	place(e.draw.tally(countErrorSets, outcome.Failed, w.errors.take(now, age, &into), view.tolerances.errors))
	if !outcome.Failed {
		place(e.draw.tally(countEmptySets, outcome.Empty, w.empty.take(now, age, &into), view.tolerances.errors))
	}
	if !outcome.Failed && outcome.FirstToken > 0 {
		longer := func(v float64) float64 { return v * view.tolerances.latency }
		place(e.draw.rank(countSlowRanks, float64(outcome.FirstToken), w.slow.take(now, age, &into), longer))
	}
	e.add(self, view, team, counts)
}

// Rate takes in the rating of one answer that this router saw.
func (e *Evidence) RecordRating(now time.Time, self Source, view Comparison, team ident.TeamID, release ident.Release, quality ident.Quality) {
	for _, t := range [...]ident.TeamID{"", team} {
		switch release {
		case view.Stable:
			e.pools.at(view.Candidate, t).lack.push(now, 1-float64(quality))
		case view.Candidate:
			e.compareRating(now, self, view, t, quality)
		}
	}
}

func (e *Evidence) compareRating(now time.Time, self Source, view Comparison, team ident.TeamID, quality ident.Quality) {
	var into [16]float64
	var space [4]Count
	counts := countRating(space[:0], quality)
	set := e.pools.at(view.Candidate, team).lack.take(now, maxAge(team), &into)
	lower := func(v float64) float64 { return v + view.tolerances.quality }
	if c, ok := e.draw.rank(countLackRanks, 1-float64(quality), set, lower); ok {
		counts = append(counts, Count{c, 1})
	}
	e.add(self, view, team, counts)
}

// add counts in the window in force and in the whole step.
func (e *Evidence) add(self Source, view Comparison, team ident.TeamID, counts []Count) {
	for _, s := range [...]Stratum{view.Stratum, view.Stratum.WholeStep()} {
		c := e.cell(Key{Release: view.Candidate, Team: team, Stratum: s})
		r := c.record(self)
		for _, n := range counts {
			r.counters[n.Counter] += n.Value
			c.total[n.Counter] += n.Value
		}
		e.mark++
		r.mark = e.mark
	}
}

// Merge takes in entries from a peer. Entries may come late, doubled and in
// any order; those of folded sources are dropped.
func (e *Evidence) Merge(entries []Entry) {
	for i := range entries {
		n := &entries[i]
		if e.folds.has(n.Source) {
			continue
		}
		c := e.cell(n.Key)
		r := c.record(n.Source)
		if r.counters.raise(n.Counts, &c.total) {
			e.mark++
			r.mark = e.mark
		}
	}
}

// Delta gives the entries that changed after since, its own and those heard,
// with the mark to give next time.
func (e *Evidence) Delta(since Revision) ([]Entry, Revision) {
	var entries []Entry
	for k, c := range e.cells {
		for s, r := range c.sources {
			if r.mark > since {
				entries = append(entries, Entry{Key: k, Source: s, Counts: r.counters.NonZero()})
			}
		}
	}
	return entries, e.mark
}

// Batch gives at most most of a source's own entries that changed after since,
// for a heartbeat of bounded size: those of all teams first, the others in an
// order drawn by the seed. If it gives all, the mark moves on; what is left out
// now is drawn again next time, and a counter's later value replaces it.
func (e *Evidence) Batch(self Source, since Revision, most int, seed uint64) ([]Entry, Revision) {
	var ranked []rankedKey
	for k, c := range e.cells {
		if r, ok := c.sources[self]; ok && r.mark > since {
			ranked = append(ranked, rankedKey{key: k, order: k.order(seed)})
		}
	}
	mark := e.mark
	if len(ranked) > most {
		slices.SortFunc(ranked, func(a, b rankedKey) int {
			return cmp.Or(cmp.Compare(a.order, b.order), a.key.compare(b.key))
		})
		ranked, mark = ranked[:most], since
	}
	entries := make([]Entry, len(ranked))
	for i, n := range ranked {
		entries[i] = Entry{Key: n.key, Source: self, Counts: e.cells[n.key].sources[self].counters.NonZero()}
	}
	return entries, mark
}

// rankedKey is a key with its place in a batch.
type rankedKey struct {
	key   Key
	order uint64
}

// order gives a key's place in a batch.
func (k Key) order(seed uint64) uint64 {
	if k.Team == "" {
		return 0
	}
	place := uint64(k.Stratum.Step)<<32 | uint64(k.Stratum.Window)
	return 1 + mix(seed^xxhash.Sum64String(string(k.Team))^mix(place))>>1
}

// compare orders keys of the same place.
func (k Key) compare(other Key) int {
	return cmp.Or(
		cmp.Compare(k.Release.Model, other.Release.Model),
		cmp.Compare(k.Release.Version, other.Release.Version),
		cmp.Compare(k.Team, other.Team),
		cmp.Compare(other.Stratum.Step, k.Stratum.Step),
		cmp.Compare(other.Stratum.Window, k.Stratum.Window),
	)
}

// Total gives the fleet's counters of one cell.
func (e *Evidence) Total(key Key) Counters {
	if c, ok := e.cells[key]; ok {
		return c.total
	}
	return Counters{}
}

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
