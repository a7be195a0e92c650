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
	silenceTimeout = 2500 * time.Millisecond
	// probeInterval is the pause between keep-alive probes, and before the first.
	probeInterval = time.Second
	// probeCount is the number of unanswered probes that break a connection.
	probeCount = 3
	// idleDefault is how long an unused connection is kept if the endpoint
	// names no time.
	idleDefault = 4 * time.Second
	// idleShare is the part of an endpoint's own idle timeout for which a
	// connection is used again, so that it does not close under a request.
	idleShare = 0.6
	// idleOnce is how long a connection may have been unused to carry a request
	// that must not run twice: endpoints may drop unused ones without a word.
	idleOnce = 300 * time.Millisecond
	// idleLinks is how many unused connections to one endpoint are kept.
	idleLinks = 8
	// bufferSize is that of a connection's reader, in bytes.
	bufferSize = 4096
)

// errForeignBytes means that an endpoint sent bytes that nobody asked for.
var errForeignBytes = errors.New("bytes came that no request waits for")

// Links keeps the connections to endpoints. It never sends anything twice.
type Links struct {
	lock   sync.Mutex
	idle   map[lifeKey][]*link
	dialer net.Dialer
	dials  metrics.Counter
	reuses metrics.Counter
	strays metrics.Counter
	clock  func() time.Time
}

// lifeKey names one life of an endpoint at an address.
type lifeKey struct {
	id      ident.EndpointID
	address string
	born    int64
}

func keyOf(e *world.Endpoint) lifeKey {
	return lifeKey{id: e.ID, address: e.Address, born: e.StartedMillis}
}

// link is one connection. Its reader waits for a first byte at all times, so
// that a connection that closes or speaks unasked while unused is noticed.
type link struct {
	key    lifeKey
	conn   net.Conn
	reader *bufio.Reader
	first  chan error // the outcome of waiting for a first byte
	busy   bool       // guarded by Links.lock
	since  time.Time  // unused since
	until  time.Time  // may be used again until
}

// NewLinks gives an empty set of connections that counts in registry.
func NewLinks(registry metrics.Registry, clock func() time.Time) *Links {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, registry) }
	return &Links{
		idle: map[lifeKey][]*link{},
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
			Control:         boundSilence,
		},
		dials:  counter("links.dials"),
		reuses: counter("links.reuses"),
		strays: counter("links.strays"),
		clock:  clock,
	}
}

// boundSilence breaks a connection whose peer no longer confirms anything.
func boundSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
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
func (l *Links) get(ctx context.Context, e *world.Endpoint, once bool) (*link, error) {
	if k := l.take(keyOf(e), once); k != nil {
		l.reuses.Inc(1)
		return k, nil
	}
	l.dials.Inc(1)
	conn, err := l.dialer.DialContext(ctx, "tcp4", e.Address)
	if err != nil {
		return nil, fmt.Errorf("connecting to endpoint %q at %s: %w", e.ID, e.Address, err)
	}
	k := &link{key: keyOf(e), conn: conn, reader: bufio.NewReaderSize(conn, bufferSize), first: make(chan error, 1), busy: true}
	go l.await(k)
	return k, nil
}

// take finds an unused connection, the latest used first.
func (l *Links) take(key lifeKey, once bool) *link {
	l.lock.Lock()
	defer l.lock.Unlock()
	now := l.clock()
	list := l.idle[key]
	for len(list) > 0 {
		k := list[len(list)-1]
		if once && now.Sub(k.since) > idleOnce {
			return nil
		}
		list = list[:len(list)-1]
		l.idle[key] = list
		if now.After(k.until) {
			_ = k.conn.Close() // unused and too old; nothing is lost
			continue
		}
		k.busy = true
		return k
	}
	delete(l.idle, key)
	return nil
}

// await waits for the first byte of the next answer.
func (l *Links) await(k *link) {
	_, err := k.reader.Peek(1)
	l.lock.Lock()
	unused := !k.busy
	if unused {
		l.forget(k)
	}
	l.lock.Unlock()
	if unused {
		if err == nil {
			l.strays.Inc(1)
		}
		_ = k.conn.Close() // closed by its peer, or spoke unasked
	}
	k.first <- err
}

// forget takes an unused connection off the list.
func (l *Links) forget(k *link) {
	list := l.idle[k.key]
	for i := range list {
		if list[i] == k {
			l.idle[k.key] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// put keeps a connection whose answer was read to its end.
func (l *Links) put(k *link, keep time.Duration) {
	if keep <= 0 || k.reader.Buffered() > 0 {
		if k.reader.Buffered() > 0 {
			l.strays.Inc(1)
		}
		_ = k.conn.Close() // not to be used again
		return
	}
	_ = k.conn.SetDeadline(time.Time{}) // fails only on a closed connection, which await notices
	l.lock.Lock()
	now := l.clock()
	if len(l.idle[k.key]) >= idleLinks {
		l.lock.Unlock()
		_ = k.conn.Close() // enough are kept
		return
	}
	k.busy, k.since, k.until = false, now, now.Add(keep)
	l.idle[k.key] = append(l.idle[k.key], k)
	l.lock.Unlock()
	go l.await(k)
}

// Sweep closes connections that were unused for too long, and those to
// endpoints for which live is false.
func (l *Links) Sweep(now time.Time, live func(ident.EndpointID) bool) {
	l.lock.Lock()
	var old []*link
	for key, list := range l.idle {
		kept := list[:0]
		for _, k := range list {
			if now.After(k.until) || !live(key.id) {
				old = append(old, k)
				continue
			}
			kept = append(kept, k)
		}
		if len(kept) == 0 {
			delete(l.idle, key)
			continue
		}
		l.idle[key] = kept
	}
	l.lock.Unlock()
	for _, k := range old {
		_ = k.conn.Close() // unused
	}
}

// keepTime reads from an answer how long its connection may be used again.
func keepTime(r *http.Response) time.Duration {
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
		return time.Duration(float64(n) * idleShare * float64(time.Second))
	}
	return idleDefault
}

// readHead reads the head of the next answer on the connection.
func (k *link) readHead(method string) (*http.Response, error) {
	for {
		r, err := http.ReadResponse(k.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("reading the answer's head: %w", err)
		}
		if r.StatusCode >= 200 {
			return r, nil
		}
		if r.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("endpoint switches protocols: %w", errForeignBytes)
		}
	}
}

// skip reads an answer that belongs to another request.
func (k *link) skip(r *http.Response, most int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, most))
	if err != nil {
		return fmt.Errorf("skipping another request's answer: %w", err)
	}
	if n == most || r.Close {
		return fmt.Errorf("another request's answer is too long: %w", errForeignBytes)
	}
	return nil
}
