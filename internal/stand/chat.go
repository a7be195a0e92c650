package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

func (e *Engine) routes() http.Handler {
	server := newServer()
	server.POST("/v1/chat/completions", e.serveChat)
	server.GET("/load", e.serveLoad)
	server.GET("/cache", e.serveCache)
	server.POST("/orders", e.serveOrder)
	server.GET("/orders", func(c echo.Context) error { return c.JSON(http.StatusOK, e.LastOrder()) })
	addAdminRoutes(server, e.Faults, e.SetFaults, e.Record)
	return server
}

func (e *Engine) serveChat(c echo.Context) error {
	request, err := readChat(c.Request())
	if err != nil {
		return respondError(c, http.StatusBadRequest, "rejected", "no", err.Error())
	}
	s, err := e.submit(time.Now(), request)
	if err != nil {
		return respondRunError(c, err)
	}
	outcome := OutcomeInterrupted
	defer func() { e.finish(time.Now(), s, outcome) }()
	if s.failed {
		outcome = OutcomeFailed
		return respondError(c, http.StatusInternalServerError, "failed", "unknown", "engine failed")
	}
	outcome = e.streamAnswer(c, s)
	if outcome == OutcomeInterrupted {
		abortConnection()
	}
	return nil
}

// streamAnswer sends the frames of the answer as the batch generates its tokens.
func (e *Engine) streamAnswer(c echo.Context, s *stream) Outcome {
	c.Response().Header().Set(echo.HeaderContentType, "text/event-stream")
	c.Response().WriteHeader(http.StatusOK)
	c.Response().Flush()
	w := newFrameWriter(c.Response(), s)
	for n := s.request.resume; n <= s.answerTokens; n++ {
		if ended := e.awaitFrame(c, s, n); ended != OutcomeRunning {
			return ended
		}
		if err := w.writeFrame(n); err != nil {
			return OutcomeCancelled
		}
		e.countFrame(s)
	}
	if err := w.writeDone(); err != nil {
		return OutcomeCancelled
	}
	return OutcomeComplete
}

// awaitFrame waits until the n-th frame may be sent and returns OutcomeRunning, or
// returns the outcome of the run if it ended. The final frame follows the last token
// without delay.
func (e *Engine) awaitFrame(c echo.Context, s *stream, n int) Outcome {
	sent := n - s.request.resume
	if s.faults.CutAfter > 0 && sent >= s.faults.CutAfter {
		return OutcomeInterrupted
	}
	tokens := s.tokens
	if s.faults.StallAfter > 0 && sent >= s.faults.StallAfter {
		tokens = nil
	} else if n == s.answerTokens && sent > 0 {
		return OutcomeRunning
	}
	select {
	case <-tokens:
	case <-s.interrupted:
		return OutcomeInterrupted
	case <-c.Request().Context().Done():
		return OutcomeCancelled
	}
	if sleep(c.Request().Context(), time.Duration(s.faults.FrameDelay)) != nil {
		return OutcomeCancelled
	}
	return OutcomeRunning
}

func (e *Engine) countFrame(s *stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s.run.Frames++
}

func respondRunError(c echo.Context, err error) error {
	switch {
	case errors.Is(err, errOverloaded):
		return respondError(c, http.StatusServiceUnavailable, "overloaded", "no", err.Error())
	case errors.Is(err, errLeaving):
		return respondError(c, http.StatusGone, "leaving", "no", err.Error())
	case errors.Is(err, errNotLoaded):
		return respondError(c, http.StatusGone, "absent", "no", err.Error())
	}
	abortConnection()
	return nil
}

func readChat(r *http.Request) (chatRequest, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return chatRequest{}, fmt.Errorf("reading chat request: %w", err)
	}
	prompt, err := ParsePrompt(body)
	if err != nil {
		return chatRequest{}, err
	}
	request := chatRequest{
		prompt:  prompt,
		request: ident.RequestID(r.Header.Get("X-Request-Id")),
		attempt: ident.AttemptID(r.Header.Get("X-Attempt-Id")),
	}
	priority, err := numberHeader(r, "X-Priority")
	if err != nil {
		return chatRequest{}, err
	}
	request.priority = fleet.Priority(priority)
	request.resume, err = numberHeader(r, "X-Resume")
	if err != nil {
		return chatRequest{}, err
	}
	if request.resume < 0 || request.resume > prompt.AnswerTokens() {
		return chatRequest{}, fmt.Errorf("cannot resume after %d of %d frames", request.resume, prompt.AnswerTokens()+1)
	}
	return request, readDeadline(r, &request)
}

func readDeadline(r *http.Request, request *chatRequest) error {
	header := r.Header.Get("X-Deadline")
	if header == "" {
		return nil
	}
	deadline, err := time.Parse(time.RFC3339Nano, header)
	if err != nil {
		return fmt.Errorf("reading X-Deadline: %w", err)
	}
	request.deadline = deadline
	if !time.Now().Before(deadline) {
		return errors.New("deadline has passed")
	}
	return nil
}

func numberHeader(r *http.Request, name string) (int, error) {
	header := r.Header.Get(name)
	if header == "" {
		return 0, nil
	}
	number, err := strconv.Atoi(header)
	if err != nil {
		return 0, fmt.Errorf("reading %s: %w", name, err)
	}
	return number, nil
}

func (e *Engine) serveLoad(c echo.Context) error {
	load, err := e.LoadReport(time.Now())
	if err != nil {
		abortConnection()
	}
	return c.JSON(http.StatusOK, load)
}

func (e *Engine) serveCache(c echo.Context) error {
	after, err := strconv.ParseUint("0"+c.QueryParam("after"), 10, 64)
	if err != nil {
		return respondError(c, http.StatusBadRequest, "rejected", "no", "after is not a number")
	}
	page, err := e.Cache(time.Now(), after)
	if err != nil {
		abortConnection()
	}
	return c.JSON(http.StatusOK, page)
}

// Cache returns the published cache events after a sequence number.
func (e *Engine) Cache(now time.Time, after uint64) (CachePage, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.down(now) {
		return CachePage{}, errDown
	}
	return e.cache.page(now, after, e.spec.CacheEventLag), nil
}

func (e *Engine) serveOrder(c echo.Context) error {
	var order Order
	if err := json.NewDecoder(c.Request().Body).Decode(&order); err != nil {
		return respondError(c, http.StatusBadRequest, "rejected", "no", err.Error())
	}
	err := e.Order(time.Now(), order)
	switch {
	case errors.Is(err, errDown):
		abortConnection()
	case errors.Is(err, errStaleFence):
		return respondError(c, http.StatusConflict, "fenced", "no", err.Error())
	case err != nil:
		return respondError(c, http.StatusBadRequest, "rejected", "no", err.Error())
	}
	return c.JSON(http.StatusOK, order)
}
