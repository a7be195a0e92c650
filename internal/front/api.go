// Package front implements the HTTP API for callers: routes compatible with the
// OpenAI API, and the route to services that are not models.
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

// Runner runs decoded requests.
type Runner interface {
	// Run runs one request. It writes the text of the answer to sink as it arrives
	// and returns the final result.
	Run(ctx context.Context, r flow.Request, sink flow.Sink) flow.Result
}

// Limits holds the limits on callers' requests.
type Limits struct {
	BodyBytes   int64         // of a request's body
	HeaderBytes int           // of a request's header
	Requests    int           // maximum number in progress
	IdleTimeout time.Duration // for reading a request, and between requests
}

// API serves the requests of callers.
type API struct {
	runner   Runner
	snapshot func() *fleet.Snapshot
	now      func() time.Time
	limits   Limits
	slots    chan struct{} // holds one element for each request in progress
	log      *zap.Logger
}

// New returns an API that passes requests to runner. The function snapshot returns
// the latest view of the fleet, or nil if there is none yet.
func New(runner Runner, snapshot func() *fleet.Snapshot, now func() time.Time, limits Limits, log *zap.Logger) *API {
	return &API{
		runner:   runner,
		snapshot: snapshot,
		now:      now,
		limits:   limits,
		slots:    make(chan struct{}, limits.Requests),
		log:      log,
	}
}

// Server returns an HTTP server for the API, which the caller starts and shuts down.
func (a *API) Server() *http.Server {
	return &http.Server{
		Handler:           a.handler(),
		MaxHeaderBytes:    a.limits.HeaderBytes,
		ReadHeaderTimeout: a.limits.IdleTimeout,
		ReadTimeout:       a.limits.IdleTimeout,
		IdleTimeout:       a.limits.IdleTimeout,
	}
}

func (a *API) handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = a.handleError
	e.Use(a.recoverPanic)
	e.GET("/v1/models", a.listModels)
	e.POST("/v1/chat/completions", a.chat)
	e.POST("/v1/services/:service/*", a.callService)
	e.POST("/v1/services/:service", a.callService)
	return e
}

// recoverPanic returns a panic of a handler as an error with an unknown outcome, so
// that one request cannot crash the process.
func (a *API) recoverPanic(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		defer func() {
			if p := recover(); p != nil {
				a.log.Error("handler panicked", zap.Any("panic", p), zap.Stack("stack"))
				err = &flow.Refusal{Code: flow.CodeEndpointFailed, Message: "internal error", Ran: flow.RanUnknown}
			}
		}()
		return next(c)
	}
}

// acquireSlot takes a slot for a request, or refuses it if none is free.
func (a *API) acquireSlot() (release func(), err error) {
	select {
	case a.slots <- struct{}{}:
		return func() { <-a.slots }, nil
	default:
		return nil, &flow.Refusal{
			Code:       flow.CodeOverloaded,
			Message:    fmt.Sprintf("this router has %d requests in progress already", a.limits.Requests),
			Ran:        flow.RanNo,
			RetryAfter: time.Second,
		}
	}
}
