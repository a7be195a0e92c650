// Package permit keeps cold endpoints from getting more than they can bear,
// over all routers together. One router in each availability zone, the steward,
// holds a lease in the platform and hands out the zone's cold slots as permits.
// No decision compares the clocks of two machines.
package permit

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Lease is the value of a zone's steward object, as JSON. The object is never
// deleted: its absence means that no router has ever held it.
type Lease struct {
	Holder         ident.RouterID `json:"holder"`
	Term           ident.Term     `json:"term"`
	Nonce          string         `json:"nonce"` // names the write
	PermitLifetime time.Duration  `json:"hold"`  // longest life of the holder's permits
	Clean          bool           `json:"clean"` // given up with no permit outstanding
}

// Key gives the key of a zone's steward object.
func Key(zone ident.ZoneID) plat.Key {
	return plat.StewardPrefix + plat.Key(zone)
}

// Settings are the durations of the protocol. All routers use the same.
type Settings struct {
	LeaseDuration    time.Duration // a lease not renewed for as long may be taken over
	RenewInterval    time.Duration // between renewals
	SafetyMargin     time.Duration // covers clock rates that differ, and cancelling
	StartTimeout     time.Duration // from the question to the sending of the request
	RunTimeout       time.Duration // from the sending to the end of the run
	PropagationDelay time.Duration // until every router knows that an endpoint is cold
	ReportLag        time.Duration // largest age of what a report says when it is asked for
}

// DefaultSettings suits routers a few milliseconds apart.
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

// Hold is the longest life of a permit, counted from the grant.
func (s Settings) PermitLifetime() time.Duration {
	return s.StartTimeout + s.RunTimeout
}

// Permit allows one attempt on a cold endpoint. It carries durations only; the
// holder counts Start from when it sent its question.
type Permit struct {
	Endpoint     ident.EndpointID `json:"endpoint"`
	Router       ident.RouterID   `json:"router"`
	Attempt      ident.AttemptID  `json:"attempt"`
	Term         ident.Term       `json:"term"`
	StartTimeout time.Duration    `json:"start"`
	RunTimeout   time.Duration    `json:"run"`
}
