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

	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// dialTimeout is how long a connection to an endpoint may take; two lost
	// opening packets would take longer.
	dialTimeout = 800 * time.Millisecond
	// silenceTimeout is how long sent bytes or probes may stay unconfirmed
	// before a connection counts as broken.
	unackedTimeout = 2500 * time.Millisecond
	// probeInterval is the pause between keep-alive probes, and before the first.
	keepAliveInterval = time.Second
	// probeCount is the number of unanswered probes that break a connection.
	maxKeepAliveProbes = 3
	// idleDefault is how long an unused connection is kept if the endpoint
	// names no time.
	defaultIdleTimeout = 4 * time.Second
	// idleShare is the part of an endpoint's own idle timeout for which a
	// connection is used again, so that it does not close under a request.
	idleTimeoutFactor = 0.6
	// idleOnce is how long a connection may have been unused to carry a request
	// that must not run twice: endpoints may drop unused ones without a word.
	maxIdleNoRepeat = 300 * time.Millisecond
	// idleLinks is how many unused connections to one endpoint are kept.
	maxIdleConns = 8
	// bufferSize is that of a connection's reader, in bytes.
	readBufferBytes = 4096
)

// errForeignBytes means that an endpoint sent bytes that nobody asked for.
var errUnexpectedData = errors.New("bytes came that no request waits for")

// Links keeps the connections to endpoints. It never sends anything twice.
type ConnPool struct {
	lock           sync.Mutex
	idle           map[poolKey][]*poolConn
	dialer         net.Dialer
	dials          metrics.Counter
	reuses         metrics.Counter
	strayResponses metrics.Counter
	clock          func() time.Time
}

// lifeKey names one life of an endpoint at an address.
type poolKey struct {
	id      ident.EndpointID
	address string
	born    int64
}

func poolKeyOf(e *world.Endpoint) poolKey { return poolKey{id: e.ID, address: e.Address, born: e.Born} }

// link is one connection. Its reader waits for a first byte at all times, so
// that a connection that closes or speaks unasked while unused is noticed.
type poolConn struct {
	key           poolKey
	conn          net.Conn
	reader        *bufio.Reader
	firstByte     chan error // the outcome of waiting for a first byte
	inUse         bool       // guarded by Links.lock
	idleSince     time.Time  // unused since
	reusableUntil time.Time  // may be used again until
}

// NewLinks gives an empty set of connections that counts in registry.
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

// boundSilence breaks a connection whose peer no longer confirms anything.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("reaching the socket: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("bounding the socket's silence: %w", failed)
	}
	return nil
}

// get gives a connection to an endpoint: an unused one that is fresh enough, or
// a new one.
func (p *ConnPool) get(ctx context.Context, e *world.Endpoint, once bool) (*poolConn, error) {
	if pc := p.takeIdle(poolKeyOf(e), once); pc != nil {
		p.reuses.Inc(1)
		return pc, nil
	}
	p.dials.Inc(1)
	conn, err := p.dialer.DialContext(ctx, "tcp4", e.Address)
	if err != nil {
		return nil, fmt.Errorf("connecting to endpoint %q at %s: %w", e.ID, e.Address, err)
	}
	pc := &poolConn{key: poolKeyOf(e), conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), firstByte: make(chan error, 1), inUse: true}
	go p.awaitFirstByte(pc)
	return pc, nil
}

// take finds an unused connection, the latest used first.
func (p *ConnPool) takeIdle(key poolKey, once bool) *poolConn {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := p.clock()
	list := p.idle[key]
	for len(list) > 0 {
		pc := list[len(list)-1]
		if once && now.Sub(pc.idleSince) > maxIdleNoRepeat {
			return nil
		}
		list = list[:len(list)-1]
		p.idle[key] = list
		if now.After(pc.reusableUntil) {
			_ = pc.conn.Close() // unused and too old; nothing is lost
			continue
		}
		pc.inUse = true
		return pc
	}
	delete(p.idle, key)
	return nil
}

// await waits for the first byte of the next answer.
func (p *ConnPool) awaitFirstByte(pc *poolConn) {
	_, err := pc.reader.Peek(1)
	p.lock.Lock()
	unused := !pc.inUse
	if unused {
		p.removeIdle(pc)
	}
	p.lock.Unlock()
	if unused {
		if err == nil {
			p.strayResponses.Inc(1)
		}
		_ = pc.conn.Close() // closed by its peer, or spoke unasked
	}
	pc.firstByte <- err
}

// forget takes an unused connection off the list.
func (p *ConnPool) removeIdle(pc *poolConn) {
	list := p.idle[pc.key]
	for i := range list {
		if list[i] == pc {
			p.idle[pc.key] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// put keeps a connection whose answer was read to its end.
func (p *ConnPool) put(pc *poolConn, keep time.Duration) {
	if keep <= 0 || pc.reader.Buffered() > 0 {
		if pc.reader.Buffered() > 0 {
			p.strayResponses.Inc(1)
		}
		_ = pc.conn.Close() // not to be used again
		return
	}
	_ = pc.conn.SetDeadline(time.Time{}) // fails only on a closed connection, which await notices
	p.lock.Lock()
	now := p.clock()
	if len(p.idle[pc.key]) >= maxIdleConns {
		p.lock.Unlock()
		_ = pc.conn.Close() // enough are kept
		return
	}
	pc.inUse, pc.idleSince, pc.reusableUntil = false, now, now.Add(keep)
	p.idle[pc.key] = append(p.idle[pc.key], pc)
	p.lock.Unlock()
	go p.awaitFirstByte(pc)
}

// Sweep closes connections that were unused for too long, and those to
// endpoints for which live is false.
func (p *ConnPool) Sweep(now time.Time, live func(ident.EndpointID) bool) {
	p.lock.Lock()
	var old []*poolConn
	for key, list := range p.idle {
		kept := list[:0]
		for _, pc := range list {
			if now.After(pc.reusableUntil) || !live(key.id) {
				old = append(old, pc)
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
	for _, pc := range old {
		_ = pc.conn.Close() // unused
	}
}

// keepTime reads from an answer how long its connection may be used again.
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
			return 0 // less than a second, or not to be read
		}
		return time.Duration(float64(n) * idleTimeoutFactor * float64(time.Second))
	}
	return defaultIdleTimeout
}

// readHead reads the head of the next answer on the connection.
func (pc *poolConn) readHead(method string) (*http.Response, error) {
	for {
		r, err := http.ReadResponse(pc.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("reading the answer's head: %w", err)
		}
		if r.StatusCode >= 200 {
			return r, nil
		}
		if r.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("endpoint switches protocols: %w", errUnexpectedData)
		}
	}
}

// skip reads an answer that belongs to another request.
func (pc *poolConn) skipResponse(r *http.Response, most int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, most))
	if err != nil {
		return fmt.Errorf("skipping another request's answer: %w", err)
	}
	if n == most || r.Close {
		return fmt.Errorf("another request's answer is too long: %w", errUnexpectedData)
	}
	return nil
}
