package route

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// coldSenders is the part of a cold endpoint's rate at which routers are drawn
// to send to it, one request a second each, when they are more than the rate.
const coldSenders = 0.5

// ColdShare gives this router its share of the small load that cold endpoints
// bear. The shares of all routers together keep to the endpoint's rate without
// a message between them. It answers the pattern of a service whose endpoints
// come back together, all of them cold.
type ColdLimiter struct {
	lock   sync.Mutex
	router string
	next   map[ident.EndpointID]time.Time
}

// NewColdShare makes the shares of a router.
func NewColdLimiter(router string) *ColdLimiter {
	return &ColdLimiter{router: router, next: map[ident.EndpointID]time.Time{}}
}

// Take tells whether a request may go to a cold endpoint that bears rate
// requests a second from all routers.
func (c *ColdLimiter) Allow(now time.Time, endpoint ident.EndpointID, rate float64, routers int) bool {
	part := noise(xxhash.Sum64String(c.router), endpoint)
	pause := time.Second
	if float64(routers) > rate {
		if part > coldSenders*rate/float64(routers) {
			return false
		}
	} else {
		pause = time.Duration(float64(routers) / rate * float64(time.Second))
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	at, known := c.next[endpoint]
	if !known {
		// Routers that see the endpoint at the same moment begin apart.
		at = now.Add(time.Duration(part * float64(pause)))
		c.next[endpoint] = at
	}
	if now.Before(at) {
		return false
	}
	c.next[endpoint] = now.Add(pause)
	return true
}
