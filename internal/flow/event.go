package flow

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Event is an input of the state machine.
type Event interface {
	event()
}

// Start starts the request.
type Start struct{}

// Admitted reports that the request may start.
type Admitted struct{}

// Denied reports that admission, planning or version resolution was refused
// permanently. Nothing was sent for the request.
type Denied struct{ Refusal Refusal }

// ModelsPlanned lists the models to try, in order.
type ModelsPlanned struct{ Steps []CascadeStep }

// CascadeStep is one model of a cascade.
type CascadeStep struct {
	Index       int // position within the plan
	Model       ident.ModelID
	RatedBefore bool // its answer is rated before it is forwarded
	RatedAfter  bool // its answer is rated after it was forwarded
	Fallback    bool // tried only if the steps before have no capacity
}

// VersionResolved carries the resolved version and the session token.
type VersionResolved struct{ Meta Meta }

// KeyClaimed answers ClaimKey.
type KeyClaimed struct{ Result shard.Result }

// BodyChecked answers CheckBody.
type BodyChecked struct {
	Allowed    bool
	Isolated   bool
	Refused    bool // the body has crashed too many endpoints and must not run
	RetryAfter time.Duration
}

// EndpointSelected names an endpoint to which the attempt may be sent now.
type EndpointSelected struct {
	Endpoint *fleet.Endpoint
	Expected time.Duration // time to the first token, for hedging; 0 if unknown
	Cold     bool          // a permit is held for the attempt
}

// EndpointsBusy reports that suitable endpoints exist, but none is expected to
// have capacity before RetryAfter has passed.
type EndpointsBusy struct{ RetryAfter time.Duration }

// NoEndpoint reports that no endpoint serves the release or service now.
type NoEndpoint struct {
	Withdrawn  bool
	MayReturn  bool // an endpoint may return soon
	RetryAfter time.Duration
}

// FrameReceived carries one frame of an attempt.
type FrameReceived struct{ Frame engine.Frame }

// AttemptEnded reports the end of an attempt. Error is nil if the stream ended
// properly or the service answered.
type AttemptEnded struct {
	Attempt ident.AttemptID
	Error   error
	Answer  engine.Answer // of a service that is not a model
}

// AnswerRated answers RateAnswer.
type AnswerRated struct {
	Accept bool
}

// BillRecorded answers RecordBill.
type BillRecorded struct {
	Durable bool // false if the bill is buffered in memory until the platform accepts it
}

// TimerFired answers SetTimer.
type TimerFired struct{ Timer Timer }

// DeadlineExceeded reports that the request's deadline has passed.
type DeadlineExceeded struct{}

// CallerGone reports that the caller has disconnected.
type CallerGone struct{}

func (Start) event()            {}
func (Admitted) event()         {}
func (Denied) event()           {}
func (ModelsPlanned) event()    {}
func (VersionResolved) event()  {}
func (KeyClaimed) event()       {}
func (BodyChecked) event()      {}
func (EndpointSelected) event() {}
func (EndpointsBusy) event()    {}
func (NoEndpoint) event()       {}
func (FrameReceived) event()    {}
func (AttemptEnded) event()     {}
func (AnswerRated) event()      {}
func (BillRecorded) event()     {}
func (TimerFired) event()       {}
func (DeadlineExceeded) event() {}
func (CallerGone) event()       {}
