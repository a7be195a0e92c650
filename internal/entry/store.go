package entry

import (
	"net"
	"net/http"
	"reflect"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/setup"
	"github.com/marigoldscale/marigoldscale/internal/steer"
)

const (
	// storeTimeout bounds a call to the platform's store, which answers in
	// milliseconds; a connection may be silent for good.
	storeTimeout = 1200 * time.Millisecond
	// storeDial bounds a connection to the store.
	storeDial = 700 * time.Millisecond
	// callPart is this router's part of the call rates of all routers.
	callPart = 0.02
	// endpointShare is the part of the drain bound between two looks at the
	// endpoints; a call, its timeout and a repeat must fit in the rest.
	endpointShare = 0.3
	// watchPart is the part of a bound that a watch waits: it is repeated in
	// time even if its connection is silent.
	watchPart = 0.35
	// orderPart is the same for orders on zones and versions.
	orderPart = 0.3
)

func storeTransport() *http.Transport {
	dialer := net.Dialer{Timeout: storeDial, KeepAlive: time.Second}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     20 * time.Second,
		DisableCompression:  true,
	}
}

// storeRetry makes one try of each call: what follows a failure is decided by
// package steer.
func storeRetry() plat.RetryPolicy {
	return plat.RetryPolicy{Attempts: 1, Backoff: 20 * time.Millisecond, Timeout: storeTimeout, WatchGrace: storeTimeout}
}

func callRate(all float64) plat.Rate {
	calls := max(2, all*callPart)
	return plat.Rate{PerSecond: calls, Burst: 2 * calls}
}

func steerSettings(s setup.Relay) steer.Settings {
	part := func(d time.Duration, p float64) time.Duration { return time.Duration(float64(d) * p) }
	return steer.Settings{
		Router: s.Router, FeedAddress: s.Feed, Bootstrap: s.First, Priority: power(s.Limits), RemovalGrace: s.Times.Lapse, TrialShare: s.Exposure, TrialSlack: s.Slack, SessionTTL: s.Times.Session,
		Endpoints: steer.WatchTiming{Timeout: part(s.Times.Drain, endpointShare), MinInterval: part(s.Times.Drain, endpointShare)},
		Configs:   steer.WatchTiming{Timeout: part(s.Times.Apply, watchPart)},
		Orders:    steer.WatchTiming{Timeout: part(s.Times.Cutoff, orderPart)},
	}
}

// power tells how well a router can serve others: what it has least of, in
// parts of what is plenty.
func power(l setup.RelayLimits) int {
	return int(100 * min(l.Share/plentyShare, l.Link/plentyLink, 1))
}

const (
	plentyShare = 0.4   // of a core
	plentyLink  = 100.0 // Mbit/s
)

func sameSettings(a, b setup.Relay) bool { return reflect.DeepEqual(a, b) }
