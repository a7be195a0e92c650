package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/proxy"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// maxEventBytes is the largest event of a stream.
	maxEventBytes = 4 << 20
	// maxSkippedBytes is the largest body of a late response to another request.
	maxSkippedBytes = 1 << 20
	// maxInlineBodyBytes is the largest request body that is written before the
	// response is read. A longer one is written concurrently, since an endpoint
	// may respond before it has read all of it.
	maxInlineBodyBytes = 8 << 10
	// bodyWriteTimeout is how long an endpoint that has responded early may take
	// to read the rest of the request body.
	bodyWriteTimeout = time.Second
	// lateHeadTimeout is how long a late response is waited for after its attempt was
	// cancelled: endpoints may fall silent for a second or so.
	lateHeadTimeout = 2 * time.Second
	eventIDField    = "id:"
)

// exchange is one attempt: a request sent on one connection and its response.
type exchange struct {
	attempt       proxy.Attempt
	requestID     ident.RequestID
	endpoint      *world.Endpoint
	method        string
	head          []byte // encoded request head
	body          *requestBody
	mustNotRepeat bool // the request must not run twice
	memory        holding
	fresh         bool                      // on a new connection, set before the first event
	onSend        func(now time.Time)       // called once the connection is ready, nil for nothing
	onRead        func(sent, now time.Time) // called once the endpoint is known to have read the request, nil for nothing
	cancel        context.CancelFunc
	response      *http.Response // set before HeadReceived or ResponseReceived is sent
	began         time.Time      // when the head of the response came, set before the event that follows
	responseBody  []byte         // set before ResponseReceived is sent
	cause         error          // set before AttemptFailed is sent
	started       time.Time

	lock      sync.Mutex
	conn      net.Conn // guarded by lock, nil before the request is sent
	answered  bool     // guarded by lock: the head of the response came, or the connection ended
	withdrawn bool     // guarded by lock
}

// withdraw stops the attempt. The endpoint learns that nobody waits for the response, but
// what it says of itself in the head of a late one is still heard.
func (x *exchange) withdraw() {
	x.lock.Lock()
	defer x.lock.Unlock()
	if x.withdrawn {
		return
	}
	x.withdrawn = true
	c, ok := x.conn.(interface{ CloseWrite() error })
	if !ok || x.answered || isRouter(x.endpoint.ID) || c.CloseWrite() != nil {
		x.cancel()
		return
	}
	time.AfterFunc(lateHeadTimeout, x.cancel)
}

// open records the connection of the request. It returns false if the attempt was
// withdrawn before.
func (x *exchange) open(conn net.Conn) bool {
	x.lock.Lock()
	defer x.lock.Unlock()
	x.conn = conn
	return !x.withdrawn
}

// answer records that the head of the response came, or the connection ended. It reports
// whether the attempt was withdrawn before.
func (x *exchange) answer() (late bool) {
	x.lock.Lock()
	defer x.lock.Unlock()
	x.answered = true
	return x.withdrawn
}

// run sends the request and passes the events of its response to emit. The last
// event is StreamEnded, ResponseReceived, AttemptFailed or LateHead; there is none if
// ctx ends first. It releases the body.
func (x *exchange) run(ctx context.Context, pool *ConnPool, codec HeaderCodec, emit func(proxy.Event)) {
	release := sync.OnceFunc(x.body.release)
	defer release()
	pc, err := pool.get(ctx, x.endpoint, x.mustNotRepeat)
	if err != nil {
		x.cause = err
		emit(proxy.AttemptFailed{Attempt: x.attempt, Refused: ctx.Err() == nil, Rejected: errors.Is(err, syscall.ECONNREFUSED)})
		return
	}
	x.fresh, pc.fresh = pc.fresh, false
	if !x.open(pc.conn) {
		_ = pc.conn.Close() // has carried no part of the request
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = pc.conn.Close() }) // unblocks reads and writes
	sentAt := pool.clock()
	if x.onSend != nil {
		x.onSend(sentAt)
	}
	sent := x.send(pc)
	release()
	r, err := x.readResponseHead(pc, codec)
	late := x.answer()
	if x.onRead != nil && ctx.Err() == nil {
		x.onRead(sentAt, pool.clock())
	}
	if err != nil {
		_ = pc.conn.Close() // the connection is in an unknown state
		if !stop() || late {
			return // cancelled
		}
		x.cause = err
		emit(proxy.AttemptFailed{Attempt: x.attempt, Sent: true})
		return
	}
	x.response, x.began = r, pool.clock()
	if late {
		_ = pc.conn.Close() // the endpoint was told that nothing follows
		emit(proxy.LateHead{Attempt: x.attempt, Head: codec.ParseResponse(r.StatusCode, r.Header)})
		stop()
		return
	}
	var last proxy.Event
	if isStream(r) {
		emit(proxy.HeadReceived{Attempt: x.attempt, Head: codec.ParseResponse(r.StatusCode, r.Header)})
		last = x.copyEvents(r.Body, emit)
	} else {
		last = x.readResponseBody(r, codec)
	}
	if !stop() {
		return // cancelled
	}
	_, broken := last.(proxy.AttemptFailed)
	if !broken && x.bodySent(sent, 0) {
		pool.put(pc, reuseTime(r))
		emit(last)
		return
	}
	emit(last)
	if !broken && x.bodySent(sent, bodyWriteTimeout) {
		pool.put(pc, reuseTime(r))
		return
	}
	_ = pc.conn.Close() // the connection is in an unknown state
}

// send writes the request. A long body is written in the background; the channel
// receives the result.
func (x *exchange) send(pc *poolConn) <-chan error {
	done := make(chan error, 1)
	if x.body.len() <= maxInlineBodyBytes {
		_, err := pc.conn.Write(slices.Concat(append([][]byte{x.head}, x.body.data()...)...))
		done <- err
		return done
	}
	x.body.retain() // run may end before the write
	go func() {
		defer x.body.release()
		_, err := pc.conn.Write(x.head)
		for _, part := range x.body.data() {
			if err != nil {
				break
			}
			_, err = pc.conn.Write(part)
		}
		done <- err
	}()
	return done
}

// bodySent reports whether the request was written completely, without which the
// connection cannot be reused. It waits for at most timeout.
func (x *exchange) bodySent(sent <-chan error, timeout time.Duration) bool {
	select {
	case err := <-sent:
		return err == nil
	default:
	}
	if timeout <= 0 {
		return false
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case err := <-sent:
		return err == nil
	case <-timer.C:
		return false
	}
}

// readResponseHead reads the head of the response to this request. It skips late
// responses to earlier requests on the connection.
func (x *exchange) readResponseHead(pc *poolConn, codec HeaderCodec) (*http.Response, error) {
	if err := <-pc.firstByte; err != nil {
		return nil, fmt.Errorf("waiting for the response: %w", err)
	}
	pc.bounded.allow(maxHeadBytes+maxSkippedBytes, errHeadTooLong)
	defer pc.bounded.allow(-1, nil)
	for {
		r, err := pc.readHead(x.method)
		if err != nil {
			return nil, err
		}
		if codec.MatchesRequest(r.Header, x.requestID) {
			return r, nil
		}
		if err := pc.skipResponse(r, maxSkippedBytes); err != nil {
			return nil, err
		}
	}
}

func isStream(r *http.Response) bool {
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && r.StatusCode == http.StatusOK
}

// readResponseBody reads the body of a response that is not a stream.
func (x *exchange) readResponseBody(r *http.Response, codec HeaderCodec) proxy.Event {
	body, err := x.memory.readAll(r.Body, maxResponseBytes)
	if err != nil {
		x.cause = fmt.Errorf("reading the response body: %w", err)
		return proxy.AttemptFailed{Attempt: x.attempt, Sent: true}
	}
	x.responseBody = body
	return proxy.ResponseReceived{Attempt: x.attempt, Head: codec.ParseResponse(r.StatusCode, r.Header)}
}

// copyEvents emits each event of a stream once it is complete, and returns the
// last event of the exchange.
func (x *exchange) copyEvents(body io.Reader, emit func(proxy.Event)) proxy.Event {
	var pending []byte
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		for {
			end := eventLength(pending)
			if end < 0 {
				break
			}
			event := bytes.Clone(pending[:end])
			pending = pending[end:]
			emit(proxy.EventReceived{Attempt: x.attempt, ID: eventID(event), Data: event})
		}
		if full := x.memory.resize(int64(len(pending))); full != nil {
			x.cause = fmt.Errorf("reading events: %w", full)
			return proxy.AttemptFailed{Attempt: x.attempt, Sent: true}
		}
		switch {
		case err == io.EOF && len(bytes.Trim(pending, "\r\n")) == 0:
			if len(pending) > 0 { // blank lines after the last event
				emit(proxy.EventReceived{Attempt: x.attempt, ID: proxy.NoEvent, Data: pending})
			}
			return proxy.StreamEnded{Attempt: x.attempt}
		case err != nil:
			x.cause = fmt.Errorf("reading events, after %d bytes of an incomplete event: %w", len(pending), err)
			return proxy.AttemptFailed{Attempt: x.attempt, Sent: true}
		case len(pending) > maxEventBytes:
			x.cause = fmt.Errorf("event exceeds %d bytes", maxEventBytes)
			return proxy.AttemptFailed{Attempt: x.attempt, Sent: true}
		}
	}
}

// eventLength returns the length of the first complete event in b, or -1 if there
// is none.
func eventLength(b []byte) int {
	if i := bytes.Index(b, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	if i := bytes.Index(b, []byte("\r\n\r\n")); i >= 0 {
		return i + 4
	}
	return -1
}

// eventID returns the number in the id field of an event, or proxy.NoEvent.
func eventID(event []byte) int64 {
	for _, line := range bytes.Split(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte(eventIDField))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return proxy.NoEvent // a stream cannot be resumed after an id that is not a number
		}
		return id
	}
	return proxy.NoEvent
}
