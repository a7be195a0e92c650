package gossip

import "time"

// Standing tells whether a router may serve on its configuration.
type Standing int

// The standings.
const (
	// StandingFresh means that someone confirmed the configuration as current a
	// moment ago.
	StandingFresh Standing = iota
	// StandingTogether means that more than half of the routers are reached and
	// none of them reaches the platform either, which is taken as an outage of
	// the platform. The router goes on.
	StandingTogether
	// StandingAlone means that the router is cut off with no more than half of the
	// routers, so that the others may have a newer configuration in force. It
	// must refuse new work.
	StandingAlone
)

// FreshFor is how long a confirmation of the configuration counts.
const FreshFor = 3 * time.Second

// Reach is what a router can reach.
type Reach struct {
	Confirmed time.Time // newest time at which anyone reached confirmed the configuration
	Live      int       // other routers heard of late, whether listed or not
	Listed    int       // other routers on the platform's last list, leaving ones left out
}

// Fresh tells how a router stands. A router that has not had any confirmation
// since its start must not serve at all, which its caller sees to.
func Fresh(now time.Time, reach Reach) Standing {
	if now.Sub(reach.Confirmed) <= FreshFor {
		return StandingFresh
	}
	// The router itself counts on both sides.
	if 2*(reach.Live+1) > reach.Listed+1 {
		return StandingTogether
	}
	return StandingAlone
}

// Silence gives how long a router of a fleet may not be heard of before it is
// taken for dead. Word of a router takes more rounds through a larger fleet, see
// Ages.
func Silence(routers int) time.Duration {
	if routers <= maxAllPairs {
		return 3 * heartbeatAll
	}
	return 15 * time.Second
}
