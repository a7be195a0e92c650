// Package inlet accepts callers' connections. It bounds what callers make a router hold,
// and closes a connection as idle only if no byte of a next request has been read from it.
package inlet

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// closePollInterval is the time between two looks for connections that have become idle
// while a listener shuts down.
const closePollInterval = 20 * time.Millisecond

// Listener accepts connections and keeps track of them.
type Listener struct {
	net.Listener
	settings Settings
	clock    func() time.Time
	evicted  atomic.Int64 // Unix time in nanoseconds of the last look for connections to close
	last     atomic.Int64 // Unix time in nanoseconds after which no request is taken, 0 for none

	lock  sync.Mutex
	conns map[*Conn]struct{}
}

// New returns a Listener that accepts from l.
func New(l net.Listener, s Settings, clock func() time.Time) *Listener {
	if s.Budget == nil {
		s.Budget = NewBudget(math.MaxInt64/4, 0, math.MaxInt32)
	}
	return &Listener{Listener: l, settings: s, clock: clock, conns: map[*Conn]struct{}{}}
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err // net/http looks at its type
		}
		now := l.clock()
		l.makeRoom(now, addressOf(accepted))
		account := l.settings.Budget.Open(addressOf(accepted))
		if account == nil && l.replaceUnused(now, addressOf(accepted)) {
			account = l.settings.Budget.Open(addressOf(accepted))
		}
		if account == nil {
			_ = accepted.Close() // nothing was read
			l.report(ConnRefused, accepted)
			continue
		}
		c := newConn(accepted, l, account, now)
		l.lock.Lock()
		l.conns[c] = struct{}{}
		l.lock.Unlock()
		return c, nil
	}
}

func (l *Listener) remove(c *Conn) {
	l.lock.Lock()
	defer l.lock.Unlock()
	delete(l.conns, c)
}

// Count returns the number of open connections.
func (l *Listener) Count() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return len(l.conns)
}

func (l *Listener) all() []*Conn {
	l.lock.Lock()
	defer l.lock.Unlock()
	out := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		out = append(out, c)
	}
	return out
}

// StateChanged records that a connection has become idle. It is meant for
// http.Server.ConnState.
func (l *Listener) StateChanged(c net.Conn, state http.ConnState) {
	if x, ok := c.(*Conn); ok && state == http.StateIdle {
		x.finish(l.clock())
	}
}

// CloseIdle closes connections that have been idle for at least the given time, and
// returns their number.
func (l *Listener) CloseIdle(now time.Time, age time.Duration) int {
	closed := 0
	for _, c := range l.all() {
		if c.closeIdle(now, age) {
			closed++
		}
	}
	return closed
}

// StopAt sets the time after which requests that begin are late: they are to be refused,
// since their time may not suffice.
func (l *Listener) StopAt(at time.Time) { l.last.Store(at.UnixNano()) }

func (l *Listener) isLate(now time.Time) bool {
	last := l.last.Load()
	return last != 0 && now.UnixNano() > last
}

// Shutdown accepts no further connections, and closes each as soon as it is idle. It
// returns an error if ctx ends before all are closed. Unlike http.Server.Shutdown, it
// closes none from which part of a request has been read.
func (l *Listener) Shutdown(ctx context.Context) error {
	_ = l.Listener.Close() // may be closed already
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for {
		l.CloseIdle(l.clock(), 0)
		n := l.Count()
		if n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d connections are in use: %w", n, ctx.Err())
		case <-ticker.C:
		}
	}
}
