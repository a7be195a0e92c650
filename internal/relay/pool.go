package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"github.com/marigoldscale/marigoldscale/internal/strict"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// dialTimeout bounds the time to connect to an endpoint. Connecting takes
	// longer if two SYN packets are lost.
	dialTimeout = 800 * time.Millisecond
	// unackedTimeout is how long sent data or probes may stay unacknowledged
	// before a connection counts as broken.
	unackedTimeout = 2500 * time.Millisecond
	// keepAliveInterval is the idle time before the first keep-alive probe and
	// the pause between probes.
	keepAliveInterval = time.Second
	// maxKeepAliveProbes is the number of unanswered probes after which a
	// connection is closed.
	maxKeepAliveProbes = 3
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint
	// does not announce a timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFactor is the fraction of the endpoint's own idle timeout for
	// which a connection is reused, so that the endpoint does not close it while
	// a request is being sent.
	idleTimeoutFactor = 0.6
	// maxIdleNoRepeat is the longest idle time of a connection that carries a
	// request that must not run twice, since endpoints may drop idle connections
	// without notice.
	maxIdleNoRepeat = 300 * time.Millisecond
	// maxIdleConns is the number of idle connections kept per endpoint.
	maxIdleConns = 8
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4096
)

// errUnexpectedData is returned if an endpoint sends data that does not belong to
// the current request.
var errUnexpectedData = errors.New("received data that belongs to no request")

// ConnPool pools connections to endpoints. It never sends a request twice.
type ConnPool struct {
	lock           sync.Mutex
	idle           map[poolKey][]*poolConn
	dialer         net.Dialer
	dials          metrics.Counter
	reuses         metrics.Counter
	strayResponses metrics.Counter
	clock          func() time.Time
}

// poolKey identifies one incarnation of an endpoint at an address.
type poolKey struct {
	id            ident.EndpointID
	address       string
	startedMillis int64
}

func poolKeyOf(e *world.Endpoint) poolKey {
	return poolKey{id: e.ID, address: e.Address, startedMillis: e.StartedMillis}
}

// poolConn is one connection. It always waits for the first byte of the next
// response, so that a connection that is closed or receives data while idle is
// noticed.
type poolConn struct {
	key           poolKey
	conn          net.Conn
	bounded       *boundedConn // conn, as reader reads it
	reader        *bufio.Reader
	firstByte     chan error // result of waiting for a first byte
	fresh         bool       // has carried no request yet
	inUse         bool       // guarded by ConnPool.lock
	idleSince     time.Time
	reusableUntil time.Time
}

// NewConnPool returns an empty pool that registers its counters in registry.
func NewConnPool(registry metrics.Registry, clock func() time.Time) *ConnPool {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, registry) }
	return &ConnPool{
		idle: map[poolKey][]*poolConn{},
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: maxKeepAliveProbes},
			Control:         setUserTimeout,
		},
		dials:          counter("links.dials"),
		reuses:         counter("links.reuses"),
		strayResponses: counter("links.strays"),
		clock:          clock,
	}
}

// setUserTimeout makes the kernel close a connection whose peer does not
// acknowledge data within unackedTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("accessing the socket: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("setting TCP_USER_TIMEOUT: %w", failed)
	}
	return nil
}

// get returns an idle connection to an endpoint that may be reused, or a new
// one. With noRepeat, it only reuses a connection that was idle for at most
// maxIdleNoRepeat.
func (p *ConnPool) get(ctx context.Context, e *world.Endpoint, noRepeat bool) (*poolConn, error) {
	if pc := p.takeIdle(poolKeyOf(e), noRepeat); pc != nil {
		p.reuses.Inc(1)
		return pc, nil
	}
	return p.dial(ctx, e)
}

// dial returns a new connection to an endpoint.
func (p *ConnPool) dial(ctx context.Context, e *world.Endpoint) (*poolConn, error) {
	p.dials.Inc(1)
	raw, err := p.dialer.DialContext(ctx, "tcp4", e.Address)
	if err != nil {
		return nil, fmt.Errorf("connecting to endpoint %q at %s: %w", e.ID, e.Address, err)
	}
	conn := strict.NewConn(raw)
	bounded := &boundedConn{Conn: conn, left: -1}
	pc := &poolConn{key: poolKeyOf(e), conn: conn, fresh: true, bounded: bounded, reader: bufio.NewReaderSize(bounded, readBufferBytes), firstByte: make(chan error, 1), inUse: true}
	go p.awaitFirstByte(pc)
	return pc, nil
}

// probe reports whether a new connection to an endpoint comes about and stays open for
// probeSettle. It keeps the connection for a request.
func (p *ConnPool) probe(ctx context.Context, e *world.Endpoint) bool {
	pc, err := p.dial(ctx, e)
	if err != nil {
		return false
	}
	select {
	case <-pc.firstByte:
		_ = pc.conn.Close() // closed by the peer, or received unexpected data
		return false
	case <-time.After(probeSettle):
	}
	p.putWaiting(pc, maxIdleNoRepeat)
	return true
}

// takeIdle removes and returns the idle connection that was used last, or nil if
// none may be reused.
func (p *ConnPool) takeIdle(key poolKey, noRepeat bool) *poolConn {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := p.clock()
	list := p.idle[key]
	for len(list) > 0 {
		pc := list[len(list)-1]
		if noRepeat && now.Sub(pc.idleSince) > maxIdleNoRepeat {
			return nil
		}
		list = list[:len(list)-1]
		p.idle[key] = list
		if now.After(pc.reusableUntil) {
			_ = pc.conn.Close() // idle, so no request is lost
			continue
		}
		pc.inUse = true
		return pc
	}
	delete(p.idle, key)
	return nil
}

// awaitFirstByte waits for the first byte of the next response. It closes the
// connection if anything arrives while it is idle.
func (p *ConnPool) awaitFirstByte(pc *poolConn) {
	_, err := pc.reader.Peek(1)
	p.lock.Lock()
	idle := !pc.inUse
	if idle {
		p.removeIdle(pc)
	}
	p.lock.Unlock()
	if idle {
		if err == nil {
			p.strayResponses.Inc(1)
		}
		_ = pc.conn.Close() // closed by the peer, or received unexpected data
	}
	pc.firstByte <- err
}

// removeIdle removes a connection from the idle list.
func (p *ConnPool) removeIdle(pc *poolConn) {
	list := p.idle[pc.key]
	for i := range list {
		if list[i] == pc {
			p.idle[pc.key] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// put returns a connection to the pool, for reuse within maxIdle. The last
// response must have been read to its end.
func (p *ConnPool) put(pc *poolConn, maxIdle time.Duration) {
	if maxIdle <= 0 || pc.reader.Buffered() > 0 {
		if pc.reader.Buffered() > 0 {
			p.strayResponses.Inc(1)
		}
		_ = pc.conn.Close() // cannot be reused
		return
	}
	_ = pc.conn.SetDeadline(time.Time{}) // fails only on a closed connection, which awaitFirstByte notices
	if p.putWaiting(pc, maxIdle) {
		go p.awaitFirstByte(pc)
	}
}

// putWaiting adds a connection to the idle ones. It closes it and returns false if the
// pool is full.
func (p *ConnPool) putWaiting(pc *poolConn, maxIdle time.Duration) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := p.clock()
	if len(p.idle[pc.key]) >= maxIdleConns {
		_ = pc.conn.Close() // the pool is full
		return false
	}
	pc.inUse, pc.idleSince, pc.reusableUntil = false, now, now.Add(maxIdle)
	p.idle[pc.key] = append(p.idle[pc.key], pc)
	return true
}

// Sweep closes idle connections that may no longer be reused, and those to
// endpoints for which live returns false.
func (p *ConnPool) Sweep(now time.Time, live func(ident.EndpointID) bool) {
	p.lock.Lock()
	var expired []*poolConn
	for key, list := range p.idle {
		kept := list[:0]
		for _, pc := range list {
			if now.After(pc.reusableUntil) || !live(key.id) {
				expired = append(expired, pc)
				continue
			}
			kept = append(kept, pc)
		}
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
	p.lock.Unlock()
	for _, pc := range expired {
		_ = pc.conn.Close() // idle, so no request is lost
	}
}

// reuseTime returns how long the connection of a response may be reused, from
// its Connection and Keep-Alive headers. It returns 0 if it may not.
func reuseTime(r *http.Response) time.Duration {
	if r.Close {
		return 0
	}
	for _, field := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if name != "timeout" {
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil || n <= 0 {
			return 0 // less than a second, or invalid
		}
		return time.Duration(float64(n) * idleTimeoutFactor * float64(time.Second))
	}
	return defaultIdleTimeout
}

// readHead reads the head of the next final response on the connection.
func (pc *poolConn) readHead(method string) (*http.Response, error) {
	for {
		r, err := http.ReadResponse(pc.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("reading the response head: %w", err)
		}
		if err := strict.CheckHead(r); err != nil {
			return nil, fmt.Errorf("checking the response head: %w", err)
		}
		if r.StatusCode >= 200 {
			return r, nil
		}
		if r.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("endpoint switched protocols: %w", errUnexpectedData)
		}
	}
}

// skipResponse discards the body of a response to another request. It fails if
// the body is limit bytes or longer.
func (pc *poolConn) skipResponse(r *http.Response, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, limit))
	if err != nil {
		return fmt.Errorf("skipping the response to another request: %w", err)
	}
	if n == limit || r.Close {
		return fmt.Errorf("response to another request is too long or ends the connection: %w", errUnexpectedData)
	}
	return nil
}
