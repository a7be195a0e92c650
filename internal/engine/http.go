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
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// maxAnswer bounds the answer of a plain service, in bytes.
	maxAnswer = 8 << 20
	// maxErrorBody bounds what is read of an endpoint's error, in bytes.
	maxErrorBody = 16 << 10
)

// HTTP drives endpoints over their published HTTP protocol.
type Client struct {
	client *http.Client
}

// New makes a driver that sends with the given client, whose transport must
// not follow redirects.
func NewClient(client *http.Client) *Client {
	return &Client{client: client}
}

// Stream runs one attempt on a model engine; see Engine.
func (h *Client) Stream(ctx context.Context, run Attempt, emit func(Frame) error) error {
	res, err := h.post(ctx, run, "/v1/chat/completions", nil)
	if err != nil {
		return fmt.Errorf("starting attempt %s: %w", run.ID, err)
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		body, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBody))
		return fmt.Errorf("starting attempt %s: %w", run.ID, failure(res.StatusCode, body))
	}
	decoder := ssestream.NewDecoder(res)
	for decoder.Next() {
		done, err := handOn(decoder.Event().Data, emit)
		if err != nil || done {
			return err
		}
	}
	if ctx.Err() != nil {
		return fmt.Errorf("streaming attempt %s: %w", run.ID, ctx.Err())
	}
	if err := decoder.Err(); err != nil {
		return fmt.Errorf("streaming attempt %s: %w: %w", run.ID, ErrConnectionBroken, err)
	}
	return fmt.Errorf("streaming attempt %s: %w: stream ended early", run.ID, ErrConnectionBroken)
}

// Call runs one attempt on a plain service; see Engine.
func (h *Client) Call(ctx context.Context, run Attempt) (Answer, error) {
	header := http.Header{}
	if run.IdempotencyKey != "" {
		// The canonical spelling would make net/http repeat the request by itself.
		header["idempotency-key"] = []string{run.IdempotencyKey}
	}
	res, err := h.post(ctx, run, "/call/"+run.Path, header)
	if err != nil {
		return Answer{}, fmt.Errorf("calling service for attempt %s: %w", run.ID, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err != nil {
		return Answer{}, fmt.Errorf("reading answer of attempt %s: %w: %w", run.ID, ErrConnectionBroken, err)
	}
	if len(body) > maxAnswer {
		return Answer{}, fmt.Errorf("answer of attempt %s exceeds %d bytes: %w", run.ID, maxAnswer, ErrConnectionBroken)
	}
	if err := refusal(res.StatusCode, body); err != nil {
		return Answer{}, fmt.Errorf("calling service for attempt %s: %w", run.ID, err)
	}
	return Answer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}, nil
}

// Load reads an endpoint's report of its own load.
func (h *Client) FetchLoad(ctx context.Context, address string) (Load, error) {
	var load Load
	if err := h.get(ctx, "http://"+address+"/load", &load); err != nil {
		return Load{}, fmt.Errorf("reading load of %s: %w", address, err)
	}
	return load, nil
}

// Cache reads an engine's prefix cache events later than after.
func (h *Client) FetchCacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	var events CacheEvents
	url := "http://" + address + "/cache?after=" + strconv.FormatUint(after, 10)
	if err := h.get(ctx, url, &events); err != nil {
		return CacheEvents{}, fmt.Errorf("reading cache events of %s: %w", address, err)
	}
	return events, nil
}

// Order sends a wanted state to an engine, and fails with ErrFenced if the
// engine has seen a newer fence.
func (h *Client) SendCommand(ctx context.Context, address string, order Command) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encoding order for %s: %w", address, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("building order for %s: %w", address, err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := h.client.Do(req)
	if err != nil {
		return fmt.Errorf("ordering %s: %w", address, err)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return fmt.Errorf("ordering %s with fence %d: %w", address, order.Term, ErrFenced)
	default:
		return fmt.Errorf("ordering %s: unexpected status %d", address, res.StatusCode)
	}
}

// Ordered reads the order that an engine took last; its fence is 0 if it took
// none.
func (h *Client) FetchCommand(ctx context.Context, address string) (Command, error) {
	var order Command
	if err := h.get(ctx, "http://"+address+"/orders", &order); err != nil {
		return Command{}, fmt.Errorf("reading orders of %s: %w", address, err)
	}
	return order, nil
}

func (h *Client) get(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("building request: %w", err)
	}
	res, err := h.client.Do(req)
	if err != nil {
		return fmt.Errorf("sending request: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("unexpected status %d", res.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxAnswer)).Decode(into); err != nil {
		return fmt.Errorf("decoding answer: %w", err)
	}
	return nil
}

// post sends one attempt; its errors tell whether anything can have left.
func (h *Client) post(ctx context.Context, run Attempt, path string, header http.Header) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+run.Address+path, bytes.NewReader(run.Body))
	if err != nil {
		return nil, fmt.Errorf("building request: %w: %w", ErrNotSent, err)
	}
	req.GetBody = nil // otherwise net/http may send the body a second time
	for k, v := range header {
		req.Header[k] = v
	}
	setHeaders(req.Header, run)
	res, err := h.client.Do(req)
	if err != nil {
		if !connected.Load() {
			return nil, fmt.Errorf("connecting: %w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("sending: %w: %w", ErrConnectionBroken, err)
	}
	return res, nil
}

func setHeaders(header http.Header, run Attempt) {
	header.Set("Content-Type", "application/json")
	header.Set("X-Request-Id", string(run.RequestID))
	header.Set("X-Attempt-Id", string(run.ID))
	header.Set("X-Priority", strconv.Itoa(int(run.Priority)))
	header.Set("X-Deadline", run.Deadline.Format(time.RFC3339Nano))
	if run.ResumeFrom > 0 {
		header.Set("X-Resume", strconv.Itoa(run.ResumeFrom))
	}
	if run.TraceParent != "" {
		header.Set("traceparent", run.TraceParent)
	}
}

// failure gives the error that an engine's error response stands for.
func failure(status int, body []byte) error {
	if err := refusal(status, body); err != nil {
		return err
	}
	return fmt.Errorf("status %d: %w", status, ErrConnectionBroken)
}

// refusal gives the error of an endpoint that says that it ran nothing, or nil.
// Only an explicit "ran": "no" counts.
func refusal(status int, body []byte) error {
	if status < http.StatusBadRequest {
		return nil
	}
	var refused errorBody
	if json.Unmarshal(body, &refused) != nil || refused.Error.Ran != "no" {
		return nil
	}
	switch refused.Error.Code {
	case "overloaded":
		return fmt.Errorf("status %d: %w", status, ErrOverloaded)
	case "rejected":
		return fmt.Errorf("status %d: %w", status, ErrRejected)
	case "leaving":
		return fmt.Errorf("status %d: %w", status, ErrLeaving)
	default:
		return fmt.Errorf("status %d, code %q: %w", status, refused.Error.Code, ErrNotRun)
	}
}

// handOn decodes one event and emits its frame; done tells that the stream has
// reached its end marker.
func handOn(data []byte, emit func(Frame) error) (done bool, err error) {
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
		return false, fmt.Errorf("passing frame on: %w", err)
	}
	return false, nil
}

// errorBody is an endpoint's refusal.
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
	Finish *string `json:"finish_reason"`
}

type chunkUsage struct {
	Prompt ident.Tokens `json:"prompt_tokens"`
	Answer ident.Tokens `json:"completion_tokens"`
}

func (c chunk) frame() Frame {
	f := Frame{Request: ident.RequestID(c.ID), Attempt: ident.AttemptID(c.Attempt), Sequence: c.Sequence}
	for _, choice := range c.Choices {
		f.Text += choice.Delta.Content
		if choice.Finish != nil {
			f.Final = true
			f.FinishReason = *choice.Finish
		}
	}
	if c.Usage != nil {
		f.Usage = Usage{Prompt: c.Usage.Prompt, Answer: c.Usage.Answer}
	}
	return f
}

// Load is an endpoint's report with what it serves.
type Load struct {
	fleet.Report
	Release string          `json:"release"`
	Service ident.ServiceID `json:"service"`
	Leaving bool            `json:"leaving"`
}

// CacheEvents are changes of an engine's prefix cache.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	LastSequence   uint64       `json:"upto"` // sequence up to which the engine has reported
}

// CacheEvent tells that a block of a prompt's prefix was stored or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    string `json:"block"` // hex of the block's hash
	Stored   bool   `json:"stored"`
}

// Order is a state that an engine is to take.
type Command struct {
	Kind    string        `json:"kind"` // load, unload or role
	Release ident.Release `json:"release"`
	Role    string        `json:"role,omitempty"`
	Term   ident.Term    `json:"fence"`
}
