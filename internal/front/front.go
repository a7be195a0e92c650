// Package front is the callers' API: the OpenAI-style chat routes and the
// route to plain services, over HTTP.
package front

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/flow"
)

// Runner answers decoded requests.
type Runner interface {
	// Run answers one request. Pieces of the answer go to sink as they come; the
	// result is final.
	Run(ctx context.Context, r flow.Request, sink flow.Sink) flow.Result
}

// Limits bounds what a caller may send.
type Limits struct {
	BodyBytes    int64 // bytes of a request's body
	HeaderBytes  int   // bytes of a request's header
	Requests int   // requests in progress at once
	IdleTimeout    time.Duration
}

// Front serves callers.
type API struct {
	runner   Runner
	snapshot func() *fleet.Snapshot
	now      func() time.Time
	limits   Limits
	open     chan struct{} // one token for each request in progress
	log      *zap.Logger
}

// New makes the callers' API over a runner; snapshot gives the newest view of
// the fleet, or nil before there is one.
func New(runner Runner, snapshot func() *fleet.Snapshot, now func() time.Time, limits Limits, log *zap.Logger) *API {
	return &API{
		runner:   runner,
		snapshot: snapshot,
		now:      now,
		limits:   limits,
		open:     make(chan struct{}, limits.Requests),
		log:      log,
	}
}

// Server makes the HTTP server of the callers' API; the caller serves and
// shuts it down.
func (f *API) Server() *http.Server {
	return &http.Server{
		Handler:           f.handler(),
		MaxHeaderBytes:    f.limits.HeaderBytes,
		ReadHeaderTimeout: f.limits.IdleTimeout,
		ReadTimeout:       f.limits.IdleTimeout,
		IdleTimeout:       f.limits.IdleTimeout,
	}
}

func (f *API) handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = f.handleError
	e.Use(f.recoverPanic)
	e.GET("/v1/models", f.models)
	e.POST("/v1/chat/completions", f.chat)
	e.POST("/v1/services/:service/*", f.call)
	e.POST("/v1/services/:service", f.call)
	return e
}

// recoverPanic turns a panic in a handler into an error whose outcome is
// unknown, so that one bad request does not end the process.
func (f *API) recoverPanic(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		defer func() {
			if p := recover(); p != nil {
				f.log.Error("handler panicked", zap.Any("panic", p), zap.Stack("stack"))
				err = &flow.Refusal{Code: flow.CodeEndpointFailed, Message: "internal error", Ran: flow.RanUnknown}
			}
		}()
		return next(c)
	}
}

// enter takes a place among the requests in progress, or refuses.
func (f *API) enter() (leave func(), err error) {
	select {
	case f.open <- struct{}{}:
		return func() { <-f.open }, nil
	default:
		return nil, &flow.Refusal{
			Code:       flow.CodeOverloaded,
			Message:    fmt.Sprintf("this router has %d requests in progress already", f.limits.Requests),
			Ran:        flow.RanNo,
			RetryAfter: time.Second,
		}
	}
}
