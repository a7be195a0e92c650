// Package engine sends attempts to model engines, and to services that are not
// models, over their HTTP protocol.
package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Errors returned by Engine, to be tested with errors.Is.
var (
	// ErrNotSent is returned if nothing was sent to the endpoint.
	ErrNotSent = errors.New("request was not sent")
	// ErrNotRun is returned if the endpoint reports that it did not run the request.
	ErrNotRun = errors.New("endpoint did not run the request")
	// ErrConnectionBroken is returned if the connection broke after something was
	// sent, or if the endpoint failed without reporting whether it ran the request.
	ErrConnectionBroken = errors.New("connection to the endpoint broke")
	// ErrOverloaded is returned if the endpoint is overloaded and did not run the
	// request.
	ErrOverloaded = errors.New("endpoint is overloaded")
	// ErrLeaving is returned if the endpoint accepts no new work. It did not run the
	// request.
	ErrLeaving = errors.New("endpoint is leaving")
	// ErrFenced is returned if the endpoint refused a command because its term, the
	// fencing token, is outdated.
	ErrFenced = errors.New("command has an outdated term")
	// ErrRejected is returned if the endpoint rejected the request as invalid. It did
	// not run the request.
	ErrRejected = errors.New("endpoint rejected the request")
)

// Attempt is one attempt to run a request on an endpoint.
type Attempt struct {
	Address        string
	ID             ident.AttemptID
	RequestID      ident.RequestID
	Release        ident.Release
	Body           []byte // the caller's JSON body
	Path           string // below /call/, for a service that is not a model
	IdempotencyKey string // for a service that is not a model
	ResumeFrom     int    // number of frames already received
	Priority       fleet.Priority
	Deadline       time.Time
	TraceParent    string // W3C traceparent
}

// Frame is one chunk of a streamed answer.
type Frame struct {
	Request      ident.RequestID
	Attempt      ident.AttemptID
	Sequence     int // position in the answer, starting at 0
	Text         string
	Final        bool
	Usage        Usage // set on the final frame
	FinishReason string
}

// Usage is the number of tokens of the prompt and the answer.
type Usage struct {
	Prompt ident.Tokens
	Answer ident.Tokens
}

// Answer is the complete answer of a service that is not a model.
type Answer struct {
	Status      int // HTTP status; an error of the service itself is an answer too
	ContentType string
	Body        []byte
}

// Engine runs requests on endpoints.
type Engine interface {
	// Stream runs one attempt and passes each frame to emit in the order of arrival,
	// until the stream ends, emit returns an error or ctx ends, which cancels the
	// attempt on the endpoint. Frames of other attempts are passed to emit too; the
	// caller must drop them.
	Stream(ctx context.Context, attempt Attempt, emit func(Frame) error) error
	// Call runs one attempt on a service that is not a model and returns the complete
	// answer.
	Call(ctx context.Context, attempt Attempt) (Answer, error)
}
