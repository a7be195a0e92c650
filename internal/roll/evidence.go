package roll

import (
	"math"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Source is one life of a router; its counters only ever grow.
type Source struct {
	Router      ident.RouterID `json:"router"`
	Incarnation uint64         `json:"incarnation"`
}

// Key names a cell of evidence: what one team saw of one release within one
// stratum of a roll-out.
type Key struct {
	Release ident.Release `json:"release"`
	Team    ident.TeamID  `json:"team"`
	Stratum Stratum       `json:"stratum"`
}

// Outcome is what one request showed about the release that answered it.
type Outcome struct {
	Failed bool
	Empty  bool
	First  time.Duration // time to the first token, 0 if none came
}

// RatingUnit is the resolution of summed ratings; sums of integers merge
// exactly.
const RatingUnit = 1_000_000

// Counters are monotone counts of outcomes. Merged counters of one source are
// the greater of the two in each field.
type Counters struct {
	Requests uint64          `json:"requests,omitempty"`
	Errors   uint64          `json:"errors,omitempty"`
	Empty    uint64          `json:"empty,omitempty"`
	Sessions uint64          `json:"sessions,omitempty"` // new sessions assigned
	Ratings  uint64          `json:"ratings,omitempty"`
	Rated    uint64          `json:"rated,omitempty"`   // sum of ratings, in 1/RatingUnit
	Squares  uint64          `json:"squares,omitempty"` // sum of squared ratings, in 1/RatingUnit
	Latency  [Buckets]uint64 `json:"latency"`           // first tokens by Bucket
}

// Entry is one source's counters of one cell.
type Entry struct {
	Key      Key      `json:"key"`
	Source   Source   `json:"source"`
	Counters Counters `json:"counters"`
}

// Mark is a point in an Evidence's local history of changes.
type Mark uint64

// Evidence holds the counters of the whole fleet, as far as this router has
// heard of them. It belongs to the control thread.
type Evidence struct {
	cells map[Key]*cell
	mark  Mark
	folds *folds
}

type cell struct {
	sources map[Source]*record
	folded  Counters
	total   Counters
}

type record struct {
	counters Counters
	mark     Mark
}

// New gives evidence that holds nothing.
func New() *Evidence {
	return &Evidence{cells: map[Key]*cell{}, folds: newFolds()}
}

// Record counts one outcome at its own router, for the window and for the
// whole step.
func (e *Evidence) Record(self Source, key Key, outcome Outcome) {
	e.add(self, key, func(c *Counters) { c.count(outcome) })
}

// Rate counts one rating at its own router.
func (e *Evidence) Rate(self Source, key Key, quality ident.Quality) {
	e.add(self, key, func(c *Counters) { c.rate(quality) })
}

// Expose counts one new session assigned to the release.
func (e *Evidence) Expose(self Source, key Key) {
	e.add(self, key, func(c *Counters) { c.Sessions++ })
}

func (e *Evidence) add(self Source, key Key, apply func(*Counters)) {
	e.update(self, key, apply)
	if whole := key.Stratum.Whole(); whole != key.Stratum {
		key.Stratum = whole
		e.update(self, key, apply)
	}
}

func (e *Evidence) update(self Source, key Key, apply func(*Counters)) {
	c := e.cell(key)
	r := c.record(self)
	c.total.sub(&r.counters)
	apply(&r.counters)
	c.total.add(&r.counters)
	e.mark++
	r.mark = e.mark
}

// Merge takes in entries from a peer. Entries may come late, doubled and in
// any order; those of folded sources are dropped.
func (e *Evidence) Merge(entries []Entry) {
	for i := range entries {
		e.merge(&entries[i])
	}
}

func (e *Evidence) merge(n *Entry) {
	if e.folds.has(n.Source) {
		return
	}
	c := e.cell(n.Key)
	r := c.record(n.Source)
	if !n.Counters.exceeds(&r.counters) {
		return
	}
	c.total.sub(&r.counters)
	r.counters.max(&n.Counters)
	c.total.add(&r.counters)
	e.mark++
	r.mark = e.mark
}

// Delta gives the entries that changed after since, its own and those heard,
// with the mark to give next time.
func (e *Evidence) Delta(since Mark) ([]Entry, Mark) {
	var entries []Entry
	for k, c := range e.cells {
		for s, r := range c.sources {
			if r.mark > since {
				entries = append(entries, Entry{Key: k, Source: s, Counters: r.counters})
			}
		}
	}
	return entries, e.mark
}

// Total gives the fleet's counters of one cell.
func (e *Evidence) Total(key Key) Counters {
	c, ok := e.cells[key]
	if !ok {
		return Counters{}
	}
	return c.total
}

// Keep forgets all evidence about releases for which keep is false.
func (e *Evidence) Keep(keep func(Key) bool) {
	for k := range e.cells {
		if !keep(k) {
			delete(e.cells, k)
		}
	}
}

// Fold adds a dead source's counters to the local sum of dead sources, so that
// memory does not grow with the number of routers that ever lived.
func (e *Evidence) Fold(dead Source) {
	if e.folds.has(dead) {
		return
	}
	e.folds.add(dead)
	for _, c := range e.cells {
		if r, ok := c.sources[dead]; ok {
			c.folded.add(&r.counters)
			delete(c.sources, dead)
		}
	}
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

func (c *Counters) count(outcome Outcome) {
	c.Requests++
	if outcome.Failed {
		c.Errors++
		return
	}
	if outcome.Empty {
		c.Empty++
	}
	if outcome.First > 0 {
		c.Latency[Bucket(outcome.First)]++
	}
}

func (c *Counters) rate(quality ident.Quality) {
	q := math.Min(1, math.Max(0, float64(quality)))
	c.Ratings++
	c.Rated += uint64(q * RatingUnit)
	c.Squares += uint64(q * q * RatingUnit)
}

func (c *Counters) each(other *Counters, apply func(mine *uint64, theirs uint64)) {
	apply(&c.Requests, other.Requests)
	apply(&c.Errors, other.Errors)
	apply(&c.Empty, other.Empty)
	apply(&c.Sessions, other.Sessions)
	apply(&c.Ratings, other.Ratings)
	apply(&c.Rated, other.Rated)
	apply(&c.Squares, other.Squares)
	for i := range c.Latency {
		apply(&c.Latency[i], other.Latency[i])
	}
}

func (c *Counters) add(other *Counters) {
	c.each(other, func(mine *uint64, theirs uint64) { *mine += theirs })
}

func (c *Counters) sub(other *Counters) {
	c.each(other, func(mine *uint64, theirs uint64) { *mine -= theirs })
}

func (c *Counters) max(other *Counters) {
	c.each(other, func(mine *uint64, theirs uint64) { *mine = max(*mine, theirs) })
}

func (c *Counters) exceeds(other *Counters) bool {
	merged := *other
	merged.max(c)
	return merged != *other
}
