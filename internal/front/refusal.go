package front

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/flow"
)

// errorBody is the JSON body of every error response, in the format of the OpenAI
// API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message          string `json:"message"`
	Type             string `json:"type"`
	Code             string `json:"code"`
	Ran              string `json:"ran"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
}

// handleError responds with the JSON body of an error.
func (a *API) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	refusal := toRefusal(err)
	boundUnread(c)
	setRefusalHeaders(c.Response().Header(), refusal)
	if err := c.JSON(httpStatus(refusal.Code), newErrorBody(refusal)); err != nil {
		a.log.Debug("writing refusal", zap.Error(err))
	}
}

func newErrorBody(r *flow.Refusal) errorBody {
	return errorBody{Error: errorDetail{
		Message:          r.Message,
		Type:             errorType(r.Code),
		Code:             string(r.Code),
		Ran:              string(r.Ran),
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
	}}
}

func setRefusalHeaders(header http.Header, r *flow.Refusal) {
	header.Set("X-Ran", string(r.Ran))
	// The official OpenAI clients retry some errors unless this header forbids it.
	header.Set("X-Should-Retry", strconv.FormatBool(r.Ran == flow.RanNo && r.RetryAfter > 0))
	if r.RetryAfter <= 0 {
		return
	}
	header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	header.Set("Retry-After-Ms", strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
}

func toRefusal(err error) *flow.Refusal {
	var refusal *flow.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var echoError *echo.HTTPError
	if errors.As(err, &echoError) {
		return echoRefusal(echoError)
	}
	return &flow.Refusal{Code: flow.CodeEndpointFailed, Message: err.Error(), Ran: flow.RanUnknown}
}

// echoRefusal returns the refusal for an error of echo itself, which always occurs
// before a handler runs.
func echoRefusal(e *echo.HTTPError) *flow.Refusal {
	code := flow.CodeInvalid
	if e.Code == http.StatusNotFound {
		code = flow.CodeNotFound
	}
	return &flow.Refusal{Code: code, Message: http.StatusText(e.Code), Ran: flow.RanNo}
}

func httpStatus(code flow.Code) int {
	switch code {
	case flow.CodeInvalid:
		return http.StatusBadRequest
	case flow.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case flow.CodeUnauthorized:
		return http.StatusUnauthorized
	case flow.CodeForbidden:
		return http.StatusForbidden
	case flow.CodeNotFound:
		return http.StatusNotFound
	case flow.CodeStillRunning, flow.CodeWithdrawn, flow.CodeOutcomeUnknown:
		return http.StatusConflict
	case flow.CodeCrashesEndpoints:
		return http.StatusUnprocessableEntity
	case flow.CodeRateLimited:
		return http.StatusTooManyRequests
	case flow.CodeDeadline:
		return http.StatusGatewayTimeout
	case flow.CodeEndpointFailed:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

func errorType(code flow.Code) string {
	switch httpStatus(code) / 100 {
	case 4:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

func invalid(message string) *flow.Refusal {
	return &flow.Refusal{Code: flow.CodeInvalid, Message: message, Ran: flow.RanNo}
}

func notReady() *flow.Refusal {
	return &flow.Refusal{
		Code:       flow.CodeNotReady,
		Message:    "this router has no configuration that was confirmed as current",
		Ran:        flow.RanNo,
		RetryAfter: time.Second,
	}
}
