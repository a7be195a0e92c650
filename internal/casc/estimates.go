package casc

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// QualityLevels is the number of levels of a rating histogram, evenly spaced from
// 0 to 1. A rating between two levels is divided between them, which preserves
// the mean.
const QualityLevels = 21

// halfLife is the time in which the weight of a rating decays by half.
const halfLife = 30 * time.Minute

// minEntryWeight is the weight, in ratings, below which an entry is evicted.
const minEntryWeight = 0.05

// maxKeys limits the number of keys with estimates, since callers choose the
// classes of their requests.
const maxKeys = 4096

// Source identifies one incarnation of a router.
type Source struct {
	Router      ident.RouterID `json:"router"`
	Incarnation uint64         `json:"incarnation"`
}

// Key identifies a quality estimate. Requests escalated from a cheaper model are
// harder than the rest, so they have estimates of their own.
type Key struct {
	Class     ident.ClassID `json:"class"`
	Model     ident.ModelID `json:"model"`
	Escalated bool          `json:"escalated,omitempty"`
}

// RatingHistogram holds exponentially decayed weights of ratings by level.
type RatingHistogram struct {
	At      time.Time              `json:"at"` // time to which Weights are decayed
	Weights [QualityLevels]float64 `json:"weight"`
}

// Entry holds the ratings of one source for one key.
type Entry struct {
	Key     Key             `json:"key"`
	Source  Source          `json:"source"`
	Count   uint64          `json:"count"` // ratings ever recorded; the entry with the greater count is newer
	Ratings RatingHistogram `json:"ratings"`
}

// Revision numbers the local changes of an Estimates.
type Revision uint64

// Estimates holds the ratings of all routers, as far as this router has received
// them. It is not safe for concurrent use; only the control loop uses it, and
// Clone returns a copy for readers.
type Estimates struct {
	cells    map[Key]*cell
	revision Revision
}

type cell struct {
	total   RatingHistogram
	sources map[Source]*record
}

type record struct {
	entry    Entry
	revision Revision
}

// NewEstimates returns an Estimates without ratings, which estimates each model
// by its declared quality.
func NewEstimates() *Estimates {
	return &Estimates{cells: map[Key]*cell{}}
}

// Observe records one rating received by this router. It is ignored if its key
// is new and the limit of keys is reached.
func (e *Estimates) Observe(now time.Time, self Source, key Key, quality ident.Quality) {
	c, ok := e.cell(key)
	if !ok {
		return
	}
	r := c.record(key, self)
	r.entry.Count++
	r.entry.Ratings.addRating(now, quality)
	c.total.addRating(now, quality)
	e.revision++
	r.revision = e.revision
}

// Merge merges entries received from a peer. Entries may arrive in any order and
// more than once.
func (e *Estimates) Merge(entries []Entry) {
	for i := range entries {
		n := &entries[i]
		c, ok := e.cell(n.Key)
		if !ok {
			continue
		}
		r := c.record(n.Key, n.Source)
		if n.Count <= r.entry.Count {
			continue
		}
		c.total.add(&r.entry.Ratings, -1)
		c.total.add(&n.Ratings, 1)
		r.entry = *n
		e.revision++
		r.revision = e.revision
	}
}

// Delta returns the entries that changed after since, and the revision to pass
// to the next call.
func (e *Estimates) Delta(since Revision) ([]Entry, Revision) {
	var entries []Entry
	for _, c := range e.cells {
		for _, r := range c.sources {
			if r.revision > since {
				entries = append(entries, r.entry)
			}
		}
	}
	return entries, e.revision
}

// Batch returns at most limit of a source's own entries that changed after
// since, in an order derived from the seed, for a heartbeat of bounded size. The
// returned revision is the one to pass to the next call; it advances only if no
// entry was left out, so that entries left out are candidates again.
func (e *Estimates) Batch(self Source, since Revision, limit int, seed uint64) ([]Entry, Revision) {
	var entries []Entry
	for _, c := range e.cells {
		if r, ok := c.sources[self]; ok && r.revision > since {
			entries = append(entries, r.entry)
		}
	}
	if len(entries) <= limit {
		return entries, e.revision
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Key.batchRank(seed), b.Key.batchRank(seed)) })
	return entries[:limit], since
}

// batchRank returns a key's rank in a batch; lower ranks are sent first.
func (k Key) batchRank(seed uint64) uint64 {
	text := string(k.Class) + "/" + string(k.Model)
	if k.Escalated {
		text += "/escalated"
	}
	return xxhash.Sum64String(text + strconv.FormatUint(seed, 16))
}

// Trim deletes entries whose weight has decayed below minEntryWeight. This also
// removes the entries of routers that no longer exist.
func (e *Estimates) Trim(now time.Time) {
	for k, c := range e.cells {
		for s, r := range c.sources {
			if r.entry.Ratings.totalWeight(now) < minEntryWeight {
				c.total.add(&r.entry.Ratings, -1)
				delete(c.sources, s)
			}
		}
		if len(c.sources) == 0 {
			delete(e.cells, k)
		}
	}
}

// Clone returns a read-only copy of the ratings summed over all sources.
func (e *Estimates) Clone() *Estimates {
	cells := make(map[Key]*cell, len(e.cells))
	for k, c := range e.cells {
		cells[k] = &cell{total: c.total}
	}
	return &Estimates{cells: cells, revision: e.revision}
}

// cell returns the cell of a key, added if missing, or false if the limit of keys
// is reached.
func (e *Estimates) cell(key Key) (*cell, bool) {
	c, ok := e.cells[key]
	if ok {
		return c, true
	}
	if len(e.cells) >= maxKeys {
		return nil, false
	}
	c = &cell{sources: map[Source]*record{}}
	e.cells[key] = c
	return c, true
}

func (c *cell) record(key Key, source Source) *record {
	r, ok := c.sources[source]
	if !ok {
		r = &record{entry: Entry{Key: key, Source: source}}
		c.sources[source] = r
	}
	return r
}

// addRating adds one rating.
func (r *RatingHistogram) addRating(now time.Time, quality ident.Quality) {
	r.decayTo(now)
	position := math.Min(1, math.Max(0, float64(quality))) * (QualityLevels - 1)
	low := min(int(position), QualityLevels-2)
	fraction := position - float64(low)
	factor := decayFactor(r.At.Sub(now))
	r.Weights[low] += (1 - fraction) * factor
	r.Weights[low+1] += fraction * factor
}

// add adds other, multiplied by sign, at the later of the two times.
func (r *RatingHistogram) add(other *RatingHistogram, sign float64) {
	r.decayTo(other.At)
	factor := sign * decayFactor(r.At.Sub(other.At))
	for i, w := range other.Weights {
		r.Weights[i] = math.Max(0, r.Weights[i]+factor*w)
	}
}

// decayTo decays the weights to now, if it is later than their time.
func (r *RatingHistogram) decayTo(now time.Time) {
	if !now.After(r.At) {
		return
	}
	factor := decayFactor(now.Sub(r.At))
	for i := range r.Weights {
		r.Weights[i] *= factor
	}
	r.At = now
}

// totalWeight returns the sum of the weights, decayed to now.
func (r *RatingHistogram) totalWeight(now time.Time) float64 {
	sum := 0.0
	for _, w := range r.Weights {
		sum += w
	}
	return sum * decayFactor(now.Sub(r.At))
}

func decayFactor(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
