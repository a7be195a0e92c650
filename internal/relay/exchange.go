package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/pass"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// maxAnswer is the largest answer that is not a stream, in bytes.
	maxResponseBytes = 32 << 20
	// maxEvent is the largest event of a stream, in bytes.
	maxEventBytes = 4 << 20
	// inlineBody is the largest body that is sent before the answer is read;
	// an endpoint may answer before it has read a longer one.
	maxInlineBodyBytes = 8 << 10
	// bodyPatience is how long an endpoint that has answered early may take to
	// read the rest of the body.
	bodyWriteTimeout = time.Second
	eventIDField     = "id:"
)

// exchange is one attempt: a request sent on one connection and its answer.
type exchange struct {
	attempt       pass.Attempt
	requestID     ident.RequestID
	endpoint      *world.Endpoint
	method        string
	head          []byte // the request's head, as sent
	body          []byte
	mustNotRepeat bool // the request must not run twice
	cancel        context.CancelFunc
	response      *http.Response // set before Headed or Answered is sent
	responseBody  []byte         // set before Answered is sent
	cause         error          // set before Broken is sent
	started       time.Time
}

// run sends the request and tells of its answer. It ends with Ended, Answered
// or Broken, or when ctx ends.
func (x *exchange) run(ctx context.Context, links *ConnPool, dialect HeaderCodec, tell func(pass.Event)) {
	pc, err := links.get(ctx, x.endpoint, x.mustNotRepeat)
	if err != nil {
		x.cause = err
		tell(pass.Broken{Attempt: x.attempt, Refused: ctx.Err() == nil})
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = pc.conn.Close() }) // ends reads and writes
	sent := x.send(pc)
	r, err := x.readResponseHead(pc, dialect)
	if err != nil {
		_ = pc.conn.Close() // in an unknown state
		if !stop() {
			return // cancelled
		}
		x.cause = err
		tell(pass.Broken{Attempt: x.attempt, Sent: true})
		return
	}
	x.response = r
	var last pass.Event
	if isStream(r) {
		tell(pass.Headed{Attempt: x.attempt, Head: dialect.ParseResponse(r.StatusCode, r.Header)})
		last = x.copyEvents(r.Body, tell)
	} else {
		last = x.readResponseBody(r, dialect)
	}
	if !stop() {
		return // cancelled
	}
	_, broken := last.(pass.Broken)
	if !broken && x.bodySent(sent, 0) {
		links.put(pc, reuseTime(r))
		tell(last)
		return
	}
	tell(last)
	if !broken && x.bodySent(sent, bodyWriteTimeout) {
		links.put(pc, reuseTime(r))
		return
	}
	_ = pc.conn.Close() // in an unknown state
}

// send writes the request. A long body is written beside the reading of the
// answer; the channel gives the outcome.
func (x *exchange) send(pc *poolConn) <-chan error {
	done := make(chan error, 1)
	if len(x.body) <= maxInlineBodyBytes {
		_, err := pc.conn.Write(append(x.head, x.body...))
		done <- err
		return done
	}
	go func() {
		_, err := pc.conn.Write(x.head)
		if err == nil {
			_, err = pc.conn.Write(x.body)
		}
		done <- err
	}()
	return done
}

// sentWhole tells whether the body was written to its end, which the
// connection needs to be used again. It waits for that as long as patience.
func (x *exchange) bodySent(sent <-chan error, patience time.Duration) bool {
	select {
	case err := <-sent:
		return err == nil
	default:
	}
	if patience <= 0 {
		return false
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case err := <-sent:
		return err == nil
	case <-timer.C:
		return false
	}
}

// receive reads the head of the answer to this request, past answers to
// others.
func (x *exchange) readResponseHead(pc *poolConn, dialect HeaderCodec) (*http.Response, error) {
	if err := <-pc.firstByte; err != nil {
		return nil, fmt.Errorf("waiting for the answer: %w", err)
	}
	for {
		r, err := pc.readHead(x.method)
		if err != nil {
			return nil, err
		}
		if dialect.MatchesRequest(r.Header, x.requestID) {
			return r, nil
		}
		if err := pc.skipResponse(r, maxResponseBytes); err != nil {
			return nil, err
		}
	}
}

func isStream(r *http.Response) bool {
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && r.StatusCode == http.StatusOK
}

// readAnswer reads a whole answer.
func (x *exchange) readResponseBody(r *http.Response, dialect HeaderCodec) pass.Event {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = fmt.Errorf("answer is over %d bytes", maxResponseBytes)
	}
	if err != nil {
		x.cause = fmt.Errorf("reading the answer: %w", err)
		return pass.Broken{Attempt: x.attempt, Sent: true}
	}
	x.responseBody = body
	return pass.Answered{Attempt: x.attempt, Head: dialect.ParseResponse(r.StatusCode, r.Header)}
}

// copyEvents passes on each event when all of it has come.
func (x *exchange) copyEvents(body io.Reader, tell func(pass.Event)) pass.Event {
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
			tell(pass.Piece{Attempt: x.attempt, ID: eventID(event), Data: event})
		}
		switch {
		case err == io.EOF && len(pending) == 0:
			return pass.Ended{Attempt: x.attempt}
		case err != nil:
			x.cause = fmt.Errorf("reading events, with %d bytes of an unfinished one: %w", len(pending), err)
			return pass.Broken{Attempt: x.attempt, Sent: true}
		case len(pending) > maxEventBytes:
			x.cause = fmt.Errorf("event is over %d bytes", maxEventBytes)
			return pass.Broken{Attempt: x.attempt, Sent: true}
		}
	}
}

// eventEnd gives the length of the first whole event, -1 if none is whole.
func eventLength(b []byte) int {
	if i := bytes.Index(b, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	if i := bytes.Index(b, []byte("\r\n\r\n")); i >= 0 {
		return i + 4
	}
	return -1
}

// eventID reads an event's number.
func eventID(event []byte) int64 {
	for _, line := range bytes.Split(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte(eventIDField))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return pass.NoEvent // an id that is no number cannot be resumed from
		}
		return id
	}
	return pass.NoEvent
}
