// Package fleet holds the objects that mirror the world the router works in:
// teams, models, zones, endpoints and routers, as declared and as observed.
package fleet

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Snapshot is an immutable view of the fleet. The control thread publishes it;
// each request takes one and decides on it.
type Snapshot struct {
	Self      Router
	Config    *Config
	Confirmed time.Time // newest time at which anyone confirmed Config as current
	Serving   bool      // whether this router may take new requests
	Until     time.Time // when the snapshot is too old to begin new work on
	Stopping  bool      // whether a graceful shutdown has begun
	Endpoints map[ident.EndpointID]*Endpoint
	Rollouts  map[ident.ModelID]RolloutState
	Withdrawn map[ident.Release]Withdrawal // beyond what Config withdraws
	Routers   []Router                     // live, this one included, sorted by id
	Poison    map[ident.Fingerprint]Suspicion
}

// Router is one instance of the router.
type Router struct {
	ID      ident.RouterID `json:"id"`
	Zone    ident.ZoneID   `json:"zone"`
	Peer    string         `json:"peer"`  // host:port of its peer link
	Admin   string         `json:"admin"` // host:port of its admin address
	Leaving bool           `json:"leaving"`
}

// Endpoint is a back end with what is known of its condition.
type Endpoint struct {
	Spec     *EndpointSpec
	Phase    Phase
	Report   Report
	Reported time.Time // when Report was received, the zero time if never
	Leaving  bool
}

// Phase is an endpoint's ability to bear load.
type Phase int

// The phases. An endpoint is cold until it reports otherwise.
const (
	PhaseCold Phase = iota
	PhaseWarm
	PhaseDown
)

// Report is what an endpoint publishes of its own load, with a lag.
type Report struct {
	Boot    string       `json:"boot"`    // changes at each restart
	Running int          `json:"running"` // requests in the batch
	Waiting int          `json:"waiting"` // requests queued
	Warm    bool         `json:"warm"`
	Rate    float64      `json:"rate"` // tokens a second over the batch
	Cache   ident.Tokens `json:"cache"`
}

// RolloutState is the step that a roll-out has reached.
type RolloutState struct {
	Model   ident.ModelID   `json:"model"`
	To      ident.VersionID `json:"to"`
	Step    int             `json:"step"` // index into Rollout.Steps; len(Steps) when finished
	Entered time.Time       `json:"entered"`
	Full    bool            `json:"full"` // the step's session limit is used up
}

// Withdrawal says why and when a release was withdrawn. It is never undone by
// a router.
type Withdrawal struct {
	Release ident.Release `json:"release"`
	Reason  string        `json:"reason"`
	At      time.Time     `json:"at"`
	By      string        `json:"by"` // a router's id or an operator's name
}

// Suspicion is how far a request body is suspected of crashing endpoints.
type Suspicion int

// The degrees of suspicion.
const (
	SuspicionNone    Suspicion = iota
	SuspicionAlone             // must run with nothing else on the endpoint
	SuspicionRefused           // must never run again
)

// Ready tells whether new requests may be taken on this snapshot. A router that
// was frozen finds its snapshot too old.
func (s *Snapshot) Ready(now time.Time) bool {
	return s.Serving && now.Before(s.Until)
}

// Allowed tells whether new work may go to the release at all.
func (s *Snapshot) Allowed(release ident.Release) bool {
	if _, withdrawn := s.Withdrawn[release]; withdrawn {
		return false
	}
	m, ok := s.Config.Models[release.Model]
	return ok && m.Has(release.Version)
}

// ZoneOut tells whether operators have taken the zone out, or it is unknown.
func (s *Snapshot) ZoneOut(zone ident.ZoneID) bool {
	z, ok := s.Config.Zones[zone]
	return !ok || z.Out
}
