package route

import (
	"math"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	firstBase      = 50 * time.Millisecond  // first token of a short prompt on an idle endpoint
	tokenCost      = 100 * time.Microsecond // prefill of one token that is not cached
	coldPenalty    = 2 * time.Second
	zonePenalty    = 2 * time.Millisecond   // to another zone of the region and back
	regionPenalty  = 80 * time.Millisecond  // to another region and back
	reportLag      = 300 * time.Millisecond // age of a report on arrival
	reportLifetime = 5 * time.Second        // an older report says nothing of the load
	spreadWeight   = 0.7                    // weight of own attempts against the report
	spreadRouters  = 8.0                    // routers up to which own attempts have that weight
	overcommit     = 2.0                    // requests sent to an endpoint over its slots
	queueAversion  = 1.5                    // extra weight of a wait for a slot, which delays others too
	depthUnsure    = 0.15                   // spread of the estimated depth over the slots
)

// reportedAt is the time of which an endpoint's report tells.
func reportedAt(e *fleet.Endpoint) time.Time {
	if e.Reported.IsZero() {
		return time.Time{}
	}
	return e.Reported.Add(-reportLag)
}

// depth estimates the requests on an endpoint now, from its report and from
// this router's own attempts taken for those of all routers, since the callers
// are spread over them evenly. The report is older than most of what runs, so
// it counts for less, unless many routers share the endpoint: then a router's
// own few attempts say little.
func depth(now time.Time, s *fleet.Snapshot, e *fleet.Endpoint, l Load) float64 {
	own := float64(l.Running)
	routers := float64(max(1, len(s.Routers)))
	spread := own * routers
	if e.Reported.IsZero() || now.Sub(e.Reported) > reportLifetime {
		return spread
	}
	reported := float64(e.Report.Running + e.Report.Waiting + l.StartedSinceReport)
	weight := spreadWeight * min(1, spreadRouters/routers)
	return max(own, (1-weight)*reported+weight*spread)
}

// saturated tells whether one more request is more than this router's limit or
// the endpoint's slots and a short queue allow.
func saturated(e *fleet.Endpoint, l Load, depth float64) bool {
	if l.Limit > 0 && float64(l.Running) >= l.Limit {
		return true
	}
	return e.Spec.Slots > 0 && depth >= float64(e.Spec.Slots)*overcommit
}

// prefill is the expected time to the first token on an idle endpoint.
func prefill(s *fleet.Snapshot, r Request, p *PrefixIndex, e *fleet.Endpoint) time.Duration {
	uncached := r.Prompt
	if p != nil && len(r.Blocks) > 0 {
		uncached -= ident.Tokens(p.Cached(e.Spec.ID, r.Blocks)) * BlockTokens
	}
	return firstBase + time.Duration(max(0, uncached))*tokenCost + distance(s, e)
}

// queueing is the expected wait for a slot. The depth is uncertain, so an
// endpoint that is nearly full already counts as some wait.
func queueing(e *fleet.Endpoint, l Load, depth float64) time.Duration {
	slots := float64(e.Spec.Slots)
	if slots <= 0 {
		return 0
	}
	unsure := slots * depthUnsure
	excess := unsure * math.Log1p(math.Exp((depth+1-slots)/unsure))
	return time.Duration(excess / slots * float64(l.ServiceTime))
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
