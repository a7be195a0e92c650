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

// Event is something that happened to the fleet, as this router learns of it.
type Event interface {
	event()
}

// Tick means that time has passed.
type Tick struct{}

// Read brings the platform's objects under the configuration prefix, read at
// once. Config is the head's configuration, nil if it was known already.
type PlatformRead struct {
	RequestedAt time.Time // before the read was sent
	Head        plat.Head
	Config      *fleet.Config
	Rollouts    []RolloutObject
	Withdrawn   WithdrawnObject
}

// ReadFailed means that the platform's objects could not be read.
type PlatformReadFailed struct{ Error error }

// Fetched brings a configuration that a peer told of.
type ConfigFetched struct {
	Head   plat.Head
	Config *fleet.Config
}

// Listed brings the platform's list of instances.
type InstancesListed struct{ Instances []plat.Instance }

// Beaten brings a peer's heartbeat.
type HeartbeatReceived struct {
	Heartbeat Heartbeat
}

// Acked means that a peer has answered a heartbeat.
type HeartbeatAcked struct {
	Router          fleet.Router
	SentAt          time.Time // when the heartbeat was sent
	Generation      ident.Generation
	ConfirmationAge time.Duration // of the peer's newest confirmation
	Cursors         Cursors       // that the heartbeat had carried
	Withdrawals     map[ident.Release]bool
}

// Missed means that a heartbeat to a peer failed.
type HeartbeatFailed struct{ Router ident.RouterID }

// Loaded brings an endpoint's report of its load.
type LoadReported struct {
	Endpoint    ident.EndpointID
	RequestedAt time.Time // when the report was asked for
	Load        engine.Load
}

// LoadFailed means that an endpoint did not report its load.
type LoadPollFailed struct{ Endpoint ident.EndpointID }

// Attempted tells how one attempt on an endpoint went.
type AttemptEnded struct {
	Endpoint         ident.EndpointID
	Boot             string
	Release          ident.Release
	Team             ident.TeamID
	Fingerprint      ident.Fingerprint
	Outcome          roll.Outcome
	Latency          time.Duration // time to the first token, 0 if none came
	ExpectedLatency  time.Duration // the same, as expected
	ConnectionBroken bool          // the connection broke after something was sent
	IsEvidence       bool          // as evidence about the release
}

// Rated brings a rating of an answer.
type AnswerRated struct {
	Release   ident.Release
	Team      ident.TeamID
	Class     ident.ClassID
	Escalated bool // a cheaper model's answer was not good enough
	Quality   ident.Quality
}

// Exposed means that a new session was assigned to a version under roll-out.
type SessionExposed struct {
	Release ident.Release
	Team    ident.TeamID
}

// Withdraw is an operator's or a router's order to withdraw a release.
type Withdraw struct{ Withdrawal fleet.Withdrawal }

// Wrote answers a Put action.
type ObjectWritten struct {
	Key   plat.Key
	Error error
}

// Leased answers PutLease.
type LeaseWritten struct {
	Zone   ident.ZoneID
	Result permit.Wrote
}

// LeaseRead answers ReadLease.
type LeaseRead struct {
	Zone  ident.ZoneID
	Lease permit.Read
}

// LeaseUnread means that a zone's steward object could not be read.
type LeaseReadFailed struct{ Zone ident.ZoneID }

// Changed means that the configuration's objects have changed in the platform.
type ConfigChanged struct{}

// AskPermit is a question for a slot on a cold endpoint of a zone.
type RequestPermit struct {
	CorrelationID CorrelationID
	Zone          ident.ZoneID
	Request       permit.Asked
}

// GiveBack returns a slot.
type ReleasePermit struct {
	Zone     ident.ZoneID
	Released permit.Released
}

// AskClaim is a question about a body whose home this router is.
type RequestClaim struct {
	CorrelationID CorrelationID
	Claim         poison.Claim
}

// EndClaim tells that a claimed run has ended.
type EndClaim struct{ Ended poison.Ended }

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

// Rollout is a roll-out object with its version in the platform.
type RolloutObject struct {
	State   fleet.RolloutState
	Version plat.Version
}

// Withdrawn is the platform's object of withdrawals.
type WithdrawnObject struct {
	List    []fleet.Withdrawal
	Version plat.Version
}

// Beat is a heartbeat, as it is received.
type Heartbeat struct {
	Router            fleet.Router
	Generation        ident.Generation
	Head              *plat.Head    // set if the sender took it for news
	ConfirmationAge   time.Duration // of the sender's newest confirmation
	Withdrawals       []fleet.Withdrawal
	Evidence          []roll.Entry
	Estimates         []casc.Entry
	Deaths            poison.Delta
	ColdMarks         []ColdMark
	StewardedZones    []ident.ZoneID // whose steward the sender is
	PeerAges          []PeerAge      // in larger fleets
	PlatformReachable bool           // whether the sender reaches the platform
	Serving           bool
	Stopping          bool
}

// Hearsay tells when a router was last heard of.
type PeerAge struct {
	Hash uint32 // of the router's id
	Age  time.Duration
}

// Marks are points in the histories that heartbeats carry changes of.
type Cursors struct {
	Evidence   roll.Mark
	Estimates  casc.Mark
	Deaths     poison.Version
	relayEpoch uint64 // Control.relays when they were made
}

// Cold says that a router takes an endpoint for cold against its word.
type ColdMark struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	Mark     permit.Marked    `json:"mark"`
}
