package flow

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Action is an instruction to the driver of a Machine. Actions that request
// something are answered by one event.
type Action interface {
	action()
}

// RequestAdmission requests admission. The answer is Admitted or Denied.
type RequestAdmission struct{}

// PlanModels requests the models to try. The answer is ModelsPlanned or Denied.
type PlanModels struct{}

// ResolveVersion requests the model version to use, which is fixed for a session.
// The answer is VersionResolved or Denied.
type ResolveVersion struct{ Model ident.ModelID }

// ClaimKey requests the exclusive right to run a non-idempotent request. The
// answer is KeyClaimed.
type ClaimKey struct{}

// ReleaseKey releases the claim of a request that did not run. It is not answered.
type ReleaseKey struct{}

// CheckBody asks the router that owns the body's fingerprint whether the attempt
// may run, since some bodies crash endpoints. The answer is BodyChecked.
type CheckBody struct{ Attempt ident.AttemptID }

// SelectEndpoint requests an endpoint, with a permit if it is cold. The answer is
// EndpointSelected, EndpointsBusy or NoEndpoint.
type SelectEndpoint struct {
	Attempt  ident.AttemptID
	Release  ident.Release
	Exclude  []ident.EndpointID
	Isolated bool
	Hedge    bool // in parallel with a running attempt
}

// ReleaseSlot returns an unused slot on a cold endpoint. It is not answered.
type ReleaseSlot struct {
	Attempt  ident.AttemptID
	Endpoint *fleet.Endpoint
}

// Dispatch sends an attempt to an endpoint. FrameReceived follows for each frame,
// then AttemptEnded.
type Dispatch struct {
	Attempt    ident.AttemptID
	Endpoint   *fleet.Endpoint
	Release    ident.Release
	ResumeFrom int // number of frames already received
	Cold       bool
	Expected   time.Duration
}

// Cancel cancels an attempt. AttemptEnded still follows.
type Cancel struct {
	Attempt    ident.AttemptID
	Superseded bool // another attempt answers the request
}

// OpenResponse starts the response to the caller. It is not answered.
type OpenResponse struct{ Meta Meta }

// WriteText forwards a chunk of text to the caller. It is not answered.
type WriteText struct{ Text string }

// RateAnswer asks whether an answer is good enough to forward. The answer is
// AnswerRated.
type RateAnswer struct {
	Step   CascadeStep
	Answer string
	Last   bool // no further model is left to try
}

// ReportAnswer reports a complete answer, for quality ratings and roll-outs. It
// is not answered.
type ReportAnswer struct {
	Step    CascadeStep
	Release ident.Release
	Empty   bool   // the answer had no text
	Answer  string // to rate in the background, if Rate is set
	Rate    bool
}

// RecordBill stores the bill and, for a claimed request, its outcome. The answer
// is BillRecorded.
type RecordBill struct {
	Release        ident.Release
	Usage          engine.Usage
	Cost           ident.Micros
	Attempts       int
	Outcome        *engine.Answer // of a claimed request, else nil
	OutcomeUnknown bool           // whether the claimed request ran is unknown; it is not billed
}

// SetTimer requests TimerFired after a delay.
type SetTimer struct {
	Timer Timer
	After time.Duration
}

// Timer identifies a timer of a Machine.
type Timer int

// Timers.
const (
	TimerSelect Timer = iota // retry the selection of an endpoint
	TimerCheck               // retry the check of the body
	TimerHedge               // start a hedged attempt
)

// Reply answers the caller with the final result.
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
