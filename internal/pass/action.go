package pass

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Action is what the relay is to do: Place, Dispatch, Open, Emit, Close,
// Reply, Refuse, Abort, Cancel, Escalate, Wake or Report.
type Action interface{ action() }

// Place asks for an endpoint; Placed or Unplaced answers it.
type SelectEndpoint struct {
	Attempt Attempt
	Model   ident.ModelID
	Exclude []ident.EndpointID
}

// Dispatch sends the request to an endpoint.
type Dispatch struct {
	Attempt     Attempt
	Endpoint    *world.Endpoint
	Model       ident.ModelID // "" if the caller's stays
	LastEventID int64         // id of the last event that need not come again
}

// Open begins a stream's answer with the head of an attempt.
type OpenStream struct{ Attempt Attempt }

// Emit passes an event on.
type EmitEvent struct{ Data []byte }

// Close ends a stream's answer as complete.
type CloseStream struct{}

// Reply passes a whole answer on.
type Reply struct{ Attempt Attempt }

// Refuse answers with a failure of the router's own.
type Refuse struct {
	Status     int
	RetryAfter time.Duration // when to come back, 0 for no word on it
	Reason     Reason
}

// Abort breaks the answer off, so that it does not look complete.
type Abort struct{ Reason Reason }

// Cancel closes an attempt's connection.
type Cancel struct{ Attempt Attempt }

// Escalate tells that a larger model is asked in place of an answer.
type Escalate struct {
	Attempt Attempt           // whose answer is dropped
	Factors EscalationFactors // that decided it
}

// Wake asks for Woken at a time.
type SetTimer struct{ At time.Time }

// Report tells how an attempt fared, for the tables of load and evidence.
type Report struct {
	Attempt        Attempt
	Endpoint       *world.Endpoint
	Model          ident.ModelID
	Outcome        route.Outcome
	Failed         bool          // the endpoint failed a request that it ran
	Disconnected   bool          // the connection broke before a whole answer had come
	Unresponsive   bool          // it was given up since no answer had come
	Duration       time.Duration // from its start to now
	FirstLatency   time.Duration // to the answer or first event, 0 if none came
	BaseEstimate   time.Duration // that was expected, without correction by experience
	ServiceTime    time.Duration // of Base, the endpoint's own work on the request
	UncachedTokens ident.Tokens  // read for it, as far as was foreseen
}

func (SelectEndpoint) action() {}
func (Dispatch) action()       {}
func (OpenStream) action()     {}
func (EmitEvent) action()      {}
func (CloseStream) action()    {}
func (Reply) action()          {}
func (Refuse) action()         {}
func (Abort) action()          {}
func (Cancel) action()         {}
func (Escalate) action()       {}
func (SetTimer) action()       {}
func (Report) action()         {}

// Reason says why a request was not answered in full, as it stands in logs.
type Reason string

// The reasons.
const (
	ReasonNoEndpoint      Reason = "no endpoint"   // none may get the request now
	ReasonOverloaded      Reason = "full"          // the endpoint refused it as too much
	ReasonTooLate         Reason = "too late"      // it cannot be answered in its time
	ReasonTimeout         Reason = "timeout"       // no answer came in time
	ReasonAttemptFailed   Reason = "broken"        // an attempt broke, and no other may follow
	ReasonRetryBudget     Reason = "retry budget"  // other attempts have used their share of the load
	ReasonCallerGone      Reason = "caller left"   // the caller closed the connection
	ReasonInvalidResponse Reason = "invalid reply" // an endpoint's answer was not its own or not whole
)
