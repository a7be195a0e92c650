package route

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	firstBase      = 50 * time.Millisecond  // first token of a short prompt on an idle endpoint
	tokenCost      = 100 * time.Microsecond // prefill of one token that is not cached
	slotCost       = 200 * time.Millisecond // wait for each request queued beyond the slots
	coldPenalty    = 2 * time.Second
	zonePenalty    = 2 * time.Millisecond  // to another zone of the region and back
	regionPenalty  = 80 * time.Millisecond // to another region and back
	reportLifetime = 5 * time.Second       // an older report says nothing of the load
)

// depth estimates the requests on an endpoint now: those it reported, or this
// router's own if there are more, scaled up to all live routers.
func depth(now time.Time, s *fleet.Snapshot, e *fleet.Endpoint, l Load) float64 {
	own := float64(l.Running)
	if e.Reported.IsZero() || now.Sub(e.Reported) > reportLifetime {
		return own * float64(max(1, len(s.Routers)))
	}
	reported := float64(e.Report.Running + e.Report.Waiting)
	return max(own, reported)
}

// saturated tells whether one more request is more than this router's limit or
// the endpoint's slots allow.
func saturated(_ *fleet.Snapshot, e *fleet.Endpoint, l Load, depth float64) bool {
	if l.Limit > 0 && float64(l.Running) >= l.Limit {
		return true
	}
	return e.Spec.Slots > 0 && (depth >= float64(e.Spec.Slots) || l.Running >= e.Spec.Slots)
}

// expect gives the expected time to the first token, before correction by what
// was observed of the endpoint.
func expect(s *fleet.Snapshot, r Request, p *Prefixes, e *fleet.Endpoint, depth float64) time.Duration {
	uncached := r.Prompt
	if p != nil && len(r.Blocks) > 0 {
		uncached -= ident.Tokens(p.Cached(e.Spec.ID, r.Blocks)) * BlockTokens
	}
	d := firstBase + time.Duration(max(0, uncached))*tokenCost + distance(s, e)
	if e.Spec.Slots > 0 {
		used := depth / float64(e.Spec.Slots)
		d += time.Duration(used * float64(firstBase))
		d += time.Duration(max(0, depth+1-float64(e.Spec.Slots)) * float64(slotCost))
	}
	return d
}

func distance(s *fleet.Snapshot, e *fleet.Endpoint) time.Duration {
	if e.Spec.Zone == s.Self.Zone {
		return 0
	}
	own, other := s.Config.Zones[s.Self.Zone], s.Config.Zones[e.Spec.Zone]
	if own != nil && other != nil && own.Region == other.Region {
		return zonePenalty
	}
	return regionPenalty
}
