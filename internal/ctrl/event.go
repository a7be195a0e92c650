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
type Read struct {
	Asked     time.Time // before the read was sent
	Head      plat.Head
	Config    *fleet.Config
	Rollouts  []Rollout
	Withdrawn Withdrawn
}

// ReadFailed means that the platform's objects could not be read.
type ReadFailed struct{ Error error }

// Fetched brings a configuration that a peer told of.
type Fetched struct {
	Head   plat.Head
	Config *fleet.Config
}

// Listed brings the platform's list of instances.
type Listed struct{ Instances []plat.Instance }

// Beaten brings a peer's heartbeat.
type Beaten struct {
	Beat Beat
}

// Acked means that a peer has answered a heartbeat.
type Acked struct {
	Router     fleet.Router
	Asked      time.Time // when the heartbeat was sent
	Generation ident.Generation
	Age        time.Duration // of the peer's newest confirmation
	Marks      Marks         // that the heartbeat had carried
	Told       map[ident.Release]bool
}

// Missed means that a heartbeat to a peer failed.
type Missed struct{ Router ident.RouterID }

// Loaded brings an endpoint's report of its load.
type Loaded struct {
	Endpoint ident.EndpointID
	Asked    time.Time // when the report was asked for
	Load     engine.Load
}

// LoadFailed means that an endpoint did not report its load.
type LoadFailed struct{ Endpoint ident.EndpointID }

// Attempted tells how one attempt on an endpoint went.
type Attempted struct {
	Endpoint    ident.EndpointID
	Boot        string
	Release     ident.Release
	Team        ident.TeamID
	Fingerprint ident.Fingerprint
	Outcome     roll.Outcome
	Latency     time.Duration // time to the first token, 0 if none came
	Expected    time.Duration // the same, as expected
	Died        bool          // the connection broke after something was sent
	Counts      bool          // as evidence about the release
}

// Rated brings a rating of an answer.
type Rated struct {
	Release   ident.Release
	Team      ident.TeamID
	Class     ident.ClassID
	Escalated bool // a cheaper model's answer was not good enough
	Quality   ident.Quality
}

// Exposed means that a new session was assigned to a version under roll-out.
type Exposed struct {
	Release ident.Release
	Team    ident.TeamID
}

// Withdraw is an operator's or a router's order to withdraw a release.
type Withdraw struct{ Withdrawal fleet.Withdrawal }

// Wrote answers a Put action.
type Wrote struct {
	Key   plat.Key
	Error error
}

// Leased answers PutLease.
type Leased struct {
	Zone  ident.ZoneID
	Wrote permit.WriteCompleted
}

// LeaseRead answers ReadLease.
type LeaseRead struct {
	Zone ident.ZoneID
	Read permit.LeaseRead
}

// LeaseUnread means that a zone's steward object could not be read.
type LeaseUnread struct{ Zone ident.ZoneID }

// Changed means that the configuration's objects have changed in the platform.
type Changed struct{}

// AskPermit is a question for a slot on a cold endpoint of a zone.
type AskPermit struct {
	Ticket Ticket
	Zone   ident.ZoneID
	Asked  permit.Request
}

// GiveBack returns a slot.
type GiveBack struct {
	Zone     ident.ZoneID
	Released permit.Release
}

// AskClaim is a question about a body whose home this router is.
type AskClaim struct {
	Ticket Ticket
	Claim  poison.Claim
}

// EndClaim tells that a claimed run has ended.
type EndClaim struct{ Ended poison.Ended }

// Stop begins a graceful shutdown.
type Stop struct{}

func (Tick) event()        {}
func (Read) event()        {}
func (ReadFailed) event()  {}
func (Fetched) event()     {}
func (Listed) event()      {}
func (Beaten) event()      {}
func (Acked) event()       {}
func (Missed) event()      {}
func (Loaded) event()      {}
func (LoadFailed) event()  {}
func (Attempted) event()   {}
func (Rated) event()       {}
func (Exposed) event()     {}
func (Withdraw) event()    {}
func (Wrote) event()       {}
func (Leased) event()      {}
func (LeaseRead) event()   {}
func (LeaseUnread) event() {}
func (Changed) event()     {}
func (AskPermit) event()   {}
func (GiveBack) event()    {}
func (AskClaim) event()    {}
func (EndClaim) event()    {}
func (Stop) event()        {}

// Rollout is a roll-out object with its version in the platform.
type Rollout struct {
	State   fleet.RolloutState
	Version plat.Version
}

// Withdrawn is the platform's object of withdrawals.
type Withdrawn struct {
	List    []fleet.Withdrawal
	Version plat.Version
}

// Beat is a heartbeat, as it is received.
type Beat struct {
	Router      fleet.Router
	Generation  ident.Generation
	Head        *plat.Head    // set if the sender took it for news
	Age         time.Duration // of the sender's newest confirmation
	Withdrawals []fleet.Withdrawal
	Evidence    []roll.Entry
	Estimates   []casc.Entry
	Deaths      poison.Delta
	Colds       []Cold
	Stewards    []ident.ZoneID // whose steward the sender is
	Hearsay     []Hearsay      // in larger fleets
	Platform    bool           // whether the sender reaches the platform
	Serving     bool
	Stopping    bool
}

// Hearsay tells when a router was last heard of.
type Hearsay struct {
	Hash uint32 // of the router's id
	Age  time.Duration
}

// Marks are points in the histories that heartbeats carry changes of.
type Marks struct {
	Evidence  roll.Mark
	Estimates casc.Mark
	Deaths    poison.Version
	relays    uint64 // Control.relays when they were made
}

// Cold says that a router takes an endpoint for cold against its word.
type Cold struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	Mark     permit.ColdMark  `json:"mark"`
}
