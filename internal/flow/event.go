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
type Begin struct{}

// Admitted means that the request may start.
type Admitted struct{}

// Denied means that a step was refused for good: admission, plan or binding.
// Nothing was sent for it.
type Denied struct{ Refusal Refusal }

// Planned gives the models to try, in order.
type Planned struct{ Rungs []Rung }

// Rung is one model of a cascade.
type Rung struct {
	Index    int // within the plan
	Model    ident.ModelID
	Rated    bool // its answer is rated before it is passed on
	Kept     bool // its answer is rated after it was passed on
	Fallback bool // tried only when the rungs before had no capacity
}

// Bound gives the version that the session keeps.
type Bound struct{ Meta Meta }

// Claimed answers Claim.
type Claimed struct{ Result shard.Result }

// Guarded answers Guard.
type Guarded struct {
	Allowed bool
	Alone   bool
	Refused bool // the body has crashed too many endpoints
	After   time.Duration
}

// Placed names an endpoint that may be sent to now.
type Placed struct {
	Endpoint *fleet.Endpoint
	Expected time.Duration // time to the first token, for hedging; 0 for none
	Cold     bool          // a permit is held for the attempt
}

// Full means that suitable endpoints exist, but none has room before After.
type Full struct{ After time.Duration }

// Barren means that no endpoint serves the release or service at all now.
type Barren struct {
	Withdrawn bool
	Back      bool // one may be back soon
	After     time.Duration
}

// Received brings one frame of an attempt.
type Received struct{ Frame engine.Frame }

// Ended means that an attempt is over. Error is nil if the stream was whole or
// the service answered.
type Ended struct {
	Attempt ident.AttemptID
	Error   error
	Answer  engine.Answer // of a plain service
}

// Judged answers Rate.
type Judged struct {
	Accept bool
}

// Settled answers Settle.
type Settled struct {
	Durable bool // else the bill waits in memory for the platform
}

// Woken answers Wake.
type Woken struct{ Timer Timer }

// Expired means that the request's deadline has passed.
type Expired struct{}

// Left means that the caller is gone.
type Left struct{}

func (Begin) event()    {}
func (Admitted) event() {}
func (Denied) event()   {}
func (Planned) event()  {}
func (Bound) event()    {}
func (Claimed) event()  {}
func (Guarded) event()  {}
func (Placed) event()   {}
func (Full) event()     {}
func (Barren) event()   {}
func (Received) event() {}
func (Ended) event()    {}
func (Judged) event()   {}
func (Settled) event()  {}
func (Woken) event()    {}
func (Expired) event()  {}
func (Left) event()     {}
