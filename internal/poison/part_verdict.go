package poison

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// refusalChain is the number of successive crashes from which a part is refused,
	// and certainChain that from which it is refused although another part explains
	// the crashes as well.
	refusalChain = 3
	certainChain = 5
	// crashSettle is the time from a crash until it counts, unless the endpoint is known
	// to have ended. Connections to one that lives may break as well; any router that
	// gets an answer from it meanwhile clears it.
	crashSettle = 1200 * time.Millisecond
	// answeredSettle is the same for a part that had a whole answer before, for which crashes
	// are unlikely. The third crash still counts before the three seconds after the fifth are
	// over with half a second for the feeds.
	answeredSettle = 2500 * time.Millisecond
	// maxUnexplainedDivisor is the part of the crashes, one in so many, that a likelier part
	// may leave unexplained, and maxAnsweredDivisor that if it is likelier only since the other
	// had a whole answer.
	maxUnexplainedDivisor = 2
	maxAnsweredDivisor    = 4
	// unexplainedCost is the number of crashes for each of these whose endpoints must have
	// outlived all answers with the other part, and unexplainedWeight what each counts.
	unexplainedCost   = 2
	unexplainedWeight = 0.5
	// likelierFactor is how many times the share of outlived answers must be that of a likelier
	// part.
	likelierFactor = 2
	// minPartRequests is the number of requests that must have crashed endpoints. One
	// request that does so is refused as a whole.
	minPartRequests = 2
)

// RefusedParts is the set of the parts of prompts that are refused. It is not changed
// once it was returned.
type RefusedParts map[ident.Fingerprint]bool

// Find returns the first part of a request's prompt that is refused.
func (p RefusedParts) Find(s Subject) (part string, refused bool) {
	if len(p) == 0 {
		return "", false
	}
	for i, f := range s.partFingerprints() {
		if p[f] {
			return s.Parts[i], true
		}
	}
	return "", false
}

// partVerdict holds the parts that are refused, and the crashes that they explain.
type partVerdict struct {
	parts    RefusedParts
	explains map[Incarnation]bool
	until    time.Time // when the next crash settles, zero for none
}

// Refused returns the parts that are refused.
func (t *PartTable) Refused(now time.Time) RefusedParts { return t.decide(now).parts }

// Explained returns the crashes that a refused part explains, sorted.
func (t *PartTable) Explained(now time.Time) []Incarnation {
	var list []Incarnation
	for i, explained := range t.decide(now).explains {
		if explained {
			list = append(list, i)
		}
	}
	sortIncarnations(list)
	return list
}

// Explains reports whether a refused part explains a crash.
func (t *PartTable) Explains(now time.Time, i Incarnation) bool { return t.decide(now).explains[i] }

// decide returns the verdict on what is known.
//
// A part that crashes endpoints is in the prompt of a request that each of its crashes
// interrupted, and has no whole answer. The part that explains most crashes is refused
// first, or one that is the likelier cause of these; what it explains does not count
// against the parts that came along with it.
func (t *PartTable) decide(now time.Time) partVerdict {
	t.expire(now)
	if t.decided == t.revision && t.verdict.parts != nil && (t.verdict.until.IsZero() || now.Before(t.verdict.until)) {
		return t.verdict
	}
	v := partVerdict{parts: RefusedParts{}, explains: map[Incarnation]bool{}}
	for {
		best, ok := t.mostSuspect(now, v)
		if !ok {
			break
		}
		v.parts[best] = true
		for i, x := range t.crashes {
			v.explains[i] = v.explains[i] || x.suspects.holds(best)
		}
	}
	for _, x := range t.crashes {
		for _, wait := range []time.Duration{crashSettle, answeredSettle} {
			if settles := x.at.Add(wait); !x.ended && settles.After(now) && (v.until.IsZero() || settles.Before(v.until)) {
				v.until = settles
			}
		}
	}
	t.verdict, t.decided = v, t.revision
	return v
}

// partCase is the evidence against a part.
type partCase struct {
	part     ident.Fingerprint
	crashes  int     // that it explains
	chain    int     // successive ones of these
	requests int     // in the prompts of which it was interrupted, in the chain
	outlived float64 // sum of interruption.outlived
	answered bool    // it has had a whole answer
}

func newPartCase(part ident.Fingerprint, interruptions []interruption) partCase {
	c := partCase{part: part, crashes: len(interruptions), answered: interruptions[0].answered}
	c.chain, c.requests = successive(interruptions)
	for _, n := range interruptions {
		c.outlived += n.outlived
	}
	return c
}

// rate returns the mean share of outlived answers.
func (c partCase) rate() float64 { return c.outlived / float64(c.crashes) }

// rateAmong returns the same over the crashes that another part explains. One that this part
// does not explain counts unexplainedWeight times what it does against the other on average.
func (c partCase) rateAmong(other partCase) float64 {
	unexplained := max(0, other.crashes-c.crashes)
	return (c.outlived + float64(unexplained)*unexplainedWeight*other.rate()) / float64(max(c.crashes, other.crashes))
}

// isLikelierThan reports whether the part is the likelier cause of the crashes that another
// explains, although it may not explain all. One that all prompts share explains also those
// of endpoints that ended for a reason of their own, but endpoints live on after they began
// most answers with it.
func (c partCase) isLikelierThan(other partCase) bool {
	unexplained := max(0, other.crashes-c.crashes)
	if unexplained*maxUnexplainedDivisor > other.crashes {
		return false
	}
	if c.answered != other.answered {
		return other.answered && unexplained*maxAnsweredDivisor <= other.crashes
	}
	return other.outlived >= max(1, float64(unexplained*unexplainedCost)) && c.rateAmong(other)*likelierFactor <= other.rate()
}

// mostSuspect returns the part to be refused next, if there is one.
func (t *PartTable) mostSuspect(now time.Time, v partVerdict) (ident.Fingerprint, bool) {
	var all, cases []partCase
	for part, interruptions := range t.interruptions(now, v) {
		c := newPartCase(part, interruptions)
		all = append(all, c)
		if c.chain >= refusalChain && c.requests >= minPartRequests {
			cases = append(cases, c)
		}
	}
	if len(cases) == 0 {
		return 0, false
	}
	sort.Slice(cases, func(i, j int) bool {
		a, b := cases[i], cases[j]
		switch {
		case a.chain != b.chain:
			return a.chain > b.chain
		case a.answered != b.answered:
			return b.answered
		case a.crashes != b.crashes:
			return a.crashes > b.crashes
		case a.requests != b.requests:
			return a.requests < b.requests // the other came along in sound requests too
		}
		return a.part < b.part
	})
	best := cases[0]
	if likelier, ok := likeliest(best, all); ok {
		if likelier.requests < minPartRequests || likelier.chain < refusalChain && best.chain < certainChain {
			return 0, false // the next crash may tell
		}
		best = likelier
	}
	for _, c := range cases {
		if c.part != best.part && c.chain == best.chain && c.answered == best.answered && best.chain < certainChain && !best.isLikelierThan(c) {
			return 0, false // the next crash may tell them apart
		}
	}
	return best.part, true
}

// likeliest returns the part that is the likeliest cause of the crashes that another
// explains, if one is likelier than that.
func likeliest(other partCase, all []partCase) (best partCase, ok bool) {
	for _, c := range all {
		if !c.isLikelierThan(other) {
			continue
		}
		if x, y := c.rateAmong(other), best.rateAmong(other); ok && (x > y || x == y && c.part > best.part) {
			continue
		}
		best, ok = c, true
	}
	return best, ok
}

// interruption is a crash that interrupted answers to prompts with a part.
type interruption struct {
	at       time.Time
	first    time.Time // when the first of these answers had begun
	since    time.Time // when the latest had
	requests []ident.Fingerprint
	// outlived is the share of the endpoint's other answers that had begun after the first of
	// these, which the endpoint has outlived.
	outlived float64
	answered bool
}

// interruptions returns the crashes that count against each part, in order of time: those
// that have settled, that no refused part explains and of which the part is not cleared. If
// the endpoint had begun any answer, only the prompts of those count; if it had not, it
// must be known to have ended.
func (t *PartTable) interruptions(now time.Time, v partVerdict) map[ident.Fingerprint][]interruption {
	all, answered := map[ident.Fingerprint][]interruption{}, t.answeredParts()
	for _, i := range t.byTime() {
		x := t.crashes[i]
		if v.explains[i] || !x.ended && now.Sub(x.at) < crashSettle {
			continue
		}
		began := x.suspects.anyBegan()
		if !began && !x.ended {
			continue // the links may have been cut
		}
		found := map[ident.Fingerprint]*interruption{}
		for k, s := range x.suspects {
			if s.cleared || s.began != began || answered[k.part] && !x.ended && now.Sub(x.at) < answeredSettle {
				continue
			}
			n := found[k.part]
			if n == nil {
				n = &interruption{at: x.at, first: s.since, answered: answered[k.part]}
				found[k.part] = n
			}
			n.requests = append(n.requests, k.request)
			if s.since.After(n.since) {
				n.since = s.since
			}
			if s.since.Before(n.first) {
				n.first = s.since
			}
		}
		starts := x.answerStarts()
		for part, n := range found {
			n.outlived = shareLater(starts, n.first)
			all[part] = append(all[part], *n)
		}
	}
	return all
}

// answerStarts returns when the answers that the crash interrupted had begun, in order.
func (x *partCrash) answerStarts() []time.Time {
	if x.starts != nil {
		return x.starts
	}
	byRequest := map[ident.Fingerprint]time.Time{}
	for k, s := range x.suspects {
		if s.began && !s.broke.Before(x.lived) {
			byRequest[k.request] = s.since
		}
	}
	x.starts = slices.SortedFunc(maps.Values(byRequest), time.Time.Compare)
	return x.starts
}

// shareLater returns the share of the other times that are later than one of them, 0 if
// there is no other. The times are in order.
func shareLater(times []time.Time, than time.Time) float64 {
	first := sort.Search(len(times), func(i int) bool { return times[i].After(than) })
	return float64(len(times)-first) / float64(max(1, len(times)-1))
}

// answeredParts returns the parts that had a whole answer before a crash that they are
// suspected of.
func (t *PartTable) answeredParts() map[ident.Fingerprint]bool {
	answered := map[ident.Fingerprint]bool{}
	for _, x := range t.crashes {
		for k, s := range x.suspects {
			if s.answered {
				answered[k.part] = true
			}
		}
	}
	return answered
}

// successive returns the length of a chain of crashes each of which interrupted an
// answer that had begun after the one before, and the number of requests in it. Crashes
// at once count as one: whatever takes down several endpoints interrupts all parts that
// are common.
func successive(list []interruption) (chain, requests int) {
	distinct := map[ident.Fingerprint]bool{}
	var last time.Time
	for _, n := range list {
		if !n.since.After(last) {
			continue
		}
		chain, last = chain+1, n.at
		for _, r := range n.requests {
			distinct[r] = true
		}
	}
	return chain, len(distinct)
}

// byTime returns the crashed incarnations in order of time.
func (t *PartTable) byTime() []Incarnation {
	list := make([]Incarnation, 0, len(t.crashes))
	for i := range t.crashes {
		list = append(list, i)
	}
	sortIncarnations(list)
	sort.SliceStable(list, func(i, j int) bool { return t.crashes[list[i]].at.Before(t.crashes[list[j]].at) })
	return list
}

// holds reports whether a part is among the suspects and not cleared.
func (s partSuspects) holds(part ident.Fingerprint) bool {
	for k, x := range s {
		if k.part == part && !x.cleared {
			return true
		}
	}
	return false
}

// anyBegan reports whether the endpoint had begun any answer.
func (s partSuspects) anyBegan() bool {
	for _, x := range s {
		if x.began {
			return true
		}
	}
	return false
}
