package roll

import (
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Group identifies requests of the same type, such as those of one route.
// Versions are compared within each group.
type Group string

// Tally counts the answers of a version.
type Tally struct {
	Answers uint64
	Failed  uint64
	Timed   uint64 // answers whose duration could be compared with the baseline
	Slow    uint64 // of Timed, those that took several times the baseline
}

// Add returns the sum of two tallies.
func (t Tally) Add(o Tally) Tally {
	return Tally{
		Answers: t.Answers + o.Answers, Failed: t.Failed + o.Failed,
		Timed: t.Timed + o.Timed, Slow: t.Slow + o.Slow,
	}
}

// mergeMax sets each count to the greater of the two and returns the increase.
func (t *Tally) mergeMax(o Tally) Tally {
	before := *t
	t.Answers, t.Failed = max(t.Answers, o.Answers), max(t.Failed, o.Failed)
	t.Timed, t.Slow = max(t.Timed, o.Timed), max(t.Slow, o.Slow)
	return Tally{
		Answers: t.Answers - before.Answers, Failed: t.Failed - before.Failed,
		Timed: t.Timed - before.Timed, Slow: t.Slow - before.Slow,
	}
}

// TallyKey identifies what a tally counts: the answers of a version to one group
// of requests within one time slice of a roll-out.
type TallyKey struct {
	Rollout string // identifies the roll-out
	Version ident.VersionID
	Group   Group
	Slice   int
}

// TallyEntry is the tally of one router for a key.
type TallyEntry struct {
	Key    TallyKey
	Source Source
	Tally  Tally
}

// Tallies holds the evidence on roll-outs that last for seconds: the counts of
// both versions' answers at all routers, as far as this router has received
// them. The counts of each router only grow, so entries may arrive late, more
// than once and in any order. It is not safe for concurrent use.
type Tallies struct {
	cells    map[TallyKey]*tallyCell
	revision Revision
}

type tallyCell struct {
	sources map[Source]*tallyRecord
	total   Tally
}

type tallyRecord struct {
	tally    Tally
	revision Revision
}

// NewTallies returns an empty Tallies.
func NewTallies() *Tallies { return &Tallies{cells: map[TallyKey]*tallyCell{}} }

// Add adds answers observed by a router.
func (b *Tallies) Add(key TallyKey, source Source, t Tally) {
	c := b.cell(key)
	r := c.record(source)
	r.tally = r.tally.Add(t)
	c.total = c.total.Add(t)
	b.recordChange(r)
}

// Merge merges entries received from other routers.
func (b *Tallies) Merge(entries []TallyEntry) {
	for _, e := range entries {
		c := b.cell(e.Key)
		r := c.record(e.Source)
		if grown := r.tally.mergeMax(e.Tally); grown != (Tally{}) {
			c.total = c.total.Add(grown)
			b.recordChange(r)
		}
	}
}

// Delta returns the entries that changed after since, and the revision to pass
// to the next call.
func (b *Tallies) Delta(since Revision) ([]TallyEntry, Revision) {
	if since == b.revision {
		return nil, b.revision
	}
	var entries []TallyEntry
	for key, c := range b.cells {
		for source, r := range c.sources {
			if r.revision > since {
				entries = append(entries, TallyEntry{Key: key, Source: source, Tally: r.tally})
			}
		}
	}
	return entries, b.revision
}

// Retain deletes the tallies of the roll-outs for which keep returns false.
func (b *Tallies) Retain(keep func(rollout string) bool) {
	for key := range b.cells {
		if !keep(key.Rollout) {
			delete(b.cells, key)
		}
	}
}

// total returns the sum of a version's answers to a group since a time slice.
func (b *Tallies) total(rollout string, version ident.VersionID, group Group, from int) Tally {
	var t Tally
	for key, c := range b.cells {
		if key.Rollout == rollout && key.Version == version && key.Group == group && key.Slice >= from {
			t = t.Add(c.total)
		}
	}
	return t
}

// answeredGroups returns the groups that a version has answered, in any order.
func (b *Tallies) answeredGroups(rollout string, version ident.VersionID) []Group {
	seen := map[Group]bool{}
	var list []Group
	for key := range b.cells {
		if key.Rollout == rollout && key.Version == version && !seen[key.Group] {
			seen[key.Group] = true
			list = append(list, key.Group)
		}
	}
	return list
}

// cell returns the cell of a key, added if missing.
func (b *Tallies) cell(key TallyKey) *tallyCell {
	c := b.cells[key]
	if c == nil {
		c = &tallyCell{sources: map[Source]*tallyRecord{}}
		b.cells[key] = c
	}
	return c
}

func (c *tallyCell) record(source Source) *tallyRecord {
	r := c.sources[source]
	if r == nil {
		r = &tallyRecord{}
		c.sources[source] = r
	}
	return r
}

// recordChange starts a new revision and assigns it to a changed record.
func (b *Tallies) recordChange(r *tallyRecord) {
	b.revision++
	r.revision = b.revision
}
