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
	maxAnswer = 32 << 20
	// maxEvent is the largest event of a stream, in bytes.
	maxEvent = 4 << 20
	// inlineBody is the largest body that is sent before the answer is read;
	// an endpoint may answer before it has read a longer one.
	inlineBody = 8 << 10
	// bodyPatience is how long an endpoint that has answered early may take to
	// read the rest of the body.
	bodyPatience = time.Second
	eventField   = "id:"
)

// exchange is one attempt: a request sent on one connection and its answer.
type exchange struct {
	number   pass.Attempt
	id       ident.RequestID
	endpoint *world.Endpoint
	method   string
	head     []byte // the request's head, as sent
	body     []byte
	once     bool // the request must not run twice
	cancel   context.CancelFunc
	response *http.Response // set before HeadReceived or ResponseReceived is sent
	answer   []byte         // set before ResponseReceived is sent
	cause    error          // set before AttemptFailed is sent
	started  time.Time
}

// run sends the request and tells of its answer. It ends with StreamEnded,
// ResponseReceived or AttemptFailed, or when ctx ends.
func (x *exchange) run(ctx context.Context, links *Links, dialect Dialect, tell func(pass.Event)) {
	k, err := links.get(ctx, x.endpoint, x.once)
	if err != nil {
		x.cause = err
		tell(pass.AttemptFailed{Attempt: x.number, Refused: ctx.Err() == nil})
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = k.conn.Close() }) // ends reads and writes
	sent := x.send(k)
	r, err := x.receive(k, dialect)
	if err != nil {
		_ = k.conn.Close() // in an unknown state
		if !stop() {
			return // cancelled
		}
		x.cause = err
		tell(pass.AttemptFailed{Attempt: x.number, Sent: true})
		return
	}
	x.response = r
	var last pass.Event
	if isStream(r) {
		tell(pass.HeadReceived{Attempt: x.number, Head: dialect.Head(r.StatusCode, r.Header)})
		last = x.copyEvents(r.Body, tell)
	} else {
		last = x.readAnswer(r, dialect)
	}
	if !stop() {
		return // cancelled
	}
	_, broken := last.(pass.AttemptFailed)
	if !broken && x.sentWhole(sent, 0) {
		links.put(k, keepTime(r))
		tell(last)
		return
	}
	tell(last)
	if !broken && x.sentWhole(sent, bodyPatience) {
		links.put(k, keepTime(r))
		return
	}
	_ = k.conn.Close() // in an unknown state
}

// send writes the request. A long body is written beside the reading of the
// answer; the channel gives the outcome.
func (x *exchange) send(k *link) <-chan error {
	done := make(chan error, 1)
	if len(x.body) <= inlineBody {
		_, err := k.conn.Write(append(x.head, x.body...))
		done <- err
		return done
	}
	go func() {
		_, err := k.conn.Write(x.head)
		if err == nil {
			_, err = k.conn.Write(x.body)
		}
		done <- err
	}()
	return done
}

// sentWhole tells whether the body was written to its end, which the
// connection needs to be used again. It waits for that as long as patience.
func (x *exchange) sentWhole(sent <-chan error, patience time.Duration) bool {
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
func (x *exchange) receive(k *link, dialect Dialect) (*http.Response, error) {
	if err := <-k.first; err != nil {
		return nil, fmt.Errorf("waiting for the answer: %w", err)
	}
	for {
		r, err := k.readHead(x.method)
		if err != nil {
			return nil, err
		}
		if dialect.Answers(r.Header, x.id) {
			return r, nil
		}
		if err := k.skip(r, maxAnswer); err != nil {
			return nil, err
		}
	}
}

func isStream(r *http.Response) bool {
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && r.StatusCode == http.StatusOK
}

// readAnswer reads a whole answer.
func (x *exchange) readAnswer(r *http.Response, dialect Dialect) pass.Event {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = fmt.Errorf("answer is over %d bytes", maxAnswer)
	}
	if err != nil {
		x.cause = fmt.Errorf("reading the answer: %w", err)
		return pass.AttemptFailed{Attempt: x.number, Sent: true}
	}
	x.answer = body
	return pass.ResponseReceived{Attempt: x.number, Head: dialect.Head(r.StatusCode, r.Header)}
}

// copyEvents passes on each event when all of it has come.
func (x *exchange) copyEvents(body io.Reader, tell func(pass.Event)) pass.Event {
	var pending []byte
	buffer := make([]byte, bufferSize)
	for {
		n, err := body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		for {
			end := eventEnd(pending)
			if end < 0 {
				break
			}
			event := bytes.Clone(pending[:end])
			pending = pending[end:]
			tell(pass.EventReceived{Attempt: x.number, ID: eventID(event), Data: event})
		}
		switch {
		case err == io.EOF && len(pending) == 0:
			return pass.StreamEnded{Attempt: x.number}
		case err != nil:
			x.cause = fmt.Errorf("reading events, with %d bytes of an unfinished one: %w", len(pending), err)
			return pass.AttemptFailed{Attempt: x.number, Sent: true}
		case len(pending) > maxEvent:
			x.cause = fmt.Errorf("event is over %d bytes", maxEvent)
			return pass.AttemptFailed{Attempt: x.number, Sent: true}
		}
	}
}

// eventEnd gives the length of the first whole event, -1 if none is whole.
func eventEnd(b []byte) int {
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
		value, ok := bytes.CutPrefix(line, []byte(eventField))
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
