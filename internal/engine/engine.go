// Package engine drives one attempt on a model engine or plain service over
// its published HTTP protocol.
package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// The errors that callers of Engine tell apart by errors.Is.
var (
	// ErrNotSent means that nothing left this router.
	ErrNotSent = errors.New("request was not sent")
	// ErrNotRun means that the endpoint itself says that it ran nothing.
	ErrNotRun = errors.New("endpoint did not run the request")
	// ErrBroken means that the connection broke after something was sent.
	ErrConnectionBroken = errors.New("connection to the endpoint broke")
	// ErrOverloaded means that the endpoint refused the request as too much; it
	// ran nothing.
	ErrOverloaded = errors.New("endpoint is overloaded")
	// ErrLeaving means that the endpoint takes no new work; it ran nothing.
	ErrLeaving = errors.New("endpoint is leaving")
	// ErrFenced means that the endpoint refused an order for its old fence.
	ErrFenced = errors.New("order carries an old fence")
	// ErrRejected means that the endpoint found the request itself at fault.
	ErrRejected = errors.New("endpoint rejected the request")
)

// Run is one attempt at a request.
type Attempt struct {
	Address  string
	ID  ident.AttemptID
	RequestID  ident.RequestID
	Release  ident.Release
	Body     []byte // the caller's JSON body
	Path     string // below /call/, for a plain service
	IdempotencyKey      string // idempotency key, for a plain service
	ResumeFrom   int    // frames already received, to go on after them
	Priority fleet.Priority
	Deadline time.Time
	TraceParent    string // W3C traceparent
}

// Frame is one piece of a streamed answer.
type Frame struct {
	Request  ident.RequestID
	Attempt  ident.AttemptID
	Sequence int    // from 0, counted over the whole answer
	Text     string // the piece of the answer
	Final    bool
	Usage    Usage // set on the final frame
	FinishReason   string
}

// Usage counts the tokens of an answer.
type Usage struct {
	Prompt ident.Tokens
	Answer ident.Tokens
}

// Answer is the whole answer of a plain service.
type Answer struct {
	Status int // HTTP status; errors of the service itself are answers too
	ContentType   string
	Body   []byte
}

// Engine runs requests on endpoints.
type Engine interface {
	// Stream runs one attempt and hands each frame to emit in the order of
	// arrival, until the final frame, an error of emit or the end of ctx, which
	// cancels the run on the endpoint. Frames that are not of this attempt are
	// handed on too; the caller drops them.
	Stream(ctx context.Context, run Attempt, emit func(Frame) error) error
	// Call runs one attempt on a plain service and gives its whole answer.
	Call(ctx context.Context, run Attempt) (Answer, error)
}
