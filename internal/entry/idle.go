package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleSlack is how much longer than the configured limit a caller's connection
// stays open unused: callers may use one up to the limit.
const idleSlack = 1.25

// idleLimits closes callers' connections that are unused for too long, by the
// limit in force at the time.
type idleLimits struct {
	lock  sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleLimits() *idleLimits {
	return &idleLimits{since: map[net.Conn]time.Time{}}
}

// changed follows a connection's state.
func (i *idleLimits) changed(c net.Conn, state http.ConnState) {
	i.lock.Lock()
	defer i.lock.Unlock()
	if state == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// sweep closes what has been unused for longer than the limit.
func (i *idleLimits) sweep(now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	i.lock.Lock()
	defer i.lock.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > time.Duration(float64(limit)*idleSlack) {
			delete(i.since, c)
			_ = c.Close() // unused
		}
	}
}
