package route

import (
	"math"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	baseLatency     = 50 * time.Millisecond  // first token of a short prompt on an idle endpoint
	prefillPerToken = 100 * time.Microsecond // for tokens that are not cached
	coldPenalty     = 2 * time.Second
	zonePenalty     = 2 * time.Millisecond   // round trip to another zone of the region
	regionPenalty   = 80 * time.Millisecond  // round trip to another region
	reportLag       = 300 * time.Millisecond // age of a load report on arrival
	reportLifetime  = 5 * time.Second        // older load reports are ignored
	ownLoadWeight   = 0.7                    // weight of own attempts against the report
	ownLoadRouters  = 8.0                    // number of routers up to which own attempts have that weight
	overcommit      = 2.0                    // largest estimated depth, as a multiple of the slots
	queueWeight     = 1.5                    // extra weight of the wait for a slot, which delays other requests too
	depthSpread     = 0.15                   // uncertainty of the estimated depth, as a fraction of the slots
)

// reportedAt returns the time at which an endpoint's load report was made, or the
// zero time if there is none.
func reportedAt(e *fleet.Endpoint) time.Time {
	if e.ReportedAt.IsZero() {
		return time.Time{}
	}
	return e.ReportedAt.Add(-reportLag)
}

// depth estimates the number of requests now running or queued on an endpoint,
// from its load report and from this router's own attempts multiplied by the
// number of routers, over which callers are spread evenly. The report is older
// than most running requests, so it has less weight, unless many routers share
// the endpoint: then a router's few own attempts are a poor estimate.
func depth(now time.Time, s *fleet.Snapshot, e *fleet.Endpoint, l Load) float64 {
	own := float64(l.Running)
	routers := float64(max(1, len(s.Routers)))
	extrapolated := own * routers
	if e.ReportedAt.IsZero() || now.Sub(e.ReportedAt) > reportLifetime {
		return extrapolated
	}
	reported := float64(e.Report.Running + e.Report.Waiting + l.StartedSinceReport)
	weight := ownLoadWeight * min(1, ownLoadRouters/routers)
	return max(own, (1-weight)*reported+weight*extrapolated)
}

// saturated reports whether one more request would exceed this router's limit,
// or the endpoint's slots and a short queue.
func saturated(e *fleet.Endpoint, l Load, depth float64) bool {
	if l.Limit > 0 && float64(l.Running) >= l.Limit {
		return true
	}
	return e.Spec.Slots > 0 && depth >= float64(e.Spec.Slots)*overcommit
}

// firstTokenTime returns the expected time to the first token on an idle
// endpoint.
func firstTokenTime(s *fleet.Snapshot, r Request, p *PrefixIndex, e *fleet.Endpoint) time.Duration {
	uncached := r.Prompt
	if p != nil && len(r.Blocks) > 0 {
		uncached -= ident.Tokens(p.Cached(e.Spec.ID, r.Blocks)) * BlockTokens
	}
	return baseLatency + time.Duration(max(0, uncached))*prefillPerToken + networkDelay(s, e)
}

// queueWait returns the expected wait for a slot. Since the depth is uncertain,
// the wait already grows on an endpoint that is nearly full.
func queueWait(e *fleet.Endpoint, l Load, depth float64) time.Duration {
	slots := float64(e.Spec.Slots)
	if slots <= 0 {
		return 0
	}
	deviation := slots * depthSpread
	excess := deviation * math.Log1p(math.Exp((depth+1-slots)/deviation))
	return time.Duration(excess / slots * float64(l.ServiceTime))
}

// networkDelay returns the round-trip time to the endpoint's zone.
func networkDelay(s *fleet.Snapshot, e *fleet.Endpoint) time.Duration {
	if e.Spec.Zone == s.Self.Zone {
		return 0
	}
	own, other := s.Config.Zones[s.Self.Zone], s.Config.Zones[e.Spec.Zone]
	if own != nil && other != nil && own.Region == other.Region {
		return zonePenalty
	}
	return regionPenalty
}
