// Package permit limits the concurrent requests on cold endpoints across all
// routers. One router in each availability zone, the steward, holds a lease in the
// platform and grants the zone's cold slots as permits. No decision compares the
// clocks of two instances.
package permit

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Lease is the JSON value of a zone's steward object. The object is never deleted;
// if it does not exist, no router has ever held the lease.
type Lease struct {
	Holder         ident.RouterID `json:"holder"`
	Term           ident.Term     `json:"term"`
	Nonce          string         `json:"nonce"` // identifies the write
	PermitLifetime time.Duration  `json:"hold"`  // maximum lifetime of the holder's permits
	Clean          bool           `json:"clean"` // released with no permit outstanding
}

// Key returns the key of a zone's steward object.
func Key(zone ident.ZoneID) plat.Key {
	return plat.StewardPrefix + plat.Key(zone)
}

// Settings are the durations of the protocol. They must be the same on all routers.
type Settings struct {
	LeaseDuration    time.Duration // after this time without renewal, the lease may be taken over
	RenewInterval    time.Duration // time between renewals
	SafetyMargin     time.Duration // covers clock drift and the cancellation of attempts
	StartTimeout     time.Duration // from the request for a permit to the dispatch of the attempt
	RunTimeout       time.Duration // from the dispatch to the end of the attempt
	PropagationDelay time.Duration // maximum time until every router knows that an endpoint is cold
	ReportLag        time.Duration // maximum age of a report's contents at the time of its request
}

// DefaultSettings returns settings for routers with a few milliseconds of latency
// between them.
func DefaultSettings() Settings {
	return Settings{
		LeaseDuration:    5 * time.Second,
		RenewInterval:    time.Second,
		SafetyMargin:     500 * time.Millisecond,
		StartTimeout:     time.Second,
		RunTimeout:       10 * time.Second,
		PropagationDelay: 3 * time.Second,
		ReportLag:        time.Second,
	}
}

// PermitLifetime returns the maximum lifetime of a permit, counted from the grant.
func (s Settings) PermitLifetime() time.Duration {
	return s.StartTimeout + s.RunTimeout
}

// Permit allows one attempt on a cold endpoint. It carries durations only; its
// router counts StartTimeout from when it sent the request.
type Permit struct {
	Endpoint     ident.EndpointID `json:"endpoint"`
	Router       ident.RouterID   `json:"router"`
	Attempt      ident.AttemptID  `json:"attempt"`
	Term         ident.Term       `json:"term"`
	StartTimeout time.Duration    `json:"start"`
	RunTimeout   time.Duration    `json:"run"`
}
