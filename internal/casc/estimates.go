package casc

import (
	"math"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Levels is the number of quality levels that ratings are counted by, evenly
// from 0 to 1. A rating between two levels is divided between them.
const Levels = 11

// halfLife is the time after which a rating counts half.
const halfLife = 30 * time.Minute

// Source is one life of a router.
type Source struct {
	Router      ident.RouterID `json:"router"`
	Incarnation uint64         `json:"incarnation"`
}

// Key names what quality is estimated for.
type Key struct {
	Class ident.ClassID `json:"class"`
	Model ident.ModelID `json:"model"`
}

// Entry is one source's decayed ratings of one key.
type Entry struct {
	Key    Key             `json:"key"`
	Source Source          `json:"source"`
	Count  uint64          `json:"count"` // ratings ever counted; the greater is the newer
	At     time.Time       `json:"at"`    // to which Weight is decayed
	Weight [Levels]float64 `json:"weight"`
}

// Mark is a point in an Estimates' local history of changes.
type Mark uint64

// Estimates holds the ratings of the whole fleet, as far as this router has
// heard of them. It belongs to the control thread; Clone gives readers a copy.
type Estimates struct {
	cells map[Key]map[Source]*record
	mark  Mark
}

type record struct {
	entry Entry
	mark  Mark
}

// New gives estimates that rest on the models' declared qualities alone.
func New() *Estimates {
	return &Estimates{cells: map[Key]map[Source]*record{}}
}

// Observe counts one rating at its own router.
func (e *Estimates) Observe(now time.Time, self Source, key Key, quality ident.Quality) {
	r := e.record(key, self)
	r.entry.decay(now)
	r.entry.Count++
	level := math.Min(1, math.Max(0, float64(quality))) * (Levels - 1)
	low := min(int(level), Levels-2)
	part := level - float64(low)
	r.entry.Weight[low] += 1 - part
	r.entry.Weight[low+1] += part
	e.mark++
	r.mark = e.mark
}

// Merge takes in entries from a peer, in any order and however often.
func (e *Estimates) Merge(entries []Entry) {
	for _, n := range entries {
		r := e.record(n.Key, n.Source)
		if n.Count <= r.entry.Count {
			continue
		}
		r.entry = n
		e.mark++
		r.mark = e.mark
	}
}

// Delta gives the entries that changed after since, with the mark to give next
// time.
func (e *Estimates) Delta(since Mark) ([]Entry, Mark) {
	var entries []Entry
	for _, sources := range e.cells {
		for _, r := range sources {
			if r.mark > since {
				entries = append(entries, r.entry)
			}
		}
	}
	return entries, e.mark
}

// Clone gives a copy that shares nothing.
func (e *Estimates) Clone() *Estimates {
	c := &Estimates{cells: make(map[Key]map[Source]*record, len(e.cells)), mark: e.mark}
	for k, sources := range e.cells {
		copied := make(map[Source]*record, len(sources))
		for s, r := range sources {
			x := *r
			copied[s] = &x
		}
		c.cells[k] = copied
	}
	return c
}

func (e *Estimates) record(key Key, source Source) *record {
	sources, ok := e.cells[key]
	if !ok {
		sources = map[Source]*record{}
		e.cells[key] = sources
	}
	r, ok := sources[source]
	if !ok {
		r = &record{entry: Entry{Key: key, Source: source}}
		sources[source] = r
	}
	return r
}

func (n *Entry) decay(now time.Time) {
	factor := decayFactor(now.Sub(n.At))
	for i := range n.Weight {
		n.Weight[i] *= factor
	}
	if now.After(n.At) {
		n.At = now
	}
}

func decayFactor(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
