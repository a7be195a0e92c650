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

// Levels is the number of quality levels that ratings are counted by, evenly
// from 0 to 1. A rating between two levels is divided between them, which
// keeps the mean.
const QualityLevels = 21

// halfLife is the time after which a rating counts half.
const halfLife = 30 * time.Minute

// negligible is the weight in ratings below which an entry is forgotten.
const negligible = 0.05

// maxKeys bounds the keys that estimates are kept for, since classes come with
// the callers' requests.
const maxKeys = 4096

// Source is one life of a router.
type Source struct {
	Router      ident.RouterID `json:"router"`
	Incarnation uint64         `json:"incarnation"`
}

// Key names what quality is estimated for. Requests that a cheaper model has
// failed at are harder than the rest, so they are kept apart.
type Key struct {
	Class     ident.ClassID `json:"class"`
	Model     ident.ModelID `json:"model"`
	Escalated bool          `json:"escalated,omitempty"`
}

// Ratings are decayed weights of ratings by level.
type RatingHistogram struct {
	At      time.Time              `json:"at"` // to which Weight is decayed
	Weights [QualityLevels]float64 `json:"weight"`
}

// Entry is one source's ratings of one key.
type Entry struct {
	Key     Key             `json:"key"`
	Source  Source          `json:"source"`
	Count   uint64          `json:"count"` // ratings ever counted; the greater is the newer
	Ratings RatingHistogram `json:"ratings"`
}

// Mark is a point in an Estimates' local history of changes.
type Revision uint64

// Estimates holds the ratings of the whole fleet, as far as this router has
// heard of them. It belongs to the control thread; Clone gives readers a copy.
type Estimates struct {
	cells map[Key]*cell
	mark  Revision
}

type cell struct {
	total   RatingHistogram
	sources map[Source]*record
}

type record struct {
	entry Entry
	mark  Revision
}

// New gives estimates that rest on the models' declared qualities alone.
func NewEstimates() *Estimates {
	return &Estimates{cells: map[Key]*cell{}}
}

// Observe counts one rating at its own router.
func (e *Estimates) Observe(now time.Time, self Source, key Key, quality ident.Quality) {
	c, ok := e.cell(key)
	if !ok {
		return
	}
	r := c.record(key, self)
	r.entry.Count++
	r.entry.Ratings.rate(now, quality)
	c.total.rate(now, quality)
	e.mark++
	r.mark = e.mark
}

// Merge takes in entries from a peer, in any order and however often.
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
		e.mark++
		r.mark = e.mark
	}
}

// Delta gives the entries that changed after since, with the mark to give next
// time.
func (e *Estimates) Delta(since Revision) ([]Entry, Revision) {
	var entries []Entry
	for _, c := range e.cells {
		for _, r := range c.sources {
			if r.mark > since {
				entries = append(entries, r.entry)
			}
		}
	}
	return entries, e.mark
}

// Batch gives at most most of a source's own entries that changed after since,
// in an order drawn by the seed, for a heartbeat of bounded size. If it gives
// all, the mark moves on; what is left out now is drawn again next time.
func (e *Estimates) Batch(self Source, since Revision, most int, seed uint64) ([]Entry, Revision) {
	var entries []Entry
	for _, c := range e.cells {
		if r, ok := c.sources[self]; ok && r.mark > since {
			entries = append(entries, r.entry)
		}
	}
	if len(entries) <= most {
		return entries, e.mark
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Key.order(seed), b.Key.order(seed)) })
	return entries[:most], since
}

// order gives a key's place in a batch.
func (k Key) order(seed uint64) uint64 {
	text := string(k.Class) + "/" + string(k.Model)
	if k.Escalated {
		text += "/escalated"
	}
	return xxhash.Sum64String(text + strconv.FormatUint(seed, 16))
}

// Trim forgets entries that have decayed away, and with them routers that are
// gone.
func (e *Estimates) Trim(now time.Time) {
	for k, c := range e.cells {
		for s, r := range c.sources {
			if r.entry.Ratings.sum(now) < negligible {
				c.total.add(&r.entry.Ratings, -1)
				delete(c.sources, s)
			}
		}
		if len(c.sources) == 0 {
			delete(e.cells, k)
		}
	}
}

// Clone gives a copy of the fleet's sums, for readers. It takes no more
// ratings in.
func (e *Estimates) Clone() *Estimates {
	cells := make(map[Key]*cell, len(e.cells))
	for k, c := range e.cells {
		cells[k] = &cell{total: c.total}
	}
	return &Estimates{cells: cells, mark: e.mark}
}

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

// rate adds one rating.
func (r *RatingHistogram) rate(now time.Time, quality ident.Quality) {
	r.decay(now)
	at := math.Min(1, math.Max(0, float64(quality))) * (QualityLevels - 1)
	low := min(int(at), QualityLevels-2)
	part := at - float64(low)
	age := decayFactor(r.At.Sub(now))
	r.Weights[low] += (1 - part) * age
	r.Weights[low+1] += part * age
}

// add adds other with a sign, at the later of the two times.
func (r *RatingHistogram) add(other *RatingHistogram, sign float64) {
	r.decay(other.At)
	factor := sign * decayFactor(r.At.Sub(other.At))
	for i, w := range other.Weights {
		r.Weights[i] = math.Max(0, r.Weights[i]+factor*w)
	}
}

// decay brings the weights to a time, if it is later.
func (r *RatingHistogram) decay(now time.Time) {
	if !now.After(r.At) {
		return
	}
	factor := decayFactor(now.Sub(r.At))
	for i := range r.Weights {
		r.Weights[i] *= factor
	}
	r.At = now
}

func (r *RatingHistogram) sum(now time.Time) float64 {
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
