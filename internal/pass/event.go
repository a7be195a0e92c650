package pass

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Event is what happens to a request: Begin, Placed, Unplaced, Headed, Piece,
// Ended, Answered, Broken, Left or Woken.
type Event interface{ event() }

// Begin starts the course.
type Start struct{}

// Placed names the endpoint for an attempt.
type EndpointSelected struct {
	Attempt        Attempt
	Endpoint       *world.Endpoint
	Expected       time.Duration // to the answer or first event
	BaseEstimate   time.Duration // the same without correction by experience
	ServiceTime    time.Duration // of Base, the endpoint's own work on the request
	UncachedTokens ident.Tokens  // of the prompt, expected
}

// Unplaced says that no endpoint may get the attempt now.
type NoEndpoint struct {
	Attempt    Attempt
	RetryAfter time.Duration // when one is expected to
	TooLate    bool          // there are endpoints, but none can answer in time
}

// Headed brings the head of an event stream.
type HeadReceived struct {
	Attempt         Attempt
	Head            ResponseHead
	NextLatency     time.Duration // foreseen to the first event of the next model, if there is one
	NextServiceTime time.Duration // of Next, that model's own work
	NextGeneration  time.Duration // foreseen from its first event to its last
}

// Piece brings one whole event of a stream, with its id.
type EventReceived struct {
	Attempt Attempt
	ID      int64 // NoEvent if it has none
	Data    []byte
}

// Ended says that a stream came to its proper end.
type StreamEnded struct{ Attempt Attempt }

// Answered brings a whole answer that is no stream.
type ResponseReceived struct {
	Attempt Attempt
	Head    ResponseHead
}

// Broken says that an attempt failed without a whole answer.
type AttemptFailed struct {
	Attempt Attempt
	Sent    bool // a part of the request may have reached the endpoint
	Refused bool // the endpoint accepts no connection
}

// Left says that the caller is gone.
type CallerGone struct{}

// Woken answers Wake.
type TimerFired struct{}

func (Start) event()            {}
func (EndpointSelected) event() {}
func (NoEndpoint) event()       {}
func (HeadReceived) event()     {}
func (EventReceived) event()    {}
func (StreamEnded) event()      {}
func (ResponseReceived) event() {}
func (AttemptFailed) event()    {}
func (CallerGone) event()       {}
func (TimerFired) event()       {}
