package roll

import (
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Group names requests that are alike, such as those of one route. A version
// is compared with another group by group.
type Group string

// Tally counts the answers of a version.
type Tally struct {
	Answers uint64
	Failed  uint64
	Timed   uint64 // answers whose time could be compared with usual ones
	Slow    uint64 // of Timed, those that took several times the usual
}

// Plus gives the sum of two tallies.
func (t Tally) Add(o Tally) Tally {
	return Tally{
		Answers: t.Answers + o.Answers, Failed: t.Failed + o.Failed,
		Timed: t.Timed + o.Timed, Slow: t.Slow + o.Slow,
	}
}

// raise takes the greater of each count and gives the growth.
func (t *Tally) raise(o Tally) Tally {
	before := *t
	t.Answers, t.Failed = max(t.Answers, o.Answers), max(t.Failed, o.Failed)
	t.Timed, t.Slow = max(t.Timed, o.Timed), max(t.Slow, o.Slow)
	return Tally{
		Answers: t.Answers - before.Answers, Failed: t.Failed - before.Failed,
		Timed: t.Timed - before.Timed, Slow: t.Slow - before.Slow,
	}
}

// BriefKey names what a tally counts: the answers of a version to one group in
// a slice of time of one roll-out.
type TallyKey struct {
	Rollout string // tells one roll-out from another
	Version ident.VersionID
	Group   Group
	Slice   int
}

// BriefEntry is one router's tally.
type TallyEntry struct {
	Key    TallyKey
	Source Source
	Tally  Tally
}

// Brief is the evidence on roll-outs that last for seconds: counts of both
// versions' answers, of the whole fleet as far as this router has heard. Each
// router's counts only grow, so that entries may come late, doubled and in any
// order. It belongs to one goroutine at a time.
type Tallies struct {
	cells map[TallyKey]*briefCell
	mark  Revision
}

type briefCell struct {
	sources map[Source]*briefRecord
	total   Tally
}

type briefRecord struct {
	tally Tally
	mark  Revision
}

// NewBrief gives a Brief that holds nothing.
func NewTallies() *Tallies { return &Tallies{cells: map[TallyKey]*briefCell{}} }

// Add counts answers that a router saw.
func (b *Tallies) Add(key TallyKey, source Source, t Tally) {
	c := b.cell(key)
	r := c.record(source)
	r.tally = r.tally.Add(t)
	c.total = c.total.Add(t)
	b.touch(r)
}

// Merge takes in entries from other routers.
func (b *Tallies) Merge(entries []TallyEntry) {
	for _, e := range entries {
		c := b.cell(e.Key)
		r := c.record(e.Source)
		if grown := r.tally.raise(e.Tally); grown != (Tally{}) {
			c.total = c.total.Add(grown)
			b.touch(r)
		}
	}
}

// Delta gives the entries that changed after since, with the mark to give next
// time.
func (b *Tallies) Delta(since Revision) ([]TallyEntry, Revision) {
	if since == b.mark {
		return nil, b.mark
	}
	var entries []TallyEntry
	for key, c := range b.cells {
		for source, r := range c.sources {
			if r.mark > since {
				entries = append(entries, TallyEntry{Key: key, Source: source, Tally: r.tally})
			}
		}
	}
	return entries, b.mark
}

// Retain forgets the roll-outs for which keep is false.
func (b *Tallies) Retain(keep func(order string) bool) {
	for key := range b.cells {
		if !keep(key.Rollout) {
			delete(b.cells, key)
		}
	}
}

// sum adds up a version's answers to one group in slices from one on.
func (b *Tallies) sum(order string, version ident.VersionID, group Group, from int) Tally {
	var t Tally
	for key, c := range b.cells {
		if key.Rollout == order && key.Version == version && key.Group == group && key.Slice >= from {
			t = t.Add(c.total)
		}
	}
	return t
}

// groups gives the groups that a version answered.
func (b *Tallies) groups(order string, version ident.VersionID) []Group {
	seen := map[Group]bool{}
	var list []Group
	for key := range b.cells {
		if key.Rollout == order && key.Version == version && !seen[key.Group] {
			seen[key.Group] = true
			list = append(list, key.Group)
		}
	}
	return list
}

func (b *Tallies) cell(key TallyKey) *briefCell {
	c := b.cells[key]
	if c == nil {
		c = &briefCell{sources: map[Source]*briefRecord{}}
		b.cells[key] = c
	}
	return c
}

func (c *briefCell) record(source Source) *briefRecord {
	r := c.sources[source]
	if r == nil {
		r = &briefRecord{}
		c.sources[source] = r
	}
	return r
}

func (b *Tallies) touch(r *briefRecord) {
	b.mark++
	r.mark = b.mark
}
