package ctrl

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Action is something that the driver of the control thread is to do.
type Action interface {
	action()
}

// SendBeat sends a heartbeat to a peer: Acked or Missed.
type SendHeartbeat struct {
	To          fleet.Router
	Heartbeat   Heartbeat
	Cursors     Cursors
	Withdrawals map[ident.Release]bool // withdrawals that Beat carries
}

// ReadPlatform reads the objects under the configuration prefix: Read or
// ReadFailed.
type ReadPlatform struct{}

// FetchConfig gets the configuration of a head that a peer told of, from that
// peer or else from the platform: Fetched.
type FetchConfig struct {
	Head plat.Head
	From fleet.Router
}

// List reads the platform's list of instances: Listed.
type ListInstances struct{}

// Announce renews this router's entry in the list of instances.
type Announce struct{ Router fleet.Router }

// PutRollout writes a roll-out object: Wrote.
type PutRollout struct {
	State  fleet.RolloutState
	Expect plat.Version
}

// PutWithdrawn writes the object of withdrawals: Wrote.
type PutWithdrawn struct {
	List   []fleet.Withdrawal
	Expect plat.Version
}

// PutLease writes a zone's steward object: Leased.
type PutLease struct {
	Zone   ident.ZoneID
	Lease  permit.Lease
	Expect plat.Version
}

// ReadLease reads a zone's steward object: LeaseRead.
type ReadLease struct{ Zone ident.ZoneID }

// AnswerPermit answers a question for a permit. Exactly one of Grant and Deny
// is set.
type AnswerPermit struct {
	CorrelationID CorrelationID
	Grant         *permit.Permit
	Deny          *permit.Deny
}

// AnswerClaim answers a question about a body.
type AnswerClaim struct {
	CorrelationID CorrelationID
	Answer        poison.Answer
}

// Note is something for the log.
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

// Ticket names a question that waits for an answer.
type CorrelationID uint64

// Settings are the intervals of the control thread.
type Settings struct {
	HeartbeatInterval time.Duration // between heartbeats to a peer
	ReadInterval      time.Duration // between reads of the configuration's objects
	ListInterval      time.Duration // between reads of the list of instances
	StaleAfter        time.Duration // age of a confirmation after which a router reads for itself
	Permit            permit.Settings
	DeathLifetime     time.Duration // how long an endpoint's death counts against bodies
	ClaimLifetime     time.Duration // longest life of a claimed run
}

// DefaultSettings gives the intervals for heartbeats of the given interval.
func DefaultSettings(heartbeat time.Duration) Settings {
	return Settings{
		HeartbeatInterval: heartbeat,
		ReadInterval:      time.Second,
		ListInterval:      2 * time.Second,
		StaleAfter:        2 * time.Second,
		Permit:            permit.DefaultSettings(),
		DeathLifetime:     time.Hour,
		ClaimLifetime:     15 * time.Minute,
	}
}
