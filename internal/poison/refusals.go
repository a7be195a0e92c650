package poison

import (
	"slices"
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// maxRefusals is the number of requests, and of parts, in a RefusalRecord. With the
	// bounds below a record stays under 0.3 MB.
	maxRefusals = 64
	// refusalCrashesKept is the number of crashes kept for each part, more than make a
	// certain chain, and refusalSuspectsKept that of requests at each.
	refusalCrashesKept  = 8
	refusalSuspectsKept = 4
)

// Refusal is a request or a part of prompts that is refused.
type Refusal struct {
	Fingerprint ident.Fingerprint `json:"fingerprint"`
	Part        bool              `json:"part,omitempty"`
	Age         time.Duration     `json:"age"` // from the latest crash to the report
}

// RefusalKey identifies what a Refusal refuses.
type RefusalKey struct {
	Fingerprint ident.Fingerprint
	Part        bool
}

// RefusalRecord holds what is refused with just the crashes that it follows from, so that
// routers which know nothing else refuse it as well. It answers the loss of all routers at
// once.
type RefusalRecord struct {
	Refusals []Refusal `json:"refusals"`
	Delta    Delta     `json:"delta"`
}

// Latest returns the time of the latest crash of each refusal in a record of the time now.
func (r RefusalRecord) Latest(now time.Time) map[RefusalKey]time.Time {
	all := make(map[RefusalKey]time.Time, len(r.Refusals))
	for _, x := range r.Refusals {
		all[RefusalKey{x.Fingerprint, x.Part}] = now.Add(-x.Age)
	}
	return all
}

// Later returns the record as of a later time.
func (r RefusalRecord) Later(by time.Duration) RefusalRecord {
	by = max(0, by) // the clocks of routers differ
	out := RefusalRecord{Refusals: slices.Clone(r.Refusals), Delta: Delta{Crashes: slices.Clone(r.Delta.Crashes), Parts: slices.Clone(r.Delta.Parts)}}
	for i := range out.Refusals {
		out.Refusals[i].Age += by
	}
	for i := range out.Delta.Crashes {
		out.Delta.Crashes[i].Age += by
	}
	for i := range out.Delta.Parts {
		x := &out.Delta.Parts[i]
		x.Age += by
		x.Suspects = slices.Clone(x.Suspects)
		for j := range x.Suspects {
			x.Suspects[j].Age += by
			if s := &x.Suspects[j]; s.Broke > 0 {
				s.Broke += by
			}
		}
	}
	return out
}

// RefusalState identifies what Refusals returns: it stays the same as long as nothing
// changes but the ages.
type RefusalState struct {
	runs, parts Revision
	refused     int // parts, which settle without a new revision
}

// RefusalStateOf returns the state of two tables.
func RefusalStateOf(now time.Time, runs *RunTable, parts *PartTable) RefusalState {
	refused := len(parts.Refused(now))
	return RefusalState{runs: runs.crashes.revision, parts: parts.revision, refused: refused}
}

// Refusals returns the record of what is refused by the two tables.
func Refusals(now time.Time, runs *RunTable, parts *PartTable) RefusalRecord {
	var r RefusalRecord
	runs.addRefusals(now, &r, func(i Incarnation) bool { return parts.Explains(now, i) })
	parts.addRefusals(now, &r)
	return r
}

func (t *RunTable) addRefusals(now time.Time, r *RefusalRecord, explained func(Incarnation) bool) {
	var refused []Refusal
	crashes := map[ident.Fingerprint][]Incarnation{}
	for f, suspected := range t.crashes.suspects {
		if len(suspected) < maxRunCrashes {
			continue
		}
		list := slices.DeleteFunc(t.crashes.UnclearedCrashes(now, f), explained)
		if len(list) < maxRunCrashes {
			continue
		}
		sort.SliceStable(list, func(i, j int) bool { return t.crashes.crashes[list[i]].at.After(t.crashes.crashes[list[j]].at) })
		crashes[f] = list[:maxRunCrashes]
		refused = append(refused, Refusal{Fingerprint: f, Age: now.Sub(t.crashes.crashes[list[0]].at)})
	}
	for _, x := range latestRefusals(refused) {
		r.Refusals = append(r.Refusals, x)
		for _, i := range crashes[x.Fingerprint] {
			r.Delta.Crashes = append(r.Delta.Crashes, Crash{
				Incarnation: i, Suspects: []ident.Fingerprint{x.Fingerprint}, Age: now.Sub(t.crashes.crashes[i].at),
			})
		}
	}
}

func (t *PartTable) addRefusals(now time.Time, r *RefusalRecord) {
	parts := t.Refused(now)
	if len(parts) == 0 {
		return
	}
	var refused []Refusal
	crashes := map[ident.Fingerprint][]PartCrash{}
	all, _ := t.Delta(now, 0)
	for part := range parts {
		var list []PartCrash // the oldest first
		for _, c := range all {
			c.Suspects = slices.DeleteFunc(slices.Clone(c.Suspects), func(s PartSuspect) bool { return s.Part != part || s.Cleared })
			if len(c.Suspects) > 0 {
				c.Suspects = c.Suspects[:min(len(c.Suspects), refusalSuspectsKept)]
				list = append(list, c)
			}
		}
		if len(list) == 0 {
			continue
		}
		crashes[part] = list[max(0, len(list)-refusalCrashesKept):]
		refused = append(refused, Refusal{Fingerprint: part, Part: true, Age: list[len(list)-1].Age})
	}
	for _, x := range latestRefusals(refused) {
		r.Refusals = append(r.Refusals, x)
		r.Delta.Parts = append(r.Delta.Parts, crashes[x.Fingerprint]...)
	}
}

// latestRefusals returns the refusals with the latest crashes, sorted, as many as a record
// holds.
func latestRefusals(list []Refusal) []Refusal {
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		return a.Age < b.Age || a.Age == b.Age && a.Fingerprint < b.Fingerprint
	})
	return list[:min(len(list), maxRefusals)]
}
