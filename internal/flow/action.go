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
type RequestAdmission struct{}

// Plan asks for the models to try: Planned or Denied.
type PlanModels struct{}

// Bind asks for the version of a model that the session keeps: Bound or Denied.
type ResolveVersion struct{ Model ident.ModelID }

// Claim asks for the right to run a request that must not run twice: Claimed.
type ClaimKey struct{}

// Unclaim gives the right back, since nothing was sent. It is not answered.
type ReleaseKey struct{}

// Guard asks the home of the body's fingerprint whether the attempt may run:
// Guarded.
type CheckBody struct{ Attempt ident.AttemptID }

// Place asks for an endpoint, with a permit if it is cold: Placed, Full or
// Barren.
type SelectEndpoint struct {
	Attempt  ident.AttemptID
	Release  ident.Release
	Exclude  []ident.EndpointID
	Isolated bool
	Hedge    bool // beside a running attempt
}

// Forgo gives an unused slot on a cold endpoint back. It is not answered.
type ReleaseSlot struct {
	Attempt  ident.AttemptID
	Endpoint *fleet.Endpoint
}

// Dispatch sends an attempt: Received for each frame, then Ended.
type Dispatch struct {
	Attempt    ident.AttemptID
	Endpoint   *fleet.Endpoint
	Release    ident.Release
	ResumeFrom int // frames received already
	Cold       bool
	Expected   time.Duration
}

// Cancel ends an attempt early. Ended still follows.
type Cancel struct{ Attempt ident.AttemptID }

// Open begins the caller's answer. It is not answered.
type OpenResponse struct{ Meta Meta }

// Text passes a piece on to the caller. It is not answered.
type WriteText struct{ Text string }

// Rate asks whether an answer is good enough: Judged.
type RateAnswer struct {
	Step   CascadeStep
	Answer string
	Last   bool // nothing better is left to try
}

// Report tells how an answered attempt went, for ratings and roll-outs. It is
// not answered.
type ReportAnswer struct {
	Step    CascadeStep
	Release ident.Release
	Empty   bool   // the answer had no text
	Answer  string // to be rated in the background, if Rate is set
	Rate    bool
}

// Settle makes the bill and, for a claimed request, its outcome last: Settled.
type RecordBill struct {
	Release        ident.Release
	Usage          engine.Usage
	Cost           ident.Micros
	Attempts       int
	Outcome        *engine.Answer // of a claimed request
	OutcomeUnknown bool           // the claimed request may or may not have run: no bill
}

// Wake asks for Woken after a pause.
type SetTimer struct {
	Timer Timer
	After time.Duration
}

// Timer names what a flow waits for.
type Timer int

// The timers.
const (
	TimerSelect Timer = iota // look for an endpoint again
	TimerCheck               // ask about the body again
	TimerHedge               // start a second attempt
)

// Reply ends the flow with the request's final answer.
type Reply struct{ Result Result }

func (RequestAdmission) action() {}
func (PlanModels) action()       {}
func (ResolveVersion) action()   {}
func (ClaimKey) action()         {}
func (ReleaseKey) action()       {}
func (CheckBody) action()        {}
func (SelectEndpoint) action()   {}
func (ReleaseSlot) action()      {}
func (Dispatch) action()         {}
func (Cancel) action()           {}
func (OpenResponse) action()     {}
func (WriteText) action()        {}
func (RateAnswer) action()       {}
func (ReportAnswer) action()     {}
func (RecordBill) action()       {}
func (SetTimer) action()         {}
func (Reply) action()            {}
