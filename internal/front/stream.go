package front

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/flow"
)

// eventWriteTimeout is the longest time that a slow client may take to read one
// event.
const eventWriteTimeout = 20 * time.Second

// respondStream runs a request and responds with server-sent events.
func (a *API) respondStream(c echo.Context, r flow.Request) error {
	s := newEventStream(c.Response(), r, a.now)
	result := a.runner.Run(c.Request().Context(), r, s)
	if !s.opened {
		if result.Refusal != nil {
			setMetaHeaders(c.Response().Header(), result.Meta)
			return result.Refusal
		}
		if err := s.Open(result.Meta); err != nil {
			return err
		}
	}
	if err := s.finish(result); err != nil {
		a.log.Debug("finishing stream", zap.String("request", string(r.Key.Request)), zap.Error(err))
	}
	return nil
}

// eventStream is a flow.Sink that writes server-sent events.
type eventStream struct {
	response *echo.Response
	control  *http.ResponseController
	request  flow.Request
	now      func() time.Time
	model    string
	created  int64
	opened   bool
}

func newEventStream(response *echo.Response, r flow.Request, now func() time.Time) *eventStream {
	return &eventStream{
		response: response,
		control:  http.NewResponseController(response.Writer),
		request:  r,
		now:      now,
		created:  now().Unix(),
	}
}

// Open implements flow.Sink. It sends the response header.
func (s *eventStream) Open(m flow.Meta) error {
	header := s.response.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("Trailer", "X-Cost-Micros")
	setMetaHeaders(header, m)
	s.model = m.Release.String()
	s.opened = true
	s.response.WriteHeader(http.StatusOK)
	return s.flush()
}

// Text implements flow.Sink. It sends one chunk of the answer.
func (s *eventStream) Text(text string) error {
	return s.sendJSON(s.chunk(&message{Content: text}, nil, nil))
}

// finish sends the final chunk, or the error that ended the answer.
func (s *eventStream) finish(result flow.Result) error {
	if result.Refusal != nil {
		if err := s.sendJSON(newErrorBody(result.Refusal)); err != nil {
			return err
		}
		return nil // no end marker is sent, which marks the answer as incomplete
	}
	last := s.chunk(&message{}, &result.FinishReason, newUsage(result))
	if err := s.sendJSON(last); err != nil {
		return err
	}
	if err := s.write([]byte("[DONE]")); err != nil {
		return err
	}
	s.response.Header().Set("X-Cost-Micros", strconv.FormatInt(int64(result.Cost), 10))
	return nil
}

func (s *eventStream) chunk(delta *message, finish *string, u *usage) completion {
	return completion{
		ID:      string(s.request.Key.Request),
		Object:  "chat.completion.chunk",
		Created: s.created,
		Model:   s.model,
		Choices: []choice{{Delta: delta, Finish: finish}},
		Usage:   u,
	}
}

func (s *eventStream) sendJSON(event any) error {
	data, err := json.Marshal(event)
	if err != nil {
		return fmt.Errorf("encoding event: %w", err)
	}
	return s.write(data)
}

func (s *eventStream) write(data []byte) error {
	if err := s.control.SetWriteDeadline(s.now().Add(eventWriteTimeout)); err != nil {
		return fmt.Errorf("setting write deadline: %w", err)
	}
	if _, err := fmt.Fprintf(s.response, "data: %s\n\n", data); err != nil {
		return fmt.Errorf("writing event: %w", err)
	}
	return s.flush()
}

func (s *eventStream) flush() error {
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("flushing event: %w", err)
	}
	return nil
}
