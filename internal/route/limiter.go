package route

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// coldSenderShare is the fraction of a cold endpoint's rate that is used when
// there are more routers than requests a second. Then a subset of the routers is
// selected by hash, and each of them sends one request a second.
const coldSenderShare = 0.5

// ColdLimiter limits the rate at which this router sends to cold endpoints. The
// limits of all routers together keep to an endpoint's rate without coordination.
// It protects a service whose endpoints all restart at once and are cold
// together. It is safe for concurrent use.
type ColdLimiter struct {
	lock      sync.Mutex
	router    string
	allowedAt map[ident.EndpointID]time.Time // time of the next request
}

// NewColdLimiter returns the limiter of a router.
func NewColdLimiter(router string) *ColdLimiter {
	return &ColdLimiter{router: router, allowedAt: map[ident.EndpointID]time.Time{}}
}

// Allow reports whether a request may be sent now to a cold endpoint that
// accepts rate requests a second from all routers together, and counts it if so.
func (c *ColdLimiter) Allow(now time.Time, endpoint ident.EndpointID, rate float64, routers int) bool {
	position := unitHash(xxhash.Sum64String(c.router), endpoint)
	interval := time.Second
	if float64(routers) > rate {
		if position > coldSenderShare*rate/float64(routers) {
			return false
		}
	} else {
		interval = time.Duration(float64(routers) / rate * float64(time.Second))
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	at, known := c.allowedAt[endpoint]
	if !known {
		// Spread the first requests of routers that see the endpoint at the
		// same moment.
		at = now.Add(time.Duration(position * float64(interval)))
		c.allowedAt[endpoint] = at
	}
	if now.Before(at) {
		return false
	}
	c.allowedAt[endpoint] = now.Add(interval)
	return true
}
