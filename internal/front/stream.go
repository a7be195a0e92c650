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

// writeTimeout bounds the time that a slow reader may take for one event.
const writeTimeout = 20 * time.Second

// stream answers with server-sent events.
func (f *API) stream(c echo.Context, r flow.Request) error {
	s := newStream(c.Response(), r, f.now)
	result := f.runner.Run(c.Request().Context(), r, s)
	if !s.open {
		if result.Refusal != nil {
			setMetaHeaders(c.Response().Header(), result.Meta)
			return result.Refusal
		}
		if err := s.Open(result.Meta); err != nil {
			return err
		}
	}
	if err := s.finish(result); err != nil {
		f.log.Debug("finishing stream", zap.String("request", string(r.Key.Request)), zap.Error(err))
	}
	return nil
}

// events writes an answer as server-sent events.
type events struct {
	response *echo.Response
	control  *http.ResponseController
	request  flow.Request
	now      func() time.Time
	model    string
	created  int64
	open     bool
}

func newStream(response *echo.Response, r flow.Request, now func() time.Time) *events {
	return &events{
		response: response,
		control:  http.NewResponseController(response.Writer),
		request:  r,
		now:      now,
		created:  now().Unix(),
	}
}

// Open implements flow.Sink: it sends the header.
func (s *events) Open(m flow.Meta) error {
	header := s.response.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("Trailer", "X-Cost-Micros")
	setMetaHeaders(header, m)
	s.model = m.Release.String()
	s.open = true
	s.response.WriteHeader(http.StatusOK)
	return s.flush()
}

// Text implements flow.Sink: it sends one piece of the answer.
func (s *events) Text(text string) error {
	return s.send(s.chunk(&message{Content: text}, nil, nil))
}

// finish sends the final piece, or the error that ended the answer.
func (s *events) finish(result flow.Result) error {
	if result.Refusal != nil {
		if err := s.send(newErrorBody(result.Refusal)); err != nil {
			return err
		}
		return nil // without the end marker the answer is seen to be incomplete
	}
	last := s.chunk(&message{}, &result.FinishReason, newUsage(result))
	if err := s.send(last); err != nil {
		return err
	}
	if err := s.write([]byte("[DONE]")); err != nil {
		return err
	}
	s.response.Header().Set("X-Cost-Micros", strconv.FormatInt(int64(result.Cost), 10))
	return nil
}

func (s *events) chunk(delta *message, finish *string, u *usage) completion {
	return completion{
		ID:      string(s.request.Key.Request),
		Object:  "chat.completion.chunk",
		Created: s.created,
		Model:   s.model,
		Choices: []choice{{Delta: delta, Finish: finish}},
		Usage:   u,
	}
}

func (s *events) send(event any) error {
	data, err := json.Marshal(event)
	if err != nil {
		return fmt.Errorf("encoding event: %w", err)
	}
	return s.write(data)
}

func (s *events) write(data []byte) error {
	if err := s.control.SetWriteDeadline(s.now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("setting write deadline: %w", err)
	}
	if _, err := fmt.Fprintf(s.response, "data: %s\n\n", data); err != nil {
		return fmt.Errorf("writing event: %w", err)
	}
	return s.flush()
}

func (s *events) flush() error {
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("flushing event: %w", err)
	}
	return nil
}
