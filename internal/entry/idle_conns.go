package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleLimitFactor times the configured limit is how long a caller's connection
// stays open while idle, since callers may reuse it until the limit.
const idleLimitFactor = 1.25

// idleConnTracker closes callers' connections that exceed the idle limit in
// force at the time of the check.
type idleConnTracker struct {
	lock      sync.Mutex
	idleSince map[net.Conn]time.Time
}

func newIdleConnTracker() *idleConnTracker {
	return &idleConnTracker{idleSince: map[net.Conn]time.Time{}}
}

// stateChanged records a change of a connection's state.
func (i *idleConnTracker) stateChanged(c net.Conn, state http.ConnState) {
	i.lock.Lock()
	defer i.lock.Unlock()
	if state == http.StateIdle {
		i.idleSince[c] = time.Now()
		return
	}
	delete(i.idleSince, c)
}

// closeExpired closes connections idle for longer than the limit times
// idleLimitFactor.
func (i *idleConnTracker) closeExpired(now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	i.lock.Lock()
	defer i.lock.Unlock()
	for c, since := range i.idleSince {
		if now.Sub(since) > time.Duration(float64(limit)*idleLimitFactor) {
			delete(i.idleSince, c)
			_ = c.Close() // no request is in progress on it
		}
	}
}
