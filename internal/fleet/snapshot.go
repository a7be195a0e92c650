// Package fleet defines the configuration and the observed state of a fleet:
// teams, models, zones, endpoints and routers.
package fleet

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Snapshot is an immutable view of the fleet, published by the control loop. Each
// request is decided on a single snapshot.
type Snapshot struct {
	Self        Router
	Config      *Config
	ConfirmedAt time.Time // newest confirmation of Config as current, by this router or a peer
	Serving     bool      // whether this router may accept new requests
	ExpiresAt   time.Time // from then on, the snapshot is too old to start new work
	Stopping    bool      // whether a graceful shutdown has begun
	Endpoints   map[ident.EndpointID]*Endpoint
	Rollouts    map[ident.ModelID]RolloutState
	Withdrawn   map[ident.Release]Withdrawal // in addition to those in Config
	Routers     []Router                     // live ones including this one, sorted by id
	Suspicions  map[ident.Fingerprint]Suspicion
}

// Router is an instance of the router.
type Router struct {
	ID      ident.RouterID `json:"id"`
	Zone    ident.ZoneID   `json:"zone"`
	Peer    string         `json:"peer"`  // host:port for peers
	Admin   string         `json:"admin"` // host:port of the admin API
	Leaving bool           `json:"leaving"`
}

// Endpoint is a back end with its observed state.
type Endpoint struct {
	Spec       *EndpointSpec
	Phase      Phase
	Report     Report
	ReportedAt time.Time // when Report was received, zero if never
	Leaving    bool
}

// Phase is an endpoint's readiness to take load.
type Phase int

// The phases. An endpoint is cold until it reports otherwise.
const (
	PhaseCold Phase = iota
	PhaseWarm
	PhaseDown
)

// Report is the load that an endpoint reports. It lags behind the actual load.
type Report struct {
	Boot    string       `json:"boot"`    // changes at each restart
	Running int          `json:"running"` // requests in the current batch
	Waiting int          `json:"waiting"` // queued requests
	Warm    bool         `json:"warm"`
	Rate    float64      `json:"rate"` // tokens per second over the batch
	Cache   ident.Tokens `json:"cache"`
}

// RolloutState is the progress of a roll-out.
type RolloutState struct {
	Model   ident.ModelID   `json:"model"`
	To      ident.VersionID `json:"to"`
	Step    int             `json:"step"` // index into Rollout.Steps; len(Steps) when finished
	Entered time.Time       `json:"entered"`
	Full    bool            `json:"full"` // the step's session limit is used up
}

// Withdrawal records why, when and by whom a release was withdrawn. Routers never
// revert it.
type Withdrawal struct {
	Release ident.Release `json:"release"`
	Reason  string        `json:"reason"`
	At      time.Time     `json:"at"`
	By      string        `json:"by"` // a router's id or an operator's name
}

// Suspicion is the level of suspicion that a request body crashes endpoints.
type Suspicion int

// The levels of suspicion, in ascending order.
const (
	SuspicionNone     Suspicion = iota
	SuspicionIsolated           // must run as the only request on its endpoint
	SuspicionRefused            // must not run again
)

// Ready reports whether new requests may be accepted on this snapshot. The expiry
// keeps a router that was frozen from using a stale snapshot.
func (s *Snapshot) Ready(now time.Time) bool {
	return s.Serving && now.Before(s.ExpiresAt)
}

// Allowed reports whether the release is declared and not withdrawn, so that it
// may receive new work.
func (s *Snapshot) Allowed(release ident.Release) bool {
	if _, withdrawn := s.Withdrawn[release]; withdrawn {
		return false
	}
	m, ok := s.Config.Models[release.Model]
	return ok && m.IsActive(release.Version)
}

// ZoneOut reports whether the zone was taken out by operators or is unknown.
func (s *Snapshot) ZoneOut(zone ident.ZoneID) bool {
	z, ok := s.Config.Zones[zone]
	return !ok || z.Out
}
