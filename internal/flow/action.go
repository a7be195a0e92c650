package flow

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Action is something that the driver of a flow is to do. Actions that ask
// for something are answered by one event.
type Action interface {
	action()
}

// Ask asks for admission: Admitted or Denied.
type Ask struct{}

// Plan asks for the models to try: Planned or Denied.
type Plan struct{}

// Bind asks for the version of a model that the session keeps: Bound or Denied.
type Bind struct{ Model ident.ModelID }

// Claim asks for the right to run a request that must not run twice: Claimed.
type Claim struct{}

// Unclaim gives the right back, since nothing was sent. It is not answered.
type Unclaim struct{}

// Guard asks the home of the body's fingerprint whether the attempt may run:
// Guarded.
type Guard struct{ Attempt ident.AttemptID }

// Place asks for an endpoint, with a permit if it is cold: Placed, Full or
// Barren.
type Place struct {
	Attempt ident.AttemptID
	Release ident.Release
	Exclude []ident.EndpointID
	Alone   bool
	Hedge   bool // beside a running attempt
}

// Forgo gives an unused slot on a cold endpoint back. It is not answered.
type Forgo struct {
	Attempt  ident.AttemptID
	Endpoint *fleet.Endpoint
}

// Dispatch sends an attempt: Received for each frame, then Ended.
type Dispatch struct {
	Attempt  ident.AttemptID
	Endpoint *fleet.Endpoint
	Release  ident.Release
	Resume   int // frames received already
	Cold     bool
	Expected time.Duration
}

// Cancel ends an attempt early. Ended still follows.
type Cancel struct{ Attempt ident.AttemptID }

// Open begins the caller's answer. It is not answered.
type Open struct{ Meta Meta }

// Text passes a piece on to the caller. It is not answered.
type Text struct{ Text string }

// Rate asks whether an answer is good enough: Judged.
type Rate struct {
	Rung   Rung
	Answer string
	Last   bool // nothing better is left to try
}

// Report tells how an answered attempt went, for ratings and roll-outs. It is
// not answered.
type Report struct {
	Rung    Rung
	Release ident.Release
	Empty   bool   // the answer had no text
	Answer  string // to be rated in the background, if Rate is set
	Rate    bool
}

// Settle makes the bill and, for a claimed request, its outcome last: Settled.
type Settle struct {
	Release  ident.Release
	Usage    engine.Usage
	Cost     ident.Micros
	Attempts int
	Outcome  *engine.Answer // of a claimed request
	Unknown  bool           // the claimed request may or may not have run: no bill
}

// Wake asks for Woken after a pause.
type Wake struct {
	Timer Timer
	After time.Duration
}

// Timer names what a flow waits for.
type Timer int

// The timers.
const (
	TimerPlace Timer = iota // look for an endpoint again
	TimerGuard              // ask about the body again
	TimerHedge              // start a second attempt
)

// Reply ends the flow with the request's final answer.
type Reply struct{ Result Result }

func (Ask) action()      {}
func (Plan) action()     {}
func (Bind) action()     {}
func (Claim) action()    {}
func (Unclaim) action()  {}
func (Guard) action()    {}
func (Place) action()    {}
func (Forgo) action()    {}
func (Dispatch) action() {}
func (Cancel) action()   {}
func (Open) action()     {}
func (Text) action()     {}
func (Rate) action()     {}
func (Report) action()   {}
func (Settle) action()   {}
func (Wake) action()     {}
func (Reply) action()    {}
