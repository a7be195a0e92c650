package inlet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// phase is how far a connection is with a request.
type phase int

const (
	phaseWaiting phase = iota // no byte of a next request has been read
	phaseHead                 // part of a head has been read
	phaseServed               // a head has been read whole
)

// unknownLength is the length of a body that is sent in chunks.
const unknownLength = -1

// Conn is a connection of a caller. Its reads and its closing as idle exclude each
// other, so that no request is lost between them.
type Conn struct {
	net.Conn
	raw      syscall.RawConn // nil if the connection has no descriptor
	listener *Listener
	accepted time.Time

	readLock sync.Mutex // held while a read waits
	readOnce func(fd uintptr) bool
	buffer   []byte // of the read in progress
	count    int    // result of the read in progress
	failure  error  // likewise

	account *Account
	writing atomic.Int64 // Unix time in nanoseconds at which a write began to wait, 0 for none
	writeBy time.Time    // write deadline in force; only the writer uses it
	removed atomic.Bool

	lock         sync.Mutex
	reading      bool // a read waits, so that net/http has used all that it has read
	closed       bool
	phase        phase
	since        time.Time // when the phase began
	used         bool      // a request has been served
	spent        bool      // the connection is closed after the response that is served
	receives     bool      // a body is read since the time receiveSince
	receiveSince time.Time
	limits       Limits    // of the head that is read
	linesTaken   int       // lines of the head for which processor time was taken
	meteredAt    time.Time // when memory of messages was last taken, if the protocol is opaque
	timed        bool      // the time for a message is bounded
	pipelined    int       // requests in a row that came with the one before
	unsure       bool      // it is not known where the request that is served ends
	headHeld     int64     // bytes of the account for the head
	late         bool      // the request began after the listener had stopped to take requests
	head         headScanner
	rest         int64   // bytes read after the head
	length       int64   // of the body
	tail         [4]byte // last bytes read after the head
}

func newConn(c net.Conn, l *Listener, a *Account, now time.Time) *Conn {
	out := &Conn{Conn: c, listener: l, account: a, accepted: now, since: now}
	if s, ok := c.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			out.raw = raw
		}
	}
	out.readOnce = out.readDescriptor
	return out
}

// Read implements io.Reader.
func (c *Conn) Read(b []byte) (int, error) {
	c.readLock.Lock()
	defer c.readLock.Unlock()
	if len(b) == 0 {
		return 0, nil
	}
	c.setReading(true)
	defer c.setReading(false)
	if c.raw == nil {
		n, err := c.Conn.Read(b)
		if refusal := c.consumeLocked(b[:n]); refusal != nil {
			return 0, c.refuse(refusal)
		}
		return n, err // io.EOF must stay as it is
	}
	c.buffer = b
	err := c.raw.Read(c.readOnce)
	c.buffer = nil
	if err != nil {
		return 0, c.readError(err)
	}
	var refusal *headRefusal
	if errors.As(c.failure, &refusal) {
		return 0, c.refuse(refusal)
	}
	return c.count, c.failure
}

func (c *Conn) consumeLocked(b []byte) *headRefusal {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.consume(b)
}

func (c *Conn) setReading(b bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.reading = b
}

// readDescriptor reads what has arrived, and reports false if nothing has.
func (c *Conn) readDescriptor(fd uintptr) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.count, c.failure = 0, nil
	if c.closed {
		c.failure = c.readError(net.ErrClosed)
		return true
	}
	n, err := unix.Read(int(fd), c.buffer)
	for err == unix.EINTR {
		n, err = unix.Read(int(fd), c.buffer)
	}
	switch {
	case err == unix.EAGAIN:
		return false
	case err != nil:
		c.failure = c.readError(os.NewSyscallError("read", err))
	case n == 0:
		c.failure = io.EOF
	default:
		c.count = n
		if refusal := c.consume(c.buffer[:n]); refusal != nil {
			c.count, c.failure = 0, refusal
		}
	}
	return true
}

// readError returns an error that net/http takes for one of the connection, after which
// it sends no response.
func (c *Conn) readError(err error) error {
	var known *net.OpError
	if errors.As(err, &known) {
		err = known.Err
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// consume records bytes that were read. The lock is held.
func (c *Conn) consume(b []byte) *headRefusal {
	if len(b) == 0 {
		return nil
	}
	if c.listener.settings.Opaque {
		return c.meter(len(b))
	}
	if c.phase == phaseWaiting {
		now := c.listener.clock()
		c.phase, c.since, c.late = phaseHead, now, c.listener.isLate(now)
		c.limits = c.listener.limits()
	}
	if c.phase == phaseHead {
		n, whole := c.head.scan(b)
		if refusal := c.chargeHead(); refusal != nil || !whole {
			return refusal
		}
		c.phase, b = phaseServed, b[n:]
	}
	c.rest += int64(len(b))
	for _, x := range b[max(0, len(b)-len(c.tail)):] {
		c.tail = [4]byte{c.tail[1], c.tail[2], c.tail[3], x}
	}
	return nil
}

// Begin records the length of the body of the request that is served, negative if it is
// not known. It reports whether the request began after the listener had stopped to take
// requests.
func (c *Conn) Begin(length int64) (late bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.length = max(length, unknownLength)
	if c.phase == phaseHead { // the head was read together with the request before
		c.phase, c.unsure = phaseServed, true
	}
	return c.late
}

// finish records that a response has ended and the connection stays open.
func (c *Conn) finish(now time.Time) {
	c.lock.Lock()
	defer c.lock.Unlock()
	next := c.rest > c.length
	if c.unsure || c.length != unknownLength && c.rest > c.length+1 { // net/http reads one byte ahead by itself
		c.pipelined++
	} else {
		c.pipelined = 0
	}
	if c.length == unknownLength {
		next = string(c.tail[:]) != "\r\n\r\n"
	}
	next = next || c.unsure
	c.unsure = false
	c.phase, c.since, c.late, c.used, c.receives = phaseWaiting, now, false, true, false
	c.giveHead()
	if next { // read together with the end of the request before
		c.phase, c.late, c.limits = phaseHead, c.listener.isLate(now), c.listener.limits()
	}
	c.linesTaken = 0
	c.head, c.rest, c.length, c.tail = headScanner{}, 0, 0, [4]byte{}
}

// closeIdle closes the connection if no byte of a next request has been read and it has
// been so for the given time.
func (c *Conn) closeIdle(now time.Time, age time.Duration) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.closed || c.listener.settings.Opaque || c.phase != phaseWaiting || !c.reading || now.Sub(c.since) < age {
		return false
	}
	c.closed = true
	_ = c.Conn.Close() // nothing is lost
	return true
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.removed.CompareAndSwap(false, true) {
		c.listener.remove(c)
		c.release()
	}
	if err := c.Conn.Close(); err != nil {
		return fmt.Errorf("closing a connection: %w", err)
	}
	return nil
}

// HeadSize returns the bytes of the head of the request that is served as they were read,
// and whether they are known.
func (c *Conn) HeadSize() (bytes int, known bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.head.size, !c.unsure
}

// MustClose reports whether the connection is to be closed after the response, since its
// caller sends requests without waiting for responses.
func (c *Conn) MustClose() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.pipelined >= maxPipelined
}

type connKey struct{}

// ConnContext adds a connection to the context of its requests. It is meant for
// http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if x, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, x)
	}
	return ctx
}

// FromRequest returns the connection of a request, nil if a Listener has not accepted it.
func FromRequest(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}
