package poison

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	maxAnsweredParts = 8192 // parts whose latest answer is kept
	maxPartCrashes   = 256  // crashes kept
	maxPartSuspects  = 256  // suspects kept per crash
	// maxWaitingSuspects is the number of suspects of a crash that are kept although
	// their answers had not begun.
	maxWaitingSuspects = 16
)

// PartFingerprint returns the hash of a part of the prompts to a service.
func PartFingerprint(service ident.ServiceID, part string) ident.Fingerprint {
	h := xxhash.New()
	_, _ = h.WriteString(string(service)) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(part)
	return ident.Fingerprint(h.Sum64())
}

// PartSuspect is a part of the prompt of a request that ran on an endpoint when that
// crashed.
type PartSuspect struct {
	Part    ident.Fingerprint `json:"part"`
	Request ident.Fingerprint `json:"request"`
	Began   bool              `json:"began"` // the endpoint had begun to answer the request
	Age     time.Duration     `json:"age"`   // from the beginning of the answer, or of the run, to the report
	// Broke is the time from the end of the run to the report, 0 if it is the crash's Age.
	Broke time.Duration `json:"broke,omitempty"`
	// Answered reports that some router had a whole answer to a prompt with the part
	// before.
	Answered bool `json:"answered,omitempty"`
	// Cleared reports that the part did not cause the crash.
	Cleared bool `json:"cleared,omitempty"`
}

// PartCrash is a crash with the parts that may have caused it. Several routers may
// report the same crash, each with its own suspects.
type PartCrash struct {
	Incarnation Incarnation   `json:"boot"`
	Age         time.Duration `json:"age"` // from the crash to the report
	// Ended reports that the incarnation is known to have ended, and not only its
	// connections to a router.
	Ended    bool          `json:"ended,omitempty"`
	Suspects []PartSuspect `json:"suspects"`
}

// PartTable decides which parts of prompts are refused since endpoints crashed while
// they began to answer prompts with them. It answers requests that share a part which
// crashes endpoints, but no more than that, and come at any router among sound requests
// that share their other parts.
//
// Tables are merged by adding crashes and suspects and by setting Answered and Cleared,
// in any order and any number of times. A PartTable is not safe for concurrent use.
type PartTable struct {
	lifetime time.Duration
	revision Revision
	crashes  map[Incarnation]*partCrash
	byPart   map[ident.Fingerprint]map[Incarnation]struct{} // crashes of which a part may not be cleared
	expired  time.Time                                      // when crashes were last looked through for old ones
	answered *lru.Cache[ident.Fingerprint, time.Time]       // latest whole answer at this router
	verdict  partVerdict
	decided  Revision // as of which verdict was made
}

// partCrash is what is taken for the end of an incarnation, by this router's clock. If the
// incarnation turns out to have lived later, only runs that broke after that count.
type partCrash struct {
	at       time.Time // of the first broken run of a suspect that is not cleared, or of the last run
	lived    time.Time // latest proof of life, zero for none
	revision Revision  // of the latest change
	ended    bool      // see PartCrash
	suspects partSuspects
	starts   []time.Time // see answerStarts, nil if not known
}

type partSuspects map[suspectKey]*partSuspect

type suspectKey struct{ part, request ident.Fingerprint }

type partSuspect struct {
	since             time.Time // when the answer, or the run if none had begun, began
	broke             time.Time // when the run ended
	began             bool
	answered, cleared bool
}

// NewPartTable returns an empty table that keeps crashes for lifetime.
func NewPartTable(lifetime time.Duration) *PartTable {
	answered, err := lru.New[ident.Fingerprint, time.Time](maxAnsweredParts)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &PartTable{
		lifetime: lifetime, crashes: map[Incarnation]*partCrash{}, byPart: map[ident.Fingerprint]map[Incarnation]struct{}{}, answered: answered,
	}
}

// Observe records the end of a run. One that was withdrawn tells nothing.
func (t *PartTable) Observe(now time.Time, r RunEnd) {
	if r.Withdrawn {
		return
	}
	if r.Broke {
		t.add(now, ownCrash(now, r))
		return
	}
	t.RecordLife(r.Incarnation, r.Started)
	if !r.Complete {
		return
	}
	for _, part := range r.partFingerprints() {
		t.answered.Add(part, now)
		for i := range t.byPart[part] {
			t.clear(t.crashes[i], func(k suspectKey, _ *partSuspect) bool { return k.part == part })
		}
		delete(t.byPart, part)
	}
}

// RecordLife records that an incarnation lived at a time, so that runs which had broken
// before did not crash it. It reports whether that clears any part.
func (t *PartTable) RecordLife(i Incarnation, at time.Time) bool {
	x := t.crashes[i]
	if x == nil || !at.After(x.lived) {
		return false
	}
	x.lived, x.starts = at, nil
	return t.clear(x, func(_ suspectKey, s *partSuspect) bool { return s.broke.Before(at) })
}

// RecordEntries records that the incarnations which are announced lived at a time: the
// entries of those that had ended by then would have lapsed since. It answers resets by
// endpoints that live, after which nothing is sent that an answer could come to.
func (t *PartTable) RecordEntries(lived time.Time, announced func(Incarnation) bool) {
	for i, x := range t.crashes {
		if !x.ended && x.at.Before(lived) && announced(i) {
			t.RecordLife(i, lived)
		}
	}
}

// Confirm records that incarnations whose crash was taken from their connections have
// ended indeed, those for which ended returns true. What that knows is as of a time, and
// tells nothing of later crashes, whose incarnations may have started since.
func (t *PartTable) Confirm(known time.Time, ended func(Incarnation) bool) {
	for i, x := range t.crashes {
		if !x.ended && !x.at.After(known) && ended(i) {
			x.ended = true
			t.markChanged(x, true)
		}
	}
}

// ownCrash returns the crash that a run of this router broke at.
func ownCrash(now time.Time, r RunEnd) PartCrash {
	since := r.Began
	if since.IsZero() {
		since = r.Started
	}
	c := PartCrash{Incarnation: r.Incarnation}
	for _, part := range r.partFingerprints() {
		c.Suspects = append(c.Suspects, PartSuspect{Part: part, Request: r.Fingerprint, Began: !r.Began.IsZero(), Age: now.Sub(since)})
	}
	return c
}

// clear clears the suspects of a crash that match. It reports whether any does.
func (t *PartTable) clear(x *partCrash, match func(suspectKey, *partSuspect) bool) (changed bool) {
	for k, s := range x.suspects {
		if !s.cleared && match(k, s) {
			s.cleared, changed = true, true
		}
	}
	if changed {
		x.updateTime()
	}
	t.markChanged(x, changed)
	return changed
}

// updateTime updates the time of the crash to the suspects that are not cleared.
func (x *partCrash) updateTime() {
	var first, last time.Time
	for _, s := range x.suspects {
		if !s.cleared && (first.IsZero() || s.broke.Before(first)) {
			first = s.broke
		}
		if s.broke.After(last) {
			last = s.broke
		}
	}
	x.at = last
	if !first.IsZero() {
		x.at = first
	}
}

func (t *PartTable) markChanged(x *partCrash, changed bool) {
	if changed {
		t.revision++
		x.revision, x.starts = t.revision, nil
	}
}

// add adds a crash, or the suspects that are new to a known one.
func (t *PartTable) add(now time.Time, c PartCrash) {
	t.expire(now)
	if len(c.Suspects) == 0 || c.Age >= t.lifetime {
		return
	}
	x := t.crashes[c.Incarnation]
	if x == nil {
		x = &partCrash{suspects: partSuspects{}}
		t.crashes[c.Incarnation] = x
	}
	changed := c.Ended && !x.ended
	x.ended = x.ended || c.Ended
	for _, s := range c.Suspects {
		changed = t.addSuspect(now, c, x, s) || changed
	}
	x.updateTime()
	t.markChanged(x, changed)
	t.evictOldest()
}

// addSuspect adds a suspect to a crash, or what is new of a known one. It reports
// whether anything was.
func (t *PartTable) addSuspect(now time.Time, c PartCrash, x *partCrash, s PartSuspect) bool {
	key := suspectKey{s.Part, s.Request}
	broke := now.Add(-c.Age)
	if s.Broke > 0 {
		broke = now.Add(-s.Broke)
	}
	at, known := t.answered.Peek(s.Part)
	answered, cleared := s.Answered || known, s.Cleared || known && at.After(broke) || broke.Before(x.lived)
	old := x.suspects[key]
	switch {
	case old == nil:
		if len(x.suspects) >= maxPartSuspects || !s.Began && x.waiting() >= maxWaitingSuspects {
			return false
		}
		x.suspects[key] = &partSuspect{since: now.Add(-s.Age), broke: broke, began: s.Began, answered: answered, cleared: cleared}
		t.addPart(s.Part, c.Incarnation)
		return true
	case old.cleared && !cleared && broke.After(old.broke.Add(lifeMargin)): // it broke again
		*old = partSuspect{since: now.Add(-s.Age), broke: broke, began: s.Began, answered: answered || old.answered}
		t.addPart(s.Part, c.Incarnation)
		return true
	case !old.cleared && old.broke.After(broke.Add(lifeMargin)):
		cleared = false // of an earlier run
	}
	changed := answered && !old.answered || cleared && !old.cleared || s.Began && !old.began
	if s.Began && !old.began {
		old.began, old.since = true, now.Add(-s.Age)
	}
	old.answered, old.cleared = old.answered || answered, old.cleared || cleared
	return changed
}

// addPart adds a crash of which a part may not be cleared.
func (t *PartTable) addPart(part ident.Fingerprint, i Incarnation) {
	if t.byPart[part] == nil {
		t.byPart[part] = map[Incarnation]struct{}{}
	}
	t.byPart[part][i] = struct{}{}
}

// waiting returns the number of suspects whose answers had not begun.
func (x *partCrash) waiting() int {
	n := 0
	for _, s := range x.suspects {
		if !s.began {
			n++
		}
	}
	return n
}

// Delta returns the crashes that changed after a revision, and the current revision.
func (t *PartTable) Delta(now time.Time, since Revision) ([]PartCrash, Revision) {
	t.expire(now)
	var list []PartCrash
	for i, x := range t.crashes {
		if x.revision <= since {
			continue
		}
		c := PartCrash{Incarnation: i, Age: now.Sub(x.at), Ended: x.ended}
		for k, s := range x.suspects {
			c.Suspects = append(c.Suspects, PartSuspect{
				Part: k.part, Request: k.request, Began: s.began, Age: now.Sub(s.since), Broke: max(1, now.Sub(s.broke)), Answered: s.answered, Cleared: s.cleared,
			})
		}
		sort.Slice(c.Suspects, func(i, j int) bool {
			a, b := c.Suspects[i], c.Suspects[j]
			return a.Part < b.Part || a.Part == b.Part && a.Request < b.Request
		})
		list = append(list, c)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Age > list[j].Age })
	return list, t.revision
}

// Merge merges another router's changes.
func (t *PartTable) Merge(now time.Time, list []PartCrash) {
	for _, c := range list {
		t.add(now, c)
	}
}

// evictOldest removes the oldest crashes beyond maxPartCrashes.
func (t *PartTable) evictOldest() {
	for len(t.crashes) > maxPartCrashes {
		var oldest Incarnation
		for i, x := range t.crashes {
			if o := t.crashes[oldest]; o == nil || x.at.Before(o.at) {
				oldest = i
			}
		}
		t.remove(oldest)
	}
}

// expiryInterval is the time between two searches for crashes that are too old.
const expiryInterval = time.Second

func (t *PartTable) expire(now time.Time) {
	if now.Sub(t.expired) < expiryInterval && !now.Before(t.expired) {
		return
	}
	t.expired = now
	for i, x := range t.crashes {
		if now.Sub(x.at) >= t.lifetime {
			t.remove(i)
		}
	}
}

func (t *PartTable) remove(i Incarnation) {
	for k := range t.crashes[i].suspects {
		delete(t.byPart[k.part], i)
		if len(t.byPart[k.part]) == 0 {
			delete(t.byPart, k.part)
		}
	}
	delete(t.crashes, i)
	t.revision++
}
