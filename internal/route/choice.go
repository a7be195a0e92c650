package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Request is the request for which Choose chooses an endpoint. Exactly one of
// Release and Service is set.
type Request struct {
	Release   ident.Release
	Service   ident.ServiceID
	Seed      uint64             // random bits, see Seed
	Prompt    ident.Tokens       // estimated length of the prompt
	Blocks    []uint64           // hashes of the prompt's prefix blocks, see HashBlocks
	Exclude   []ident.EndpointID // endpoints that have already failed the request
	Exclusive bool               // must not run beside other requests on its endpoint
	Priority  fleet.Priority
}

// Seed returns the random bits for an attempt.
func Seed(attempt ident.AttemptID) uint64 {
	return xxhash.Sum64String(string(attempt))
}

// Choice is the result of Choose: Send, NeedPermit, Wait or None.
type Choice interface{ choice() }

// Send names a warm endpoint to which the request may be sent at once.
type Send struct {
	Endpoint *fleet.Endpoint
	Score    time.Duration // expected time to the first token
	Expected time.Duration // Score without correction and penalties, for LoadTracker.FirstToken
}

// NeedPermit names a cold endpoint, to which the request may be sent only with a
// permit from the steward of the endpoint's zone.
type NeedPermit struct {
	Endpoint *fleet.Endpoint
	Score    time.Duration
	Expected time.Duration
}

// Wait means that eligible endpoints exist but all of them are at capacity.
type Wait struct {
	RetryAfter time.Duration
}

// None means that no endpoint is eligible for the request.
type None struct {
	Reasons []Verdict // one for each endpoint of the release or service
}

func (Send) choice()       {}
func (NeedPermit) choice() {}
func (Wait) choice()       {}
func (None) choice()       {}

// Verdict is the result of evaluating one endpoint for a request.
type Verdict struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	Zone     ident.ZoneID     `json:"zone"`
	Reason   Reason           `json:"reason"`
	Score    time.Duration    `json:"score"` // set if Reason is ReasonFit or ReasonCold
}

// Reason is why an endpoint is or is not eligible for a request.
type Reason string

// The reasons, as shown to operators.
const (
	ReasonFit      Reason = "fit"
	ReasonCold     Reason = "cold"     // eligible with a permit
	ReasonFull     Reason = "full"     // at its limit or backing off
	ReasonBusy     Reason = "busy"     // not idle, but the request is exclusive
	ReasonZone     Reason = "zone"     // its availability zone is out of service
	ReasonLeaving  Reason = "leaving"  // the endpoint is shutting down
	ReasonDown     Reason = "down"     // the endpoint does not answer
	ReasonVersion  Reason = "version"  // the version is withdrawn or not declared
	ReasonRelease  Reason = "release"  // the endpoint serves another release or service
	ReasonExcluded Reason = "excluded" // has already failed the request
)

// Temporary reports whether the endpoint becomes eligible as requests end.
func (r Reason) Temporary() bool {
	return r == ReasonFull || r == ReasonBusy
}
