package route

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// limitMemory is how long a limit holds without another answer that names it.
	limitMemory = time.Minute
	// limitRefresh is the age from which a repeated limit is sent to other routers
	// again.
	limitRefresh = 5 * time.Second
	// limitTolerance is the relative change of a limit that is not sent to others.
	limitTolerance = 0.02
	// maxLimit is the limit in requests a second from which it limits nothing.
	maxLimit = 1e6
	// replacedMemory is how long an endpoint counts as replaced without another answer that
	// shows it. Its entry in the store ends within a few seconds of its process.
	replacedMemory = 5 * time.Second
	// maxClockError is how far the clock of another router may be ahead.
	maxClockError = 5 * time.Second
)

// EndpointLimit is what an endpoint says of the load that it accepts: the rate from all
// routers together, and whether it falls over if it has to turn many requests away. If
// another process answers at its address, it accepts none.
type EndpointLimit struct {
	Endpoint      ident.EndpointID `json:"endpoint"`
	StartedMillis int64            `json:"boot"`    // start of the endpoint's incarnation
	Limited       bool             `json:"limited"` // false once the endpoint names no limit any more
	Rate          float64          `json:"rate"`    // requests a second
	Brittle       bool             `json:"brittle,omitempty"`
	Replaced      bool             `json:"replaced,omitempty"` // another process answers at its address
	Millis        int64            `json:"at"`                 // when a router was told, in Unix milliseconds
}

// LimitTable holds the limits that endpoints name in their answers, to this or to
// another router. The latest answer to any router counts. It is safe for concurrent
// use.
type LimitTable struct {
	lock     sync.Mutex
	revision uint64
	entries  map[ident.EndpointID]limitEntry
}

type limitEntry struct {
	limit    EndpointLimit
	revision uint64 // of the latest change that others are told
	sent     EndpointLimit
}

// NewLimitTable returns an empty table.
func NewLimitTable() *LimitTable {
	return &LimitTable{entries: map[ident.EndpointID]limitEntry{}}
}

// Record records what an endpoint said in an answer. It reports whether the endpoint
// has begun or ceased to name a limit, or to be brittle or replaced.
func (t *LimitTable) Record(now time.Time, l EndpointLimit) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	old, known := t.entries[l.Endpoint]
	if !known && !l.Limited && !l.Brittle && !l.Replaced {
		return false
	}
	l.Millis = max(now.UnixMilli(), old.limit.Millis+1) // an own answer is the latest, whatever the clocks
	t.set(l)
	return old.limit.Limited != l.Limited || old.limit.Brittle != l.Brittle || old.limit.Replaced != l.Replaced
}

// set replaces an entry, and numbers it for other routers if it tells them more.
func (t *LimitTable) set(l EndpointLimit) {
	x := t.entries[l.Endpoint]
	x.limit = l
	same := x.sent.StartedMillis == l.StartedMillis && x.sent.Limited == l.Limited && x.sent.Brittle == l.Brittle && x.sent.Replaced == l.Replaced && math.Abs(x.sent.Rate-l.Rate) <= limitTolerance*l.Rate
	if !same || time.Duration(l.Millis-x.sent.Millis)*time.Millisecond >= limitRefresh {
		t.revision++
		x.revision, x.sent = t.revision, l
	}
	t.entries[l.Endpoint] = x
}

// Limit returns the rate that an incarnation of an endpoint accepts, and whether it
// names one.
func (t *LimitTable) Limit(now time.Time, id ident.EndpointID, startedMillis int64) (float64, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	l := t.entries[id].limit
	if !l.Limited || l.Rate >= maxLimit || l.StartedMillis != startedMillis || now.Sub(time.UnixMilli(l.Millis)) >= limitMemory {
		return 0, false
	}
	return l.Rate, true
}

// Brittle reports whether an incarnation of an endpoint says that it is brittle.
func (t *LimitTable) Brittle(now time.Time, id ident.EndpointID, startedMillis int64) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	l := t.entries[id].limit
	return l.Brittle && l.StartedMillis == startedMillis && now.Sub(time.UnixMilli(l.Millis)) < limitMemory
}

// Replaced reports whether another process has lately answered at the address of an
// incarnation of an endpoint. It answers a load under which many endpoints have crashed and
// others have taken their addresses: until the store removes the entries, each router would
// send requests there to learn for itself what another has found.
func (t *LimitTable) Replaced(now time.Time, id ident.EndpointID, startedMillis int64) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	l := t.entries[id].limit
	return l.Replaced && l.StartedMillis == startedMillis && now.Sub(time.UnixMilli(l.Millis)) < replacedMemory
}

// Since returns the limits that changed after a revision, and the current revision.
func (t *LimitTable) Since(revision uint64) ([]EndpointLimit, uint64) {
	t.lock.Lock()
	defer t.lock.Unlock()
	var list []EndpointLimit
	for _, x := range t.entries {
		if x.revision > revision {
			list = append(list, x.limit)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Endpoint < list[j].Endpoint })
	return list, t.revision
}

// Merge merges limits that were named to other routers.
func (t *LimitTable) Merge(now time.Time, limits []EndpointLimit) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, l := range limits {
		age := now.Sub(time.UnixMilli(l.Millis))
		if l.Millis > t.entries[l.Endpoint].limit.Millis && age > -maxClockError && age < limitMemory {
			t.set(l)
		}
	}
	for id, x := range t.entries {
		if now.Sub(time.UnixMilli(x.limit.Millis)) >= 2*limitMemory {
			delete(t.entries, id)
		}
	}
}
