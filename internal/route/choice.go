package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Request is what the choice of an endpoint depends on. Exactly one of Release
// and Service is set.
type Request struct {
	Release  ident.Release
	Service  ident.ServiceID
	Seed     uint64             // random bits, see Seed
	Prompt   ident.Tokens       // length of the prompt, estimated
	Blocks   []uint64           // hashes of the prompt's prefix blocks, see Blocks
	Exclude  []ident.EndpointID // endpoints that have already failed the request
	Exclusive    bool               // must share its endpoint with nothing else
	Priority fleet.Priority
}

// Seed gives the random bits for an attempt.
func Seed(attempt ident.AttemptID) uint64 {
	return xxhash.Sum64String(string(attempt))
}

// Choice is the answer to a request for an endpoint: Send, NeedPermit, Wait or
// None.
type Choice interface{ choice() }

// Send names a warm endpoint to which the request may go at once.
type Send struct {
	Endpoint *fleet.Endpoint
	Score    time.Duration // expected time to the first token
	Expected time.Duration // the same before correction by experience; hand it to Table.First
}

// NeedPermit names a cold endpoint; the request may go there only with a permit
// from the steward of the endpoint's zone.
type NeedPermit struct {
	Endpoint *fleet.Endpoint
	Score    time.Duration
	Expected time.Duration
}

// Wait means that suitable endpoints exist but all of them are full.
type Wait struct {
	RetryAfter time.Duration
}

// None means that no endpoint may run the request at all.
type None struct {
	Reasons []Verdict // one for each endpoint of the release or service
}

func (Send) choice()       {}
func (NeedPermit) choice() {}
func (Wait) choice()       {}
func (None) choice()       {}

// Verdict says what was found of one endpoint.
type Verdict struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	Zone     ident.ZoneID     `json:"zone"`
	Reason   Reason           `json:"reason"`
	Score    time.Duration    `json:"score"` // set if Reason is ReasonFit or ReasonCold
}

// Reason says whether an endpoint suits a request, and if not, why.
type Reason string

// The reasons, as shown to operators.
const (
	ReasonFit      Reason = "fit"
	ReasonCold     Reason = "cold"     // suits, with a permit
	ReasonFull     Reason = "full"     // at its limit
	ReasonBusy     Reason = "busy"     // one of two requests must run alone
	ReasonZone     Reason = "zone"     // its availability zone is taken out
	ReasonLeaving  Reason = "leaving"  // the endpoint is shutting down
	ReasonDown     Reason = "down"     // the endpoint does not answer
	ReasonVersion  Reason = "version"  // the version is withdrawn or not declared
	ReasonRelease  Reason = "release"  // the endpoint serves something else
	ReasonExcluded Reason = "excluded" // has already failed the request
)

// Temporary tells whether the reason passes by itself as work ends.
func (r Reason) Temporary() bool {
	return r == ReasonFull || r == ReasonBusy
}
