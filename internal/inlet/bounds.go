package inlet

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// headLineCost is the memory of a line of a head in bytes, beside its text: its
	// entries in the maps of net/http and of the copy sent to an endpoint.
	headLineCost = 400
	// headTextFactor is how often a head's text is held: read, copied and sent on.
	headTextFactor = 3
	// headFree is the memory of an ordinary head, which connCost includes.
	headFree = 8 << 10
	// smallHead is the memory up to which a head counts as that of an ordinary request.
	smallHead = 64 << 10
	// ordinaryLines is the number of lines up to which a head takes no processor time worth
	// counting.
	ordinaryLines = 128
	// headSlack is what a head may have beyond the configured limit when it is read, since
	// the limit applies to its fields without padding. net/http allows as much.
	headSlack = 4 << 10
	// headTimeFactor times the configured time for a head is the bound on it, since the
	// caller's clock begins before the first byte arrives.
	headTimeFactor = 1.25
	// writeTimeout bounds the time in which a caller takes no further writePiece of its
	// response: 1.6 KB/s, beyond what the kernel buffers.
	writeTimeout = 10 * time.Second
	// writePiece is the part of a response in bytes that is written at a time.
	writePiece = 16 << 10
	// fullDivisor is the part of the connections, one in so many, from which on those that
	// keep the router waiting are closed.
	fullDivisor = 8
	// pressureWait is how long a caller may keep the router waiting then, and
	// pressureHeadWait how long for the head of a request, which ordinary callers send at
	// once.
	pressureWait     = 2 * time.Second
	pressureHeadWait = 250 * time.Millisecond
	// evictInterval is the time between two looks for such connections.
	evictInterval = 50 * time.Millisecond
	// evictMax is the number of connections that are closed at a time.
	evictMax = 256
	// probeWait is how long a probe may keep the router waiting for its head or body if
	// there are as many connections as allowed.
	probeWait = 50 * time.Millisecond
	// probeRoomInterval and probeRoomLooks bound the wait for a connection that may be
	// closed then: 50 ms, and as many turns for what has been accepted.
	probeRoomInterval = 5 * time.Millisecond
	probeRoomLooks    = 10
	// maxPipelined is the number of requests in a row that may come with the one before.
	// Ordinary callers wait for each response.
	maxPipelined = 16
	// refusalWait bounds the time to write a refusal of a head.
	refusalWait = 50 * time.Millisecond
)

// Limits bound a request's head.
type Limits struct {
	HeadBytes   int           // 0 for no bound
	HeadTimeout time.Duration // from its first byte to its last, 0 for no bound
}

// Event is a limit that a caller has hit.
type Event string

// The events of connections.
const (
	ConnRefused  Event = "connection refused"
	ConnEvicted  Event = "connection closed"
	HeadRefused  Event = "head refused"
	HeadTooLong  Event = "head too long"
	WriteStalled Event = "write stalled"
)

// Settings configure a Listener.
type Settings struct {
	Budget *Budget // nil for no bound
	// Limits returns the limits in force, nil for none.
	Limits func() Limits
	// Report is told of each limit that a caller has hit. It may be nil.
	Report func(e Event, caller net.Addr)
	// MaxConns is the number of connections from which on another one is closed for a new
	// one, 0 for none. It is meant for probes, which must always get through.
	MaxConns int
	// Opaque is set if the protocol is not HTTP/1. Then only connections, writes that stall
	// and messages that do not come whole are bounded.
	Opaque bool
}

func (l *Listener) limits() Limits {
	if l.settings.Limits == nil {
		return Limits{}
	}
	return l.settings.Limits()
}

func (l *Listener) report(e Event, c net.Conn) {
	if l.settings.Report != nil {
		l.settings.Report(e, c.RemoteAddr())
	}
}

func addressOf(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// headRefusal is why a head is not read further.
type headRefusal struct {
	event    Event
	response string
}

// Error implements error.
func (h *headRefusal) Error() string { return string(h.event) }

var (
	refusedHead  = &headRefusal{event: HeadRefused, response: "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"}
	refusedFrame = &headRefusal{event: FrameRefused}
	tooLongHead  = &headRefusal{event: HeadTooLong, response: "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"}
)

// chargeHead takes the memory that the head read so far will use once it is parsed. The
// lock is held.
func (c *Conn) chargeHead() *headRefusal {
	if c.limits.HeadBytes > 0 && c.head.size > c.limits.HeadBytes+headSlack {
		return tooLongHead
	}
	cost := int64(headTextFactor*c.head.size + headLineCost*c.head.lines - headFree)
	more := cost - c.headHeld
	if more <= 0 {
		return nil
	}
	class := Large
	if cost <= smallHead {
		class = Small
	}
	if lines := c.head.lines - max(c.linesTaken, ordinaryLines); lines > 0 {
		if !c.account.budget.takeLines(c.listener.clock(), lines) {
			return refusedHead
		}
		c.linesTaken = c.head.lines
	}
	if !c.account.Take(more, class) {
		return refusedHead
	}
	c.headHeld = cost
	return nil
}

// giveHead gives the memory of a head back. The lock is held.
func (c *Conn) giveHead() {
	c.account.Give(c.headHeld)
	c.headHeld = 0
}

// release gives all memory of the connection back but that of bodies.
func (c *Conn) release() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.closed = true
	c.giveHead()
	c.account.closeConn()
}

// refuse answers a head that is not read further, which has not run, and returns the error
// that ends the connection.
func (c *Conn) refuse(r *headRefusal) error {
	c.listener.report(r.event, c)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWait)) // fails only if the connection is closed
	_, _ = c.Conn.Write([]byte(r.response))                  // likewise
	return c.readError(r)
}

// Account returns what the connection holds of the budget.
func (c *Conn) Account() *Account { return c.account }

// Receive records that the body of a request begins or ceases to be read.
func (c *Conn) Receive(now time.Time, begins bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.receives, c.receiveSince = begins, now
}

// Write implements io.Writer. It fails if the caller takes nothing for writeTimeout.
func (c *Conn) Write(b []byte) (int, error) {
	now := c.listener.clock()
	c.writing.Store(now.UnixNano())
	defer c.writing.Store(0)
	written := 0
	for {
		if now.Add(writeTimeout * 3 / 4).After(c.writeBy) { // saves most changes of the timer
			c.writeBy = now.Add(writeTimeout)
			_ = c.Conn.SetWriteDeadline(c.writeBy) // fails only if the connection is closed
		}
		n, err := c.Conn.Write(b[written:min(len(b), written+writePiece)])
		written += n
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			c.listener.report(WriteStalled, c)
		}
		if err != nil || written == len(b) {
			return written, err // net/http looks at its type
		}
		now = c.listener.clock()
	}
}

// SetWriteDeadline does nothing, since Write sets the deadline.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn. While a head is awaited or read, the deadline is
// not later than the configured limit allows.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.lock.Lock()
	if l := c.limits.HeadTimeout; l > 0 && c.phase == phaseHead {
		if by := c.since.Add(time.Duration(float64(l) * headTimeFactor)); t.IsZero() || t.After(by) {
			t = by
		}
	}
	c.lock.Unlock()
	if err := c.Conn.SetReadDeadline(t); err != nil {
		return fmt.Errorf("setting a read deadline: %w", err)
	}
	return nil
}

// hasUnread reports whether bytes have arrived that have not been read, so that the caller
// waits for the router and not the router for the caller.
func (c *Conn) hasUnread() bool {
	if c.raw == nil {
		return false
	}
	unread := false
	var b [1]byte
	err := c.raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}

// waited returns since when the router has waited for the caller, and whether that is
// longer than it may be under pressure.
func (c *Conn) waited(now time.Time) (since time.Time, long bool) {
	if at := c.writing.Load(); at != 0 {
		since = time.Unix(0, at)
		return since, now.Sub(since) >= pressureWait
	}
	if c.listener.settings.Opaque {
		return time.Time{}, false
	}
	if since, waits := c.awaitedHead(); waits {
		return since, now.Sub(since) >= pressureHeadWait && !c.hasUnread()
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.receives {
		return c.receiveSince, now.Sub(c.receiveSince) >= pressureWait
	}
	return time.Time{}, false
}

// awaitedHead returns since when the head of a request has been awaited, of the first one
// or of one that has begun.
func (c *Conn) awaitedHead() (since time.Time, waits bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.since, !c.receives && (c.phase == phaseHead || c.phase == phaseWaiting && !c.used)
}

// The order in which connections are closed for probes.
const (
	rankSpent   = iota // its last response has been given
	rankIdle           // between two requests
	rankAwaited        // its head or body does not come, or its response is not taken
	rankInUse          // not to be closed
)

func (c *Conn) probeRank(now time.Time) int {
	c.lock.Lock()
	spent, idle := c.spent, c.phase == phaseWaiting && c.used
	bodyAwaited := c.receives && now.Sub(c.receiveSince) >= probeWait
	c.lock.Unlock()
	since, waits := c.awaitedHead()
	wrote := c.writing.Load()
	switch {
	case spent:
		return rankSpent
	case wrote != 0 && now.Sub(time.Unix(0, wrote)) >= probeWait:
		return rankAwaited
	case idle && !c.hasUnread():
		return rankIdle
	case (bodyAwaited || waits && now.Sub(since) >= probeWait) && !c.hasUnread():
		return rankAwaited
	}
	return rankInUse
}

// makeProbeRoom closes connections until there are fewer than allowed, for load in which
// callers open connections faster than the router answers probes. One whose request has
// come is closed only if the router did not get to it in several turns.
func (l *Listener) makeProbeRoom() {
	for looks := 0; l.Count() >= l.settings.MaxConns; looks++ {
		now := l.clock()
		last, rank := (*Conn)(nil), rankInUse
		for _, c := range l.all() {
			r := c.probeRank(now)
			if r < rank || r == rank && last != nil && c.accepted.Before(last.accepted) {
				last, rank = c, r
			}
		}
		if last == nil && looks < probeRoomLooks {
			time.Sleep(probeRoomInterval)
			continue
		}
		if last == nil {
			last = l.oldest()
		}
		if last != nil {
			l.report(ConnEvicted, last)
			_ = last.Close() // makes room for a probe
		}
	}
}

// makeRoom closes connections whose callers keep the router waiting, longest first, if
// there is little room for a new one of the given address.
func (l *Listener) makeRoom(now time.Time, address netip.Addr) {
	if l.settings.MaxConns > 0 {
		l.makeProbeRoom()
	}
	full := l.settings.Budget.nearlyFull()
	if !full && !l.settings.Budget.nearlyFullFor(address) || now.UnixNano()-l.evicted.Load() < int64(evictInterval) {
		return
	}
	l.evicted.Store(now.UnixNano())
	all := l.all()
	if !full {
		all = slices.DeleteFunc(all, func(c *Conn) bool { return addressOf(c) != address })
	}
	type waiting struct {
		conn  *Conn
		since time.Time
	}
	var found []waiting
	for _, c := range all {
		if since, long := c.waited(now); long {
			found = append(found, waiting{conn: c, since: since})
		}
	}
	slices.SortFunc(found, func(a, b waiting) int { return a.since.Compare(b.since) })
	for _, x := range found[:min(len(found), evictMax)] {
		l.report(ConnEvicted, x.conn)
		_ = x.conn.Close() // the caller has kept it waiting
	}
	if len(found) > 0 {
		return
	}
	closed := 0
	for _, c := range all {
		if closed < evictMax && c.closeIdle(now, pressureWait) {
			l.report(ConnEvicted, c)
			closed++
		}
	}
}

// oldest returns the connection that was accepted first, nil if there is none.
func (l *Listener) oldest() *Conn {
	var oldest *Conn
	for _, c := range l.all() {
		if oldest == nil || c.accepted.Before(oldest.accepted) {
			oldest = c
		}
	}
	return oldest
}

// nearlyFullFor reports whether there is little room for connections of an address, which
// may be that of a load balancer with all callers behind it.
func (b *Budget) nearlyFullFor(address netip.Addr) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	left := b.limit - b.limit/connsDivisor - b.connBytes
	if b.maxConns > 0 {
		left = min(left, int64(b.maxConns-b.conns)*connCost)
	}
	share := addressShare * left
	return int64(b.addresses[address].conns)*connCost > share-share/fullDivisor
}

// nearlyFull reports whether there is little room for connections.
func (b *Budget) nearlyFull() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	room := b.limit - b.limit/connsDivisor
	return b.maxConns > 0 && b.conns > b.maxConns-b.maxConns/fullDivisor ||
		b.connBytes > room-room/fullDivisor || b.used > b.limit-b.limit/fullDivisor
}
