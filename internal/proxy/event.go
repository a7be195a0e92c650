package proxy

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Event is an input of the state machine: Start, EndpointSelected, NoEndpoint,
// FoundFatal, HeadReceived, EventReceived, StreamEnded, ResponseReceived, AttemptFailed,
// LateHead, CallerGone or TimerFired.
type Event interface{ event() }

// Start starts the request.
type Start struct{}

// EndpointSelected names the endpoint for an attempt.
type EndpointSelected struct {
	Attempt        Attempt
	Endpoint       *world.Endpoint
	Expected       time.Duration // predicted latency of the response or first event
	BaseEstimate   time.Duration // Expected before correction by observed latencies
	ServiceTime    time.Duration // part of BaseEstimate spent processing, without queueing
	UncachedTokens ident.Tokens  // predicted prompt tokens missing from the prefix cache
	// Handoff reports that Endpoint stands for another router, to which the request is
	// handed over. That router makes the attempts.
	Handoff bool
}

// NoEndpoint reports that no endpoint can take the attempt now.
type NoEndpoint struct {
	Attempt    Attempt
	RetryAfter time.Duration // until one is expected to, 0 if unknown
	TooLate    bool          // endpoints exist, but none can answer before the deadline
	Limited    bool          // endpoints exist, but their limits are used up
	Fatal      Reason        // why the request is not run again: it has crashed endpoints; "" if it has not
}

// FoundFatal reports, at any time, that the request is not to be run again since it
// crashes endpoints.
type FoundFatal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// HeadReceived carries the response head of an event stream.
type HeadReceived struct {
	Attempt         Attempt
	Head            ResponseHead
	NextLatency     time.Duration // predicted time to the first event of the cascade's next model, if any
	NextServiceTime time.Duration // part of NextLatency spent processing, without queueing
	NextGeneration  time.Duration // predicted time from its first event to its last
}

// EventReceived carries one complete event of a stream.
type EventReceived struct {
	Attempt Attempt
	ID      int64 // NoEvent if it has none
	Data    []byte
}

// StreamEnded reports that a stream ended properly.
type StreamEnded struct{ Attempt Attempt }

// ResponseReceived carries a complete response that is not a stream.
type ResponseReceived struct {
	Attempt Attempt
	Head    ResponseHead
}

// AttemptFailed reports that an attempt ended without a complete response.
type AttemptFailed struct {
	Attempt Attempt
	Sent    bool // part of the request may have reached the endpoint
	Refused bool // the connection was not established
	// Rejected tells that it was rejected at once, as where no process listens.
	Rejected bool
}

// LateHead carries the head of a response to an attempt that was cancelled before it came.
// The state machine ignores it.
type LateHead struct {
	Attempt Attempt
	Head    ResponseHead
}

// CallerGone reports that the caller closed the connection.
type CallerGone struct{}

// TimerFired answers SetTimer.
type TimerFired struct{}

func (Start) event()            {}
func (EndpointSelected) event() {}
func (NoEndpoint) event()       {}
func (FoundFatal) event()       {}
func (HeadReceived) event()     {}
func (EventReceived) event()    {}
func (StreamEnded) event()      {}
func (ResponseReceived) event() {}
func (AttemptFailed) event()    {}
func (LateHead) event()         {}
func (CallerGone) event()       {}
func (TimerFired) event()       {}
