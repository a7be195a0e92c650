package permit

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Event is an input of a Steward.
type Event interface{ event() }

// LeaseRead carries the zone's steward object as read or watched. Version 0 means
// that the object does not exist. Versions older than the newest one seen are
// ignored.
type LeaseRead struct {
	Lease   Lease
	Version plat.Version
}

// WriteCompleted carries the result of the write with this nonce.
type WriteCompleted struct {
	Nonce   string
	Version plat.Version // set if Result is ResultDone
	Result  Result
}

// Result is the outcome of a write.
type Result int

// Results of a write.
const (
	ResultDone      Result = iota
	ResultConflict         // the object had another version
	ResultUncertain        // it may have taken effect, or may do so later
	ResultFailed           // it had no effect
)

// Request is a router's request for a permit. Each request has an attempt id of
// its own, except one that extends a running attempt's permit.
type Request struct {
	Router   ident.RouterID
	Attempt  ident.AttemptID
	Endpoint ident.EndpointID
	// Isolated requests that no other attempt suspected of crashing endpoints
	// runs on the endpoint, warm or cold. A cold endpoint must also have a free
	// slot.
	Isolated bool
}

// Release reports that an attempt has ended on the endpoint or was never sent.
type Release struct {
	Endpoint ident.EndpointID
	Attempt  ident.AttemptID
}

// EndpointObserved carries this router's knowledge of an endpoint of the zone.
type EndpointObserved struct {
	Endpoint        ident.EndpointID
	Phase           fleet.Phase
	ColdSlots       int       // concurrent requests allowed during cold start
	Running         int       // running and queued requests in the endpoint's report
	ReportRequested time.Time // when this router requested that report, zero if never
}

// RankChanged carries this router's rank among the live candidates for the zone's
// lease, 0 for the first.
type RankChanged struct{ Rank int }

// Tick reports that time has passed.
type Tick struct{}

// Stop starts a graceful shutdown: nothing more is granted, and the lease is
// released once no permit is outstanding.
type Stop struct{}

func (LeaseRead) event()        {}
func (WriteCompleted) event()   {}
func (Request) event()          {}
func (Release) event()          {}
func (EndpointObserved) event() {}
func (RankChanged) event()      {}
func (Tick) event()             {}
func (Stop) event()             {}

// Action is an instruction to the driver of a Steward.
type Action interface{ action() }

// WriteLease requests a conditional write of the zone's steward object. The answer
// is WriteCompleted.
type WriteLease struct {
	Lease           Lease
	ExpectedVersion plat.Version
}

// ReadLease requests a read of the zone's steward object. The answer is LeaseRead.
type ReadLease struct{}

// Grant sends a permit to the router that requested it.
type Grant struct{ Permit Permit }

// Deny refuses a request for a permit.
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

// Reason is the cause of a denial.
type Reason string

// Reasons for a denial.
const (
	ReasonNotSteward     Reason = "steward" // this router does not hold the zone's lease
	ReasonEarlierPermits Reason = "wait"    // permits of an earlier lease holder may be in use
	ReasonUncounted      Reason = "settle"  // requests sent while the endpoint was warm are not counted yet
	ReasonFull           Reason = "full"    // all cold slots are in use
	ReasonNotCold        Reason = "phase"   // the endpoint is unknown or in the wrong phase
)
