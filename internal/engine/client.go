package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/openai/openai-go/packages/ssestream"
	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/strict"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// maxAnswerBytes limits the answer of a service that is not a model.
	maxAnswerBytes = 8 << 20
	// maxErrorBodyBytes limits how much is read of an endpoint's error response.
	maxErrorBodyBytes = 16 << 10
	// maxFrameBytes limits what is read of a stream up to the end of a frame.
	maxFrameBytes = 4 << 20
)

// errFrameTooLong is returned by a stream that goes on without the end of a frame.
var errFrameTooLong = errors.New("frame is too long")

// boundedBody is a body of which left more bytes may be read.
type boundedBody struct {
	io.ReadCloser
	left int
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errFrameTooLong
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// Client is an Engine that uses the HTTP protocol of the endpoints.
type Client struct {
	client *http.Client
}

// NewClient returns a Client that sends with a copy of the given HTTP client that detects
// broken responses. The client must not follow redirects.
func NewClient(client *http.Client) *Client {
	return &Client{client: strict.NewClient(client)}
}

// Stream implements Engine.
func (c *Client) Stream(ctx context.Context, attempt Attempt, emit func(Frame) error) error {
	res, err := c.post(ctx, attempt, "/v1/chat/completions", nil)
	if err != nil {
		return fmt.Errorf("starting attempt %s: %w", attempt.ID, err)
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		body, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBodyBytes))
		return fmt.Errorf("starting attempt %s: %w", attempt.ID, streamError(res.StatusCode, body))
	}
	body := &boundedBody{ReadCloser: res.Body, left: maxFrameBytes}
	res.Body = body
	decoder := ssestream.NewDecoder(res)
	for decoder.Next() {
		body.left = maxFrameBytes
		done, err := emitFrame(decoder.Event().Data, emit)
		if err != nil || done {
			return err
		}
	}
	if ctx.Err() != nil {
		return fmt.Errorf("streaming attempt %s: %w", attempt.ID, ctx.Err())
	}
	if err := decoder.Err(); err != nil {
		return fmt.Errorf("streaming attempt %s: %w: %w", attempt.ID, ErrConnectionBroken, err)
	}
	return fmt.Errorf("streaming attempt %s: %w: stream ended early", attempt.ID, ErrConnectionBroken)
}

// Call implements Engine.
func (c *Client) Call(ctx context.Context, attempt Attempt) (Answer, error) {
	header := http.Header{}
	if attempt.IdempotencyKey != "" {
		// With the canonical spelling of the header, net/http would retry the request.
		header["idempotency-key"] = []string{attempt.IdempotencyKey}
	}
	res, err := c.post(ctx, attempt, "/call/"+attempt.Path, header)
	if err != nil {
		return Answer{}, fmt.Errorf("calling service for attempt %s: %w", attempt.ID, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, fmt.Errorf("reading answer of attempt %s: %w: %w", attempt.ID, ErrConnectionBroken, err)
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, fmt.Errorf("answer of attempt %s exceeds %d bytes: %w", attempt.ID, maxAnswerBytes, ErrConnectionBroken)
	}
	if err := refusalError(res.StatusCode, body); err != nil {
		return Answer{}, fmt.Errorf("calling service for attempt %s: %w", attempt.ID, err)
	}
	return Answer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}, nil
}

// FetchLoad returns the load that an endpoint reports.
func (c *Client) FetchLoad(ctx context.Context, address string) (Load, error) {
	var load Load
	if err := c.get(ctx, "http://"+address+"/load", &load); err != nil {
		return Load{}, fmt.Errorf("reading load of %s: %w", address, err)
	}
	return load, nil
}

// FetchCacheEvents returns the events of an engine's prefix cache with sequence
// numbers greater than after.
func (c *Client) FetchCacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	var events CacheEvents
	url := "http://" + address + "/cache?after=" + strconv.FormatUint(after, 10)
	if err := c.get(ctx, url, &events); err != nil {
		return CacheEvents{}, fmt.Errorf("reading cache events of %s: %w", address, err)
	}
	return events, nil
}

// SendCommand sends a command to an engine. It returns ErrFenced if the engine has
// received a command with a later term.
func (c *Client) SendCommand(ctx context.Context, address string, command Command) error {
	body, err := json.Marshal(command)
	if err != nil {
		return fmt.Errorf("encoding command for %s: %w", address, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("building command for %s: %w", address, err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.client.Do(req)
	if err != nil {
		return fmt.Errorf("sending command to %s: %w", address, err)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return fmt.Errorf("sending command to %s with term %d: %w", address, command.Term, ErrFenced)
	default:
		return fmt.Errorf("sending command to %s: unexpected status %d", address, res.StatusCode)
	}
}

// FetchCommand returns the last command that an engine accepted, with term 0 if there
// was none.
func (c *Client) FetchCommand(ctx context.Context, address string) (Command, error) {
	var command Command
	if err := c.get(ctx, "http://"+address+"/orders", &command); err != nil {
		return Command{}, fmt.Errorf("reading last command of %s: %w", address, err)
	}
	return command, nil
}

func (c *Client) get(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("building request: %w", err)
	}
	res, err := c.client.Do(req)
	if err != nil {
		return fmt.Errorf("sending request: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("unexpected status %d", res.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(into); err != nil {
		return fmt.Errorf("decoding answer: %w", err)
	}
	return nil
}

// post sends one attempt. It returns ErrNotSent if no connection was made, and
// ErrConnectionBroken for any later error.
func (c *Client) post(ctx context.Context, attempt Attempt, path string, header http.Header) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+attempt.Address+path, bytes.NewReader(attempt.Body))
	if err != nil {
		return nil, fmt.Errorf("building request: %w: %w", ErrNotSent, err)
	}
	req.GetBody = nil // otherwise net/http may send the request again
	for k, v := range header {
		req.Header[k] = v
	}
	setHeaders(req.Header, attempt)
	res, err := c.client.Do(req)
	if err != nil {
		if !connected.Load() {
			return nil, fmt.Errorf("connecting: %w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("sending: %w: %w", ErrConnectionBroken, err)
	}
	return res, nil
}

func setHeaders(header http.Header, attempt Attempt) {
	header.Set("Content-Type", "application/json")
	header.Set("X-Request-Id", string(attempt.RequestID))
	header.Set("X-Attempt-Id", string(attempt.ID))
	header.Set("X-Priority", strconv.Itoa(int(attempt.Priority)))
	header.Set("X-Deadline", attempt.Deadline.Format(time.RFC3339Nano))
	if attempt.ResumeFrom > 0 {
		header.Set("X-Resume", strconv.Itoa(attempt.ResumeFrom))
	}
	if attempt.TraceParent != "" {
		header.Set("traceparent", attempt.TraceParent)
	}
}

// streamError returns the error for an engine's error response.
func streamError(status int, body []byte) error {
	if err := refusalError(status, body); err != nil {
		return err
	}
	return fmt.Errorf("status %d: %w", status, ErrConnectionBroken)
}

// refusalError returns the error for a response that explicitly says "ran": "no", and
// nil for any other response.
func refusalError(status int, body []byte) error {
	if status < http.StatusBadRequest {
		return nil
	}
	var response errorBody
	if json.Unmarshal(body, &response) != nil || response.Error.Ran != "no" {
		return nil
	}
	switch response.Error.Code {
	case "overloaded":
		return fmt.Errorf("status %d: %w", status, ErrOverloaded)
	case "rejected":
		return fmt.Errorf("status %d: %w", status, ErrRejected)
	case "leaving":
		return fmt.Errorf("status %d: %w", status, ErrLeaving)
	default:
		return fmt.Errorf("status %d, code %q: %w", status, response.Error.Code, ErrNotRun)
	}
}

// emitFrame decodes one event and emits its frame. It returns done if the event is
// the end marker of the stream.
func emitFrame(data []byte, emit func(Frame) error) (done bool, err error) {
	data = bytes.TrimSpace(data)
	if len(data) == 0 {
		return false, nil
	}
	if bytes.Equal(data, []byte("[DONE]")) {
		return true, nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return false, fmt.Errorf("decoding frame: %w: %w", ErrConnectionBroken, err)
	}
	if err := emit(c.frame()); err != nil {
		return false, fmt.Errorf("emitting frame: %w", err)
	}
	return false, nil
}

// errorBody is the body of an endpoint's error response.
type errorBody struct {
	Error struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// chunk is one event of an engine's stream.
type chunk struct {
	ID       string        `json:"id"`
	Attempt  string        `json:"attempt"`
	Sequence int           `json:"sequence"`
	Choices  []chunkChoice `json:"choices"`
	Usage    *chunkUsage   `json:"usage"`
}

type chunkChoice struct {
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type chunkUsage struct {
	Prompt ident.Tokens `json:"prompt_tokens"`
	Answer ident.Tokens `json:"completion_tokens"`
}

func (c chunk) frame() Frame {
	f := Frame{Request: ident.RequestID(c.ID), Attempt: ident.AttemptID(c.Attempt), Sequence: c.Sequence}
	for _, choice := range c.Choices {
		f.Text += choice.Delta.Content
		if choice.FinishReason != nil {
			f.Final = true
			f.FinishReason = *choice.FinishReason
		}
	}
	if c.Usage != nil {
		f.Usage = Usage{Prompt: c.Usage.Prompt, Answer: c.Usage.Answer}
	}
	return f
}

// Load is the load that an endpoint reports, with the release or service that it
// serves.
type Load struct {
	fleet.Report
	Release string          `json:"release"`
	Service ident.ServiceID `json:"service"`
	Leaving bool            `json:"leaving"`
}

// CacheEvents holds changes of an engine's prefix cache.
type CacheEvents struct {
	Events       []CacheEvent `json:"events"`
	LastSequence uint64       `json:"upto"` // sequence number of the last change reported
}

// CacheEvent reports that a block of a prompt was stored or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    string `json:"block"` // hex of the block's hash
	Stored   bool   `json:"stored"`
}

// Command tells an engine to load or unload a release, or to change its role.
type Command struct {
	Kind    string        `json:"kind"` // load, unload or role
	Release ident.Release `json:"release"`
	Role    string        `json:"role,omitempty"`
	Term    ident.Term    `json:"fence"`
}
