package ctrl

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Action is an effect that the control loop's driver must carry out. The doc
// comment of each action names the events that report its outcome.
type Action interface {
	action()
}

// SendHeartbeat sends a heartbeat to a peer. Outcome: HeartbeatAcked or
// HeartbeatFailed.
type SendHeartbeat struct {
	To          fleet.Router
	Heartbeat   Heartbeat
	Cursors     Cursors
	Withdrawals map[ident.Release]bool // releases withdrawn according to Heartbeat
}

// ReadPlatform reads all objects under the configuration prefix. Outcome:
// PlatformRead or PlatformReadFailed.
type ReadPlatform struct{}

// FetchConfig fetches the configuration of a head that a peer announced, from
// that peer. Outcome: ConfigFetched.
type FetchConfig struct {
	Head plat.Head
	From fleet.Router
}

// ListInstances reads the platform's list of instances. Outcome:
// InstancesListed.
type ListInstances struct{}

// Announce renews this router's entry in the platform's list of instances.
type Announce struct{ Router fleet.Router }

// PutRollout writes a roll-out object if its version is Expect. Outcome:
// ObjectWritten.
type PutRollout struct {
	State  fleet.RolloutState
	Expect plat.Version
}

// PutWithdrawn writes the withdrawals object if its version is Expect.
// Outcome: ObjectWritten.
type PutWithdrawn struct {
	List   []fleet.Withdrawal
	Expect plat.Version
}

// PutLease writes a zone's steward lease if its version is Expect. Outcome:
// LeaseWritten.
type PutLease struct {
	Zone   ident.ZoneID
	Lease  permit.Lease
	Expect plat.Version
}

// ReadLease reads a zone's steward lease. Outcome: LeaseRead or
// LeaseReadFailed.
type ReadLease struct{ Zone ident.ZoneID }

// AnswerPermit answers a RequestPermit event. Exactly one of Grant and Deny is
// set.
type AnswerPermit struct {
	CorrelationID CorrelationID
	Grant         *permit.Permit
	Deny          *permit.Deny
}

// AnswerClaim answers a RequestClaim event.
type AnswerClaim struct {
	CorrelationID CorrelationID
	Answer        poison.Answer
}

// LogEvent writes a log line.
type LogEvent struct {
	Message string
	Release ident.Release
	Reason  string
}

func (SendHeartbeat) action() {}
func (ReadPlatform) action()  {}
func (FetchConfig) action()   {}
func (ListInstances) action() {}
func (Announce) action()      {}
func (PutRollout) action()    {}
func (PutWithdrawn) action()  {}
func (PutLease) action()      {}
func (ReadLease) action()     {}
func (AnswerPermit) action()  {}
func (AnswerClaim) action()   {}
func (LogEvent) action()      {}

// CorrelationID matches an AnswerPermit or AnswerClaim to its request.
type CorrelationID uint64

// Settings holds the intervals and lifetimes that control state works with.
type Settings struct {
	HeartbeatInterval time.Duration // between two heartbeats to a peer
	ReadInterval      time.Duration // between two reads of the configuration objects
	ListInterval      time.Duration // between two reads of the list of instances
	StaleAfter        time.Duration // confirmation age after which a router reads the platform itself
	Permit            permit.Settings
	CrashLifetime     time.Duration // how long a crash counts against the request bodies that the endpoint was running
	ClaimLifetime     time.Duration // after which a claimed run expires
}

// DefaultSettings returns the default settings with the given heartbeat
// interval.
func DefaultSettings(heartbeat time.Duration) Settings {
	return Settings{
		HeartbeatInterval: heartbeat,
		ReadInterval:      time.Second,
		ListInterval:      2 * time.Second,
		StaleAfter:        2 * time.Second,
		Permit:            permit.DefaultSettings(),
		CrashLifetime:     time.Hour,
		ClaimLifetime:     15 * time.Minute,
	}
}
