package inlet

import (
	"net/netip"
	"time"
)

const (
	// headWait is how long a connection may be open without the head of a request before it
	// is closed for a new one. Ordinary callers send it at once.
	headWait = 20 * time.Millisecond
	// callWait is the same for the first call of an opaque connection. A new one waits until
	// then: a router's call takes 2 ms, but up to some 100 ms if its processor share is used
	// up.
	callWait = 100 * time.Millisecond
)

// replaceUnused closes the connection that has kept the router waiting longest for a head
// or a first call, so that a new one of the given address fits. Connections of that
// address go first. It reports false if there is none.
func (l *Listener) replaceUnused(now time.Time, address netip.Addr) bool {
	var oldest *Conn
	var oldestSince time.Time
	for _, c := range l.all() {
		since, unused := c.unused()
		same, oldestSame := addressOf(c) == address, oldest != nil && addressOf(oldest) == address
		if unused && (oldest == nil || same && !oldestSame || same == oldestSame && since.Before(oldestSince)) && !c.hasUnread() {
			oldest, oldestSince = c, since
		}
	}
	if oldest == nil {
		return false
	}
	if l.settings.Opaque {
		time.Sleep(callWait - now.Sub(oldestSince))
	} else if now.Sub(oldestSince) < headWait {
		return false
	}
	if _, unused := oldest.unused(); !unused || oldest.hasUnread() {
		return false
	}
	l.report(ConnEvicted, oldest)
	_ = oldest.Close() // makes room
	return true
}

// unused reports whether a head, or the first call of an opaque connection, is awaited,
// and since when.
func (c *Conn) unused() (since time.Time, unused bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.listener.settings.Opaque {
		return c.accepted, !c.used
	}
	return c.since, c.phase == phaseHead || c.phase == phaseWaiting && !c.used
}
