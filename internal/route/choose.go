// Package route chooses the endpoint for a request: the eligible one with the
// least expected time to the first token, randomized so that routers with the
// same stale load reports do not all choose the same one.
package route

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	shortlistSize  = 4    // best endpoints that are kept
	nearRatio      = 1.05 // scores up to this multiple of the best plus nearMargin count as equal
	nearMargin     = 5 * time.Millisecond
	fullRetryAfter = 250 * time.Millisecond
	warmUpEvery    = 16 // one in this many requests goes to a cold endpoint to warm it up
)

type scoredEndpoint struct {
	endpoint *fleet.Endpoint
	score    time.Duration
	expected time.Duration
	cold     bool
}

// Choose returns the endpoint for a request. It reads only the snapshot and this
// router's own load and prefix data; the same inputs give the same choice.
func Choose(now time.Time, s *fleet.Snapshot, r Request, t *LoadTracker, p *PrefixIndex) Choice {
	var best [shortlistSize]scoredEndpoint
	var bestCold scoredEndpoint
	n, full := 0, false
	if allowed(s, r) {
		endpoints := t.indexOf(s).endpoints(r)
		for i := range endpoints {
			// Each request starts at another endpoint, so that ties are not all
			// resolved in favor of the same ones.
			e := endpoints[(i+int(r.Seed%uint64(len(endpoints))))%len(endpoints)]
			c, reason := evaluate(now, s, r, t, p, e)
			if reason != ReasonFit && reason != ReasonCold {
				full = full || reason.Temporary()
				continue
			}
			if c.cold && (bestCold.endpoint == nil || c.score < bestCold.score) {
				bestCold = c
			}
			n = insert(&best, n, c)
		}
	}
	if n > 0 {
		return chooseWithWarmUp(best[:n], bestCold, r).choice()
	}
	if full {
		return Wait{RetryAfter: fullRetryAfter}
	}
	return None{Reasons: Explain(now, s, r, t, p)}
}

// chooseWithWarmUp chooses an endpoint of the shortlist, and for one in warmUpEvery
// requests the best cold one even if there are warm ones, since an endpoint
// without work never warms up. Exclusive, urgent and retried requests are exempt.
func chooseWithWarmUp(best []scoredEndpoint, bestCold scoredEndpoint, r Request) scoredEndpoint {
	exempt := r.Exclusive || r.Priority >= fleet.PriorityUrgent || len(r.Exclude) > 0
	warmUp := (r.Seed>>20)%warmUpEvery == 0
	if bestCold.endpoint != nil && !best[0].cold && warmUp && !exempt {
		return bestCold
	}
	return chooseOfTwo(best, r.Seed)
}

// Explain returns a verdict for each endpoint of the request's release or
// service, sorted by endpoint id.
func Explain(now time.Time, s *fleet.Snapshot, r Request, t *LoadTracker, p *PrefixIndex) []Verdict {
	endpoints := t.indexOf(s).endpoints(r)
	verdicts := make([]Verdict, 0, len(endpoints))
	for _, e := range endpoints {
		c, reason := evaluate(now, s, r, t, p, e)
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

// allowed reports whether the request's service or release may be used at all.
func allowed(s *fleet.Snapshot, r Request) bool {
	if r.Service != "" {
		_, ok := s.Config.Services[r.Service]
		return ok
	}
	return s.Allowed(r.Release)
}

// evaluate returns an endpoint with its score, or the reason why it is not
// eligible.
func evaluate(now time.Time, s *fleet.Snapshot, r Request, t *LoadTracker, p *PrefixIndex, e *fleet.Endpoint) (scoredEndpoint, Reason) {
	if reason := eligibility(s, r, e); reason != ReasonFit {
		return scoredEndpoint{}, reason
	}
	l := t.Load(now, e.Spec.ID, reportedAt(e))
	q := depth(now, s, e, l)
	if r.Exclusive && !idle(now, e, l) {
		return scoredEndpoint{}, ReasonBusy
	}
	cold := e.Phase == fleet.PhaseCold
	if l.Backoff > 0 || !cold && saturated(e, l, q) {
		return scoredEndpoint{}, ReasonFull
	}
	c := scoredEndpoint{endpoint: e, cold: cold}
	wait := queueWait(e, l, q)
	c.expected = firstTokenTime(s, r, p, e) + wait
	c.score = time.Duration(float64(c.expected)*l.Correction + float64(wait)*queueWeight)
	if cold {
		c.score += coldPenalty
		return c, ReasonCold
	}
	return c, ReasonFit
}

// idle reports whether the endpoint is known to run nothing, by a current report.
func idle(now time.Time, e *fleet.Endpoint, l Load) bool {
	fresh := !e.ReportedAt.IsZero() && now.Sub(e.ReportedAt) <= reportLifetime
	return fresh && l.Running == 0 && e.Report.Running+e.Report.Waiting == 0
}

// eligibility returns why the endpoint must not run the request whatever its
// load, or ReasonFit.
func eligibility(s *fleet.Snapshot, r Request, e *fleet.Endpoint) Reason {
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

// insert adds c to the n best endpoints, which are sorted by score, and returns
// their new number.
func insert(best *[shortlistSize]scoredEndpoint, n int, c scoredEndpoint) int {
	i := n
	for i > 0 && c.score < best[i-1].score {
		i--
	}
	if i == shortlistSize {
		return n
	}
	n = min(n+1, shortlistSize)
	copy(best[i+1:n], best[i:n-1])
	best[i] = c
	return n
}

// chooseOfTwo returns the better of two endpoints drawn at random among those
// nearly as good as the best one.
func chooseOfTwo(best []scoredEndpoint, seed uint64) scoredEndpoint {
	near := time.Duration(float64(best[0].score)*nearRatio) + nearMargin
	n := uint64(1)
	for n < uint64(len(best)) && best[n].score <= near {
		n++
	}
	a, b := (seed&0xffffffff)%n, (seed>>32)%n
	return best[min(a, b)]
}

func (c scoredEndpoint) choice() Choice {
	if c.cold {
		return NeedPermit{Endpoint: c.endpoint, Score: c.score, Expected: c.expected}
	}
	return Send{Endpoint: c.endpoint, Score: c.score, Expected: c.expected}
}
