// Package route chooses the endpoint on which a request should run: the one
// with the least expected time to the first token among those allowed, chosen
// so that routers with the same stale reports do not all pick the same one.
package route

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	fewest     = 4                    // endpoints among which two are drawn
	nearScore  = 1.05                 // scores up to this multiple of the best are as good
	nearMargin = 5 * time.Millisecond // and up to this much more
	fullPause  = 250 * time.Millisecond
	warmEvery  = 16 // of the requests, one goes to a cold endpoint to warm it up
)

type candidate struct {
	endpoint *fleet.Endpoint
	score    time.Duration
	expected time.Duration
	cold     bool
}

// Choose gives the endpoint for a request. It reads only the snapshot and this
// router's own tables; the same inputs give the same choice.
func Choose(now time.Time, s *fleet.Snapshot, r Request, t *LoadTracker, p *PrefixIndex) Choice {
	var best [fewest]candidate
	var coldest candidate // the best of the cold ones
	n, full := 0, false
	if allowed(s, r) {
		endpoints := t.lookup(s).endpoints(r)
		for i := range endpoints {
			// Each request begins elsewhere, so that equal scores do not all
			// fall to the same endpoints.
			e := endpoints[(i+int(r.Seed%uint64(len(endpoints))))%len(endpoints)]
			c, reason := judge(now, s, r, t, p, e)
			if reason != ReasonFit && reason != ReasonCold {
				full = full || reason.Temporary()
				continue
			}
			if c.cold && (coldest.endpoint == nil || c.score < coldest.score) {
				coldest = c
			}
			n = insert(&best, n, c)
		}
	}
	if n > 0 {
		return warming(best[:n], coldest, r).choice()
	}
	if full {
		return Wait{RetryAfter: fullPause}
	}
	return None{Reasons: Explain(now, s, r, t, p)}
}

// warming picks a candidate, now and then a cold one even beside warm ones, as
// an endpoint that gets no work never warms up. A request that must run alone
// or be answered first is spared.
func warming(best []candidate, coldest candidate, r Request) candidate {
	spared := r.Exclusive || r.Priority >= fleet.PriorityUrgent || len(r.Exclude) > 0
	turn := (r.Seed>>20)%warmEvery == 0
	if coldest.endpoint != nil && !best[0].cold && turn && !spared {
		return coldest
	}
	return pick(best, r.Seed)
}

// Explain says for each endpoint of the request's release or service whether
// it suits the request and why not, sorted by endpoint id.
func Explain(now time.Time, s *fleet.Snapshot, r Request, t *LoadTracker, p *PrefixIndex) []Verdict {
	endpoints := t.lookup(s).endpoints(r)
	verdicts := make([]Verdict, 0, len(endpoints))
	for _, e := range endpoints {
		c, reason := judge(now, s, r, t, p, e)
		if !allowed(s, r) {
			reason = ReasonVersion
		}
		v := Verdict{Endpoint: e.Spec.ID, Zone: e.Spec.Zone, Reason: reason}
		if reason == ReasonFit || reason == ReasonCold {
			v.Score = c.score
		}
		verdicts = append(verdicts, v)
	}
	return verdicts
}

func allowed(s *fleet.Snapshot, r Request) bool {
	if r.Service != "" {
		_, ok := s.Config.Services[r.Service]
		return ok
	}
	return s.Allowed(r.Release)
}

// judge gives an endpoint's score, or the reason why it does not suit.
func judge(now time.Time, s *fleet.Snapshot, r Request, t *LoadTracker, p *PrefixIndex, e *fleet.Endpoint) (candidate, Reason) {
	if reason := unfit(s, r, e); reason != ReasonFit {
		return candidate{}, reason
	}
	l := t.Load(now, e.Spec.ID, reportedAt(e))
	q := depth(now, s, e, l)
	if r.Exclusive && !empty(now, e, l) {
		return candidate{}, ReasonBusy
	}
	cold := e.Phase == fleet.PhaseCold
	if l.Backoff > 0 || !cold && saturated(e, l, q) {
		return candidate{}, ReasonFull
	}
	c := candidate{endpoint: e, cold: cold}
	wait := queueing(e, l, q)
	c.expected = prefill(s, r, p, e) + wait
	c.score = time.Duration(float64(c.expected)*l.Correction + float64(wait)*queueAversion)
	if cold {
		c.score += coldPenalty
		return c, ReasonCold
	}
	return c, ReasonFit
}

// empty tells whether the endpoint is known to run nothing.
func empty(now time.Time, e *fleet.Endpoint, l Load) bool {
	fresh := !e.Reported.IsZero() && now.Sub(e.Reported) <= reportLifetime
	return fresh && l.Running == 0 && e.Report.Running+e.Report.Waiting == 0
}

func unfit(s *fleet.Snapshot, r Request, e *fleet.Endpoint) Reason {
	switch {
	case s.ZoneOut(e.Spec.Zone):
		return ReasonZone
	case e.Leaving:
		return ReasonLeaving
	case e.Phase == fleet.PhaseDown:
		return ReasonDown
	case e.Spec.Release != r.Release || e.Spec.Service != r.Service:
		return ReasonRelease
	case excluded(r.Exclude, e.Spec.ID):
		return ReasonExcluded
	}
	return ReasonFit
}

func excluded(list []ident.EndpointID, id ident.EndpointID) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}

// insert keeps the best candidates sorted by score.
func insert(best *[fewest]candidate, n int, c candidate) int {
	i := n
	for i > 0 && c.score < best[i-1].score {
		i--
	}
	if i == fewest {
		return n
	}
	n = min(n+1, fewest)
	copy(best[i+1:n], best[i:n-1])
	best[i] = c
	return n
}

// pick draws two of the candidates that are nearly as good as the best one, and
// takes the better of the two.
func pick(best []candidate, seed uint64) candidate {
	near := time.Duration(float64(best[0].score)*nearScore) + nearMargin
	n := uint64(1)
	for n < uint64(len(best)) && best[n].score <= near {
		n++
	}
	a, b := (seed&0xffffffff)%n, (seed>>32)%n
	return best[min(a, b)]
}

func (c candidate) choice() Choice {
	if c.cold {
		return NeedPermit{Endpoint: c.endpoint, Score: c.score, Expected: c.expected}
	}
	return Send{Endpoint: c.endpoint, Score: c.score, Expected: c.expected}
}
