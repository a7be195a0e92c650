// Package status defines the JSON messages of the router's admin API, which the
// daemon serves and the operators' command line reads.
package status

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Status is one router's view of the fleet: the response to GET /v1/status.
type Status struct {
	Self       ident.RouterID   `json:"self"`
	At         time.Time        `json:"at"`
	Digest     string           `json:"digest"` // of the configuration in force on Self
	StaleAfter time.Duration    `json:"stale"`  // nanoseconds without confirmation after which a router stops serving
	Routers    []Router         `json:"routers"`
	Endpoints  []Endpoint       `json:"endpoints"`
	Zones      []Zone           `json:"zones"`
	Rollouts   []Rollout        `json:"rollouts"`
	Withdrawn  []WithdrawnEntry `json:"withdrawn"`
	Platform   Platform         `json:"platform"`
}

// Router is a router as known to Self. Only Self's own entry is exact.
type Router struct {
	ID          ident.RouterID   `json:"id"`
	Zone        ident.ZoneID     `json:"zone"`
	Admin       string           `json:"admin"` // host:port
	Generation  ident.Generation `json:"generation"`
	ConfirmedAt time.Time        `json:"confirmed"` // newest confirmation of the generation as current
	Serving     bool             `json:"serving"`
	Stopping    bool             `json:"stopping"`
	LastSeen    time.Time        `json:"seen"` // last heartbeat
}

// Endpoint is a back end as known to Self.
type Endpoint struct {
	ID       ident.EndpointID `json:"id"`
	Zone     ident.ZoneID     `json:"zone"`
	Release  string           `json:"release,omitempty"` // model@version, empty for a plain service
	Service  ident.ServiceID  `json:"service,omitempty"`
	Phase    string           `json:"phase"` // cold, warm or down
	Leaving  bool             `json:"leaving"`
	Running  int              `json:"running"`
	Waiting  int              `json:"waiting"`
	Slots    int              `json:"slots"`
	Reported time.Time        `json:"reported"`
}

// Zone is an availability zone.
type Zone struct {
	ID        ident.ZoneID `json:"id"`
	Out       bool         `json:"out"` // taken out by operators; receives no new work
	Endpoints int          `json:"endpoints"`
	Inflight  int          `json:"inflight"` // requests from Self to the zone
}

// Rollout is the state of a roll-out.
type Rollout struct {
	Model   ident.ModelID   `json:"model"`
	To      ident.VersionID `json:"to"`
	Step    int             `json:"step"`    // index, equal to Steps when finished
	Steps   int             `json:"steps"`   // number of steps
	Share   ident.Share     `json:"share"`   // of new sessions, in this step
	Entered time.Time       `json:"entered"` // start of the step
	Full    bool            `json:"full"`    // the step's session limit is used up
	Paused  bool            `json:"paused"`
	Aborted bool            `json:"aborted"`
}

// WithdrawnEntry is a withdrawn release.
type WithdrawnEntry struct {
	Release ident.Release `json:"release"`
	Reason  string        `json:"reason"`
	At      time.Time     `json:"at"`
	By      string        `json:"by"`
}

// Platform is the reachability of the platform from Self.
type Platform struct {
	Reachable bool      `json:"reachable"`
	Since     time.Time `json:"since"` // last change of Reachable
}

// ErrorResponse is the body of every response of the admin API other than 200.
type ErrorResponse struct {
	Error string `json:"error"`
}
