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
	"github.com/marigoldscale/marigoldscale/internal/inlet"
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
		Handler:           track(a.handler()),
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

// begin takes a slot for a request whose body is not bounded by the memory of its
// connection, or refuses it if none is free. The caller calls release at the end.
func (a *API) begin(c echo.Context) (release func(), err error) {
	if inlet.FromRequest(c.Request()) == nil {
		return a.acquireSlot()
	}
	if len(a.slots) == cap(a.slots) {
		return nil, a.noSlot()
	}
	return func() {}, nil
}

// readRequest reads the body of a request. If the memory of its connection is counted, it
// takes the slot only then, so that slow callers don't keep others from theirs; until then
// the memory bounds their number. The caller calls release at the end.
func (a *API) readRequest(c echo.Context) (body []byte, memory flow.Memory, release func(), err error) {
	conn := inlet.FromRequest(c.Request())
	if conn == nil {
		body, err = readBody(c.Request(), a.limits.BodyBytes)
		return body, nil, func() {}, err
	}
	if err := checkContentType(c.Request()); err != nil {
		return nil, nil, nil, err
	}
	body, held, err := a.readBounded(c, conn)
	if err != nil {
		return nil, nil, nil, err
	}
	free, err := a.acquireSlot()
	if err != nil {
		held.Release()
		return nil, nil, nil, err
	}
	return body, held, func() {
		free()
		held.Release()
	}, nil
}

// acquireSlot takes a slot for a request, or refuses it if none is free.
func (a *API) acquireSlot() (release func(), err error) {
	select {
	case a.slots <- struct{}{}:
		return func() { <-a.slots }, nil
	default:
		return nil, a.noSlot()
	}
}

func (a *API) noSlot() *flow.Refusal {
	return &flow.Refusal{
		Code:       flow.CodeOverloaded,
		Message:    fmt.Sprintf("this router has %d requests in progress already", a.limits.Requests),
		Ran:        flow.RanNo,
		RetryAfter: time.Second,
	}
}
