package entry

import (
	"net"
	"net/http"
	"reflect"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/setup"
	"github.com/marigoldscale/marigoldscale/internal/syncer"
)

const (
	// storeTimeout bounds a call to the platform's store, which normally responds
	// within milliseconds; a connection may stop responding without an error.
	storeTimeout = 1200 * time.Millisecond
	// storeDialTimeout bounds connecting to the store.
	storeDialTimeout = 700 * time.Millisecond
	// callRateFraction is this router's fraction of the call rates of all routers.
	callRateFraction = 0.02
	// endpointWatchFraction is the fraction of the drain bound between two reads of
	// the endpoints; a call, its timeout and a retry must fit in the remainder.
	endpointWatchFraction = 0.3
	// configWatchFraction is the fraction of the apply bound that a watch of the
	// configuration waits, so that it is retried within the bound even if its
	// connection stops responding.
	configWatchFraction = 0.35
	// orderWatchFraction is the fraction of the cut-off bound that a watch of zone
	// evacuations and roll-outs waits, for the same reason.
	orderWatchFraction = 0.3
)

func storeTransport() *http.Transport {
	dialer := net.Dialer{Timeout: storeDialTimeout, KeepAlive: time.Second}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     20 * time.Second,
		DisableCompression:  true,
	}
}

// storeRetryPolicy returns a policy without retries: package syncer decides what
// follows a failure.
func storeRetryPolicy() plat.RetryPolicy {
	return plat.RetryPolicy{Attempts: 1, Backoff: 20 * time.Millisecond, Timeout: storeTimeout, WatchGrace: storeTimeout}
}

func callRate(fleetRate float64) plat.Rate {
	perSecond := max(2, fleetRate*callRateFraction)
	return plat.Rate{PerSecond: perSecond, Burst: 2 * perSecond}
}

func steerSettings(s setup.Relay) syncer.Settings {
	scale := func(d time.Duration, fraction float64) time.Duration { return time.Duration(float64(d) * fraction) }
	return syncer.Settings{
		Router: s.Router, Zone: s.Zone, FeedAddress: s.Feed, Handoff: s.Handoff, Bootstrap: s.First, Priority: feedPriority(s.Limits), RemovalGrace: s.Times.Lapse, TrialShare: s.Exposure, TrialSlack: s.Slack, SessionTTL: s.Times.Session,
		Endpoints: syncer.WatchTiming{Timeout: scale(s.Times.Drain, endpointWatchFraction), MinInterval: scale(s.Times.Drain, endpointWatchFraction)},
		Configs:   syncer.WatchTiming{Timeout: scale(s.Times.Apply, configWatchFraction)},
		Orders:    syncer.WatchTiming{Timeout: scale(s.Times.Cutoff, orderWatchFraction)},
	}
}

// feedPriority returns the capacity of a router to serve feeds to other routers,
// in percent. It is limited by the scarcer of CPU and network.
func feedPriority(l setup.RelayLimits) int {
	return int(100 * min(l.Share/fullPriorityCores, l.Link/fullPriorityLinkMbps, 1))
}

const (
	fullPriorityCores    = 0.4
	fullPriorityLinkMbps = 100.0
)

func sameSettings(a, b setup.Relay) bool { return reflect.DeepEqual(a, b) }
