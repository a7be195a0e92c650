package ctrl

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/casc"
	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Event is an input of Control.Step.
type Event interface {
	event()
}

// Tick triggers the periodic work; see Control.TickInterval.
type Tick struct{}

// PlatformRead holds the objects under the configuration prefix, read in one
// call. Config is the configuration of Head, or nil if it was known already.
type PlatformRead struct {
	RequestedAt time.Time // before the read was sent
	Head        plat.Head
	Config      *fleet.Config
	Rollouts    []RolloutObject
	Withdrawn   WithdrawnObject
}

// PlatformReadFailed reports that ReadPlatform failed.
type PlatformReadFailed struct{ Error error }

// ConfigFetched is the outcome of FetchConfig; Config is nil if the peer could
// not provide it.
type ConfigFetched struct {
	Head   plat.Head
	Config *fleet.Config
}

// InstancesListed holds the platform's list of instances.
type InstancesListed struct{ Instances []plat.Instance }

// HeartbeatReceived holds a heartbeat that a peer sent.
type HeartbeatReceived struct {
	Heartbeat Heartbeat
}

// HeartbeatAcked reports that a peer has answered a heartbeat.
type HeartbeatAcked struct {
	Router          fleet.Router
	SentAt          time.Time // when the heartbeat was sent
	Generation      ident.Generation
	ConfirmationAge time.Duration // of the peer's newest confirmation, negative for none
	Cursors         Cursors       // of the acknowledged heartbeat
	Withdrawals     map[ident.Release]bool
}

// HeartbeatFailed reports that a heartbeat to a peer failed.
type HeartbeatFailed struct{ Router ident.RouterID }

// LoadReported holds the load that an endpoint reported.
type LoadReported struct {
	Endpoint    ident.EndpointID
	RequestedAt time.Time // when the report was requested
	Load        engine.Load
}

// LoadPollFailed reports that an endpoint did not answer a load poll.
type LoadPollFailed struct{ Endpoint ident.EndpointID }

// AttemptEnded is the result of one attempt on an endpoint.
type AttemptEnded struct {
	Endpoint         ident.EndpointID
	Release          ident.Release
	Team             ident.TeamID
	Run              poison.RunEnd
	Outcome          roll.Outcome
	Latency          time.Duration // time to first token, 0 if none arrived
	ExpectedLatency  time.Duration // expected time to first token
	ConnectionBroken bool          // the connection broke after something was sent
	IsEvidence       bool          // whether it counts for the roll-out
}

// RunWithdrawn reports that a run is no longer waited for, though its request has no
// answer.
type RunWithdrawn struct{ Run poison.RunEnd }

// AnswerRated is a quality rating of an answer.
type AnswerRated struct {
	Release   ident.Release
	Team      ident.TeamID
	Class     ident.ClassID
	Escalated bool // a cheaper model's answer was not good enough
	Quality   ident.Quality
}

// SessionExposed reports that a new session was assigned to a version under
// roll-out.
type SessionExposed struct {
	Release ident.Release
	Team    ident.TeamID
}

// Withdraw requests the withdrawal of a release, by an operator or a router.
type Withdraw struct{ Withdrawal fleet.Withdrawal }

// ObjectWritten is the outcome of PutRollout and PutWithdrawn.
type ObjectWritten struct {
	Key   plat.Key
	Error error
}

// LeaseWritten is the outcome of PutLease.
type LeaseWritten struct {
	Zone   ident.ZoneID
	Result permit.WriteCompleted
}

// LeaseRead is the outcome of a successful ReadLease.
type LeaseRead struct {
	Zone  ident.ZoneID
	Lease permit.LeaseRead
}

// LeaseReadFailed reports that ReadLease failed.
type LeaseReadFailed struct{ Zone ident.ZoneID }

// ConfigChanged reports that configuration objects have changed in the platform.
type ConfigChanged struct{}

// RequestPermit asks for a slot on a cold endpoint of a zone.
type RequestPermit struct {
	CorrelationID CorrelationID
	Zone          ident.ZoneID
	Request       permit.Request
}

// ReleasePermit releases a slot on a cold endpoint of a zone.
type ReleasePermit struct {
	Zone     ident.ZoneID
	Released permit.Release
}

// RequestClaim asks whether a request body may run. It goes to the router that
// owns the body's fingerprint.
type RequestClaim struct {
	CorrelationID CorrelationID
	Claim         poison.Claim
}

// EndClaim reports that a claimed run has ended.
type EndClaim struct{ Ended poison.ClaimEnd }

// Stop begins a graceful shutdown.
type Stop struct{}

func (Tick) event()               {}
func (PlatformRead) event()       {}
func (PlatformReadFailed) event() {}
func (ConfigFetched) event()      {}
func (InstancesListed) event()    {}
func (HeartbeatReceived) event()  {}
func (HeartbeatAcked) event()     {}
func (HeartbeatFailed) event()    {}
func (LoadReported) event()       {}
func (LoadPollFailed) event()     {}
func (RunWithdrawn) event()       {}
func (AttemptEnded) event()       {}
func (AnswerRated) event()        {}
func (SessionExposed) event()     {}
func (Withdraw) event()           {}
func (ObjectWritten) event()      {}
func (LeaseWritten) event()       {}
func (LeaseRead) event()          {}
func (LeaseReadFailed) event()    {}
func (ConfigChanged) event()      {}
func (RequestPermit) event()      {}
func (ReleasePermit) event()      {}
func (RequestClaim) event()       {}
func (EndClaim) event()           {}
func (Stop) event()               {}

// RolloutObject is a roll-out state with its object version in the platform.
type RolloutObject struct {
	State   fleet.RolloutState
	Version plat.Version
}

// WithdrawnObject is the list of withdrawals with its object version in the
// platform.
type WithdrawnObject struct {
	List    []fleet.Withdrawal
	Version plat.Version
}

// Heartbeat is the message that routers exchange periodically.
type Heartbeat struct {
	Router            fleet.Router
	Generation        ident.Generation
	Head              *plat.Head    // set if the sender considers it new to the receiver
	ConfirmationAge   time.Duration // age of the sender's newest confirmation
	Withdrawals       []fleet.Withdrawal
	Evidence          []roll.Entry
	Estimates         []casc.Entry
	CrashDelta        poison.Delta
	ColdMarks         []ColdMark
	StewardedZones    []ident.ZoneID // zones whose steward the sender is
	PeerAges          []PeerAge      // only in larger fleets
	PlatformReachable bool           // whether the sender reaches the platform
	Serving           bool
	Stopping          bool
}

// PeerAge is the time since a router was last known to be alive, directly or
// through others.
type PeerAge struct {
	Hash uint32 // routerHash of the router's id
	Age  time.Duration
}

// Cursors are the positions up to which a peer has received each kind of delta
// that heartbeats carry.
type Cursors struct {
	Evidence   roll.Revision
	Estimates  casc.Revision
	Crashes    poison.Revision
	Parts      poison.Revision
	relayEpoch uint64 // Control.relayEpoch when the cursors were taken
}

// ColdMark reports that a router treats an endpoint as cold although the
// endpoint reports to be warm.
type ColdMark struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	Mark     permit.ColdMark  `json:"mark"`
}
