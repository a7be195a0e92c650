package flow

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Event is something that happened to a request.
type Event interface {
	event()
}

// Begin starts the flow.
type Start struct{}

// Admitted means that the request may start.
type Admitted struct{}

// Denied means that a step was refused for good: admission, plan or binding.
// Nothing was sent for it.
type Denied struct{ Refusal Refusal }

// Planned gives the models to try, in order.
type ModelsPlanned struct{ Steps []CascadeStep }

// Rung is one model of a cascade.
type CascadeStep struct {
	Index       int // within the plan
	Model       ident.ModelID
	RatedBefore bool // its answer is rated before it is passed on
	RatedAfter  bool // its answer is rated after it was passed on
	Fallback    bool // tried only when the rungs before had no capacity
}

// Bound gives the version that the session keeps.
type VersionResolved struct{ Meta Meta }

// Claimed answers Claim.
type KeyClaimed struct{ Result shard.Result }

// Guarded answers Guard.
type BodyChecked struct {
	Allowed    bool
	Isolated   bool
	Refused    bool // the body has crashed too many endpoints
	RetryAfter time.Duration
}

// Placed names an endpoint that may be sent to now.
type EndpointSelected struct {
	Endpoint *fleet.Endpoint
	Expected time.Duration // time to the first token, for hedging; 0 for none
	Cold     bool          // a permit is held for the attempt
}

// Full means that suitable endpoints exist, but none has room before After.
type EndpointsBusy struct{ RetryAfter time.Duration }

// Barren means that no endpoint serves the release or service at all now.
type NoEndpoint struct {
	Withdrawn  bool
	MayReturn  bool // one may be back soon
	RetryAfter time.Duration
}

// Received brings one frame of an attempt.
type FrameReceived struct{ Frame engine.Frame }

// Ended means that an attempt is over. Error is nil if the stream was whole or
// the service answered.
type AttemptEnded struct {
	Attempt ident.AttemptID
	Error   error
	Answer  engine.Answer // of a plain service
}

// Judged answers Rate.
type AnswerRated struct {
	Accept bool
}

// Settled answers Settle.
type BillRecorded struct {
	Durable bool // else the bill waits in memory for the platform
}

// Woken answers Wake.
type TimerFired struct{ Timer Timer }

// Expired means that the request's deadline has passed.
type DeadlineExceeded struct{}

// Left means that the caller is gone.
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
