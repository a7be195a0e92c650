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

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes.
const (
	OutcomeWhole   Outcome = "whole"
	OutcomeRefused Outcome = "refused" // by an answer that says that nothing ran
	OutcomeFailed  Outcome = "failed"  // by any other error answer
	OutcomeBroken  Outcome = "broken"  // the stream ended early, or no answer came
	OutcomeDropped Outcome = "dropped" // never sent, for Plan.Limit
)

// maxErrorBody bounds what is read of an error answer, in bytes.
const maxErrorBody = 64 << 10

// Answer is what a caller got for one request, and when.
type Answer struct {
	Arrival Arrival
	Outcome Outcome
	Status  int
	Release string // model@version
	Cost    ident.Micros
	Token   string // X-Session-Token
	Moved   string // X-Session-Moved, why the session changed its version
	Text    string
	Frames  []time.Time // arrival of each frame with text
	Ended   time.Time
	Err     error
}

type frame struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
}

type refusal struct {
	Error struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// Send sends one request now and reads its streamed answer to the end.
func Send(ctx context.Context, client *http.Client, arrival Arrival) Answer {
	answer := Answer{Arrival: arrival}
	answer.Outcome, answer.Err = answer.send(ctx, client)
	answer.Ended = time.Now()
	return answer
}

func (a *Answer) send(ctx context.Context, client *http.Client) (Outcome, error) {
	request, err := newRequest(ctx, a.Arrival)
	if err != nil {
		return OutcomeBroken, err
	}
	response, err := client.Do(request)
	if err != nil {
		return OutcomeBroken, fmt.Errorf("sending request %q: %w", a.Arrival.Request, err)
	}
	defer response.Body.Close()
	a.Status = response.StatusCode
	a.Release = response.Header.Get("X-Release")
	a.Token = response.Header.Get("X-Session-Token")
	a.Moved = response.Header.Get("X-Session-Moved")
	if response.StatusCode != http.StatusOK {
		return readRefusal(response)
	}
	err = a.readFrames(response)
	a.Cost = readCost(response)
	if err != nil {
		return OutcomeBroken, err
	}
	return OutcomeWhole, nil
}

// readFrames collects the answer's text; it fails unless both the final frame
// and the end mark came.
func (a *Answer) readFrames(response *http.Response) error {
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	events := ssestream.NewDecoder(response)
	finished := false
	for events.Next() {
		data := bytes.TrimSpace(events.Event().Data)
		if string(data) == "[DONE]" && finished {
			return drain(response.Body)
		}
		var f frame
		if err := json.Unmarshal(data, &f); err != nil {
			return fmt.Errorf("decoding frame of %q: %w", a.Arrival.Request, err)
		}
		for _, c := range f.Choices {
			text.WriteString(c.Delta.Content)
			finished = finished || c.Finish != ""
			if c.Delta.Content != "" {
				a.Frames = append(a.Frames, time.Now())
			}
		}
	}
	if err := events.Err(); err != nil {
		return fmt.Errorf("reading answer to %q: %w", a.Arrival.Request, err)
	}
	return fmt.Errorf("answer to %q ended early", a.Arrival.Request)
}

// drain reads what follows the end mark, without which there are no trailers.
func drain(body io.Reader) error {
	if _, err := io.Copy(io.Discard, io.LimitReader(body, maxErrorBody)); err != nil {
		return fmt.Errorf("reading end of answer: %w", err)
	}
	return nil
}

func readRefusal(response *http.Response) (Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	if err != nil {
		return OutcomeBroken, fmt.Errorf("reading error answer: %w", err)
	}
	var r refusal
	if err := json.Unmarshal(body, &r); err != nil {
		return OutcomeFailed, fmt.Errorf("status %d without a JSON body: %w", response.StatusCode, err)
	}
	err = errors.Errorf("status %d, code %q, ran %q", response.StatusCode, r.Error.Code, r.Error.Ran)
	if r.Error.Ran == "no" {
		return OutcomeRefused, err
	}
	return OutcomeFailed, err
}

// readCost reads the cost from a header, or from a trailer once the answer is
// read.
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
		return nil, fmt.Errorf("making request for %q: %w", url, err)
	}
	request.GetBody = nil // never sent twice
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
