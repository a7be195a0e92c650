package route

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// limitSlot is the length of the time slots into which a limit is divided. Over
	// it, a router with a few requests a second uses its part of a small limit, and
	// four seconds touch at most three slots, which hold one and a half times what
	// the limit allows in them.
	limitSlot = 2 * time.Second
	// minSharedRate is the rate in requests a second that is used of a smaller limit:
	// an endpoint is asked in each slot, since only an answer tells that its limit has
	// ended.
	minSharedRate = 0.5
	// keptSlots is the number of slots whose use is remembered, for clocks that are
	// set back.
	keptSlots = 8
	// searchedSlots is the number of slots in which the next turn is searched.
	searchedSlots = 16
)

// SharedLimiter keeps the requests of all routers together within the rate that an
// endpoint accepts, without messages. It answers a load in which every router could
// send to the same few endpoints. The requests that a limit allows in a time slot are
// divided evenly; those left over go to the routers that rendezvous hashing ranks
// first in that slot, so that a limit below one request per router and slot is used
// by each in turn. Turns do not accumulate: a router that had no request leaves its
// turn unused, and a burst at all routers cannot exceed the limit. It is safe for
// concurrent use.
type SharedLimiter struct {
	lock   sync.Mutex
	router ident.RouterID
	phase  time.Duration // start of this router's slots, so that turns are spread
	used   map[turn]int
	turns  map[turn]int // own requests in a slot, cached for routers
	// routers and hashes are those for which turns was computed.
	routers []ident.RouterID
	hashes  []uint64
}

type turn struct {
	endpoint ident.EndpointID
	slot     int64
	rate     float64 // 0 in used
}

// NewSharedLimiter returns the limiter of a router.
func NewSharedLimiter(router ident.RouterID) *SharedLimiter {
	phase := time.Duration(unitHash(xxhash.Sum64String(string(router)), "") * float64(limitSlot))
	return &SharedLimiter{router: router, phase: phase, used: map[turn]int{}, turns: map[turn]int{}}
}

// Available returns 0 if a request may be sent now to an endpoint that accepts rate
// requests a second from all routers together, and otherwise the time until the next
// may. routers are all that may send to it; while they are unknown, none may.
func (l *SharedLimiter) Available(now time.Time, endpoint ident.EndpointID, rate float64, routers []ident.RouterID) time.Duration {
	l.lock.Lock()
	defer l.lock.Unlock()
	slot := l.slot(now)
	if l.used[turn{endpoint: endpoint, slot: slot}] < l.turnsIn(endpoint, slot, rate, routers) {
		return 0
	}
	for i := int64(1); i < searchedSlots; i++ {
		if l.turnsIn(endpoint, slot+i, rate, routers) > 0 {
			return l.slotStart(slot + i).Sub(now)
		}
	}
	return searchedSlots * limitSlot
}

// Take counts a request to an endpoint, and reports whether it may be sent.
func (l *SharedLimiter) Take(now time.Time, endpoint ident.EndpointID, rate float64, routers []ident.RouterID) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	slot := l.slot(now)
	key := turn{endpoint: endpoint, slot: slot}
	if l.used[key] >= l.turnsIn(endpoint, slot, rate, routers) {
		return false
	}
	if l.used[key] == 0 {
		l.forget(slot)
	}
	l.used[key]++
	return true
}

func (l *SharedLimiter) slot(now time.Time) int64 {
	return (now.UnixNano() + int64(l.phase)) / int64(limitSlot)
}

func (l *SharedLimiter) slotStart(slot int64) time.Time {
	return time.Unix(0, slot*int64(limitSlot)-int64(l.phase))
}

// forget drops the use of slots that are far from the current one.
func (l *SharedLimiter) forget(slot int64) {
	for key := range l.used {
		if key.slot < slot-keptSlots || key.slot > slot+keptSlots {
			delete(l.used, key)
		}
	}
}

// turnsIn returns the number of requests that this router may send in a slot.
func (l *SharedLimiter) turnsIn(endpoint ident.EndpointID, slot int64, rate float64, routers []ident.RouterID) int {
	if len(l.turns) > maxCachedTurns {
		clear(l.turns)
	}
	l.setRouters(routers)
	key := turn{endpoint: endpoint, slot: slot, rate: rate}
	n, known := l.turns[key]
	if !known {
		n = l.ownTurns(endpoint, slot, slotTokens(rate, slot))
		l.turns[key] = n
	}
	return n
}

// setRouters replaces the routers that share the endpoints. Callers pass the same
// slice until the routers change.
func (l *SharedLimiter) setRouters(routers []ident.RouterID) {
	if len(routers) == len(l.routers) && (len(routers) == 0 || &routers[0] == &l.routers[0]) {
		return
	}
	clear(l.turns)
	l.routers, l.hashes = routers, make([]uint64, len(routers))
	for i, r := range routers {
		l.hashes[i] = xxhash.Sum64String(string(r))
	}
}

// maxCachedTurns bounds the computed turns that are kept.
const maxCachedTurns = 4096

// slotTokens returns the number of requests that a rate allows in a slot. Over many
// slots the sum is exact.
func slotTokens(rate float64, slot int64) int {
	perSlot := max(rate, minSharedRate) * limitSlot.Seconds()
	return int(math.Floor(perSlot*float64(slot+1)) - math.Floor(perSlot*float64(slot)))
}

// ownTurns returns this router's part of a slot's tokens.
func (l *SharedLimiter) ownTurns(endpoint ident.EndpointID, slot int64, tokens int) int {
	if len(l.routers) == 0 {
		return 0
	}
	even, left := tokens/len(l.routers), tokens%len(l.routers)
	if left == 0 {
		return even
	}
	seed := xxhash.Sum64String(string(endpoint)) + uint64(slot)*slotMultiplier
	own, before := mixBits(xxhash.Sum64String(string(l.router))^seed), 0
	for _, h := range l.hashes {
		if mixBits(h^seed) < own {
			before++
		}
	}
	if before < left {
		return even + 1
	}
	return even
}

// slotMultiplier spreads consecutive slots over all bits of a seed.
const slotMultiplier = 0x9e3779b97f4a7c15
