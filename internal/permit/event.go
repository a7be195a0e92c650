package permit

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Event is something that a steward reacts to.
type Event interface{ event() }

// Read is the zone's steward object as read or watched; Version 0 means that
// it is absent. An older version than one seen before is ignored.
type LeaseRead struct {
	Lease   Lease
	Version plat.Version
}

// Wrote is the result of the write with this nonce.
type WriteCompleted struct {
	Nonce   string
	Version plat.Version // set if Result is ResultDone
	Result  Result
}

// Result says how a write ended.
type Result int

// The results of a write.
const (
	ResultDone      Result = iota
	ResultConflict         // the object had another version
	ResultUncertain        // it may have taken effect, or still may
	ResultFailed           // it had no effect
)

// Asked is a router's question for a permit. Each question takes an attempt id
// of its own, except one that prolongs a run.
type Request struct {
	Router   ident.RouterID
	Attempt  ident.AttemptID
	Endpoint ident.EndpointID
	// Alone asks to be the endpoint's only suspect of crashing endpoints, be it
	// warm or cold. A cold one must have a free slot as well.
	Isolated bool
}

// Released says that an attempt has ended on the endpoint, or was never sent.
type Release struct {
	Endpoint ident.EndpointID
	Attempt  ident.AttemptID
}

// Seen is what this router knows of an endpoint of the zone.
type EndpointObserved struct {
	Endpoint        ident.EndpointID
	Phase           fleet.Phase
	ColdSlots       int       // slots during cold start
	Running         int       // requests running and waiting, by the endpoint's report
	ReportRequested time.Time // when this router asked for that report, the zero time if never
}

// Rank is this router's place among the live routers for the zone's
// stewardship, 0 for the first.
type RankChanged struct{ Rank int }

// Tick is the passing of time.
type Tick struct{}

// Stop begins a graceful shutdown: no more grants, and the lease is given up
// once no permit is outstanding.
type Stop struct{}

func (LeaseRead) event()        {}
func (WriteCompleted) event()   {}
func (Request) event()          {}
func (Release) event()          {}
func (EndpointObserved) event() {}
func (RankChanged) event()      {}
func (Tick) event()             {}
func (Stop) event()             {}

// Action is something that a steward wants done.
type Action interface{ action() }

// Write asks for a conditional write of the zone's steward object, to be
// answered by Wrote.
type WriteLease struct {
	Lease           Lease
	ExpectedVersion plat.Version
}

// Reread asks for a read of the zone's steward object, to be answered by Read.
type ReadLease struct{}

// Grant sends a permit to the router that asked.
type Grant struct{ Permit Permit }

// Deny answers a question for a permit with no.
type Deny struct {
	Router     ident.RouterID
	Attempt    ident.AttemptID
	Endpoint   ident.EndpointID
	Reason     Reason
	RetryAfter time.Duration
}

func (WriteLease) action() {}
func (ReadLease) action()  {}
func (Grant) action()      {}
func (Deny) action()       {}

// Reason says why a permit is denied.
type Reason string

// The reasons.
const (
	ReasonNotSteward     Reason = "steward" // this router is not the steward
	ReasonEarlierPermits Reason = "wait"    // permits of an earlier steward may be in use
	ReasonUncounted      Reason = "settle"  // work sent while it was warm is not yet counted
	ReasonFull           Reason = "full"    // all cold slots are in use
	ReasonNotCold        Reason = "phase"   // the endpoint is not cold, or not known
)
