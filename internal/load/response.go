package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/openai/openai-go/packages/ssestream"
	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/strict"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Outcome is the result of a request as its caller sees it.
type Outcome string

// Request outcomes.
const (
	OutcomeComplete    Outcome = "whole"
	OutcomeRefused     Outcome = "refused" // error response that reports the request as not run
	OutcomeFailed      Outcome = "failed"  // any other error response
	OutcomeInterrupted Outcome = "broken"  // no response, or a stream that ended early
	OutcomeDropped     Outcome = "dropped" // not sent, because Plan.MaxInFlight was reached
)

// maxErrorBody limits the bytes read from an error response.
const maxErrorBody = 64 << 10

// Response records the response to one request, with arrival times.
type Response struct {
	Arrival    Arrival
	Outcome    Outcome
	Status     int
	Release    string // model@version
	Cost       ident.Micros
	Token      string // X-Session-Token
	MoveReason string // X-Session-Moved: why the session changed its version
	Text       string
	ChunkTimes []time.Time // arrival of each chunk with text
	EndedAt    time.Time
	Err        error
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
}

type errorBody struct {
	Error struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// Send sends one request immediately and reads the streamed response to its end.
func Send(ctx context.Context, client *http.Client, arrival Arrival) Response {
	response := Response{Arrival: arrival}
	response.Outcome, response.Err = response.send(ctx, client)
	response.EndedAt = time.Now()
	return response
}

func (r *Response) send(ctx context.Context, client *http.Client) (Outcome, error) {
	request, err := newRequest(ctx, r.Arrival)
	if err != nil {
		return OutcomeInterrupted, err
	}
	response, err := client.Do(request)
	if err != nil {
		return OutcomeInterrupted, fmt.Errorf("sending request %q: %w", r.Arrival.Request, err)
	}
	defer response.Body.Close()
	if err := strict.CheckHead(response); err != nil { // client may not check it
		return OutcomeInterrupted, fmt.Errorf("reading response to %q: %w", r.Arrival.Request, err)
	}
	r.Status = response.StatusCode
	r.Release = response.Header.Get("X-Release")
	r.Token = response.Header.Get("X-Session-Token")
	r.MoveReason = response.Header.Get("X-Session-Moved")
	if response.StatusCode != http.StatusOK {
		return readErrorResponse(response)
	}
	err = r.readChunks(response)
	r.Cost = readCost(response)
	if err != nil {
		return OutcomeInterrupted, err
	}
	return OutcomeComplete, nil
}

// readChunks collects the text and arrival time of each chunk. It returns an
// error unless the stream has both a final chunk and the [DONE] event.
func (r *Response) readChunks(response *http.Response) error {
	var text strings.Builder
	defer func() { r.Text = text.String() }()
	events := ssestream.NewDecoder(response)
	finished := false
	for events.Next() {
		data := bytes.TrimSpace(events.Event().Data)
		if string(data) == "[DONE]" && finished {
			return drain(response.Body)
		}
		var decoded chunk
		if err := json.Unmarshal(data, &decoded); err != nil {
			return fmt.Errorf("decoding chunk of response to %q: %w", r.Arrival.Request, err)
		}
		for _, c := range decoded.Choices {
			text.WriteString(c.Delta.Content)
			finished = finished || c.Finish != ""
			if c.Delta.Content != "" {
				r.ChunkTimes = append(r.ChunkTimes, time.Now())
			}
		}
	}
	if err := events.Err(); err != nil {
		return fmt.Errorf("reading response to %q: %w", r.Arrival.Request, err)
	}
	return fmt.Errorf("response to %q ended before its final chunk and [DONE] event", r.Arrival.Request)
}

// drain reads the body to its end; net/http sets trailers only then.
func drain(body io.Reader) error {
	if _, err := io.Copy(io.Discard, io.LimitReader(body, maxErrorBody)); err != nil {
		return fmt.Errorf("reading end of response: %w", err)
	}
	return nil
}

func readErrorResponse(response *http.Response) (Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	if err != nil {
		return OutcomeInterrupted, fmt.Errorf("reading error response: %w", err)
	}
	var r errorBody
	if err := json.Unmarshal(body, &r); err != nil {
		return OutcomeFailed, fmt.Errorf("status %d without a JSON body: %w", response.StatusCode, err)
	}
	err = errors.Errorf("status %d, code %q, ran %q", response.StatusCode, r.Error.Code, r.Error.Ran)
	if r.Error.Ran == "no" {
		return OutcomeRefused, err
	}
	return OutcomeFailed, err
}

// readCost returns the cost from the header, or from the trailer after the body
// has been read. It returns 0 if neither holds a number.
func readCost(response *http.Response) ident.Micros {
	text := response.Header.Get("X-Cost-Micros")
	if text == "" {
		text = response.Trailer.Get("X-Cost-Micros")
	}
	cost, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return ident.Micros(cost)
}

func newRequest(ctx context.Context, a Arrival) (*http.Request, error) {
	url := a.Target + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(a.Body))
	if err != nil {
		return nil, fmt.Errorf("creating request for %q: %w", url, err)
	}
	request.GetBody = nil // prevents net/http from sending the request again
	h := request.Header
	h.Set("Content-Type", "application/json")
	h.Set("Authorization", "Bearer "+a.Team.Key)
	h.Set("X-Request-Id", string(a.Request))
	if a.Session != "" {
		h.Set("X-Session-Id", string(a.Session))
	}
	if a.Kind.Class != "" {
		h.Set("X-Class", string(a.Kind.Class))
	}
	if a.Deadline > 0 {
		h.Set("X-Deadline-Ms", strconv.FormatInt(a.Deadline.Milliseconds(), 10))
	}
	return request, nil
}
