// Package status holds the JSON messages of the router's admin API, which the
// daemon serves and the operators' command line reads.
package status

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Status is one router's view of the fleet, the answer to GET /v1/status.
type Status struct {
	Self      ident.RouterID   `json:"self"`
	At        time.Time        `json:"at"`
	Digest    string           `json:"digest"` // of the configuration that Self runs
	Stale     time.Duration    `json:"stale"`  // nanoseconds without confirmation after which a router stops serving
	Routers   []Router         `json:"routers"`
	Endpoints []Endpoint       `json:"endpoints"`
	Zones     []Zone           `json:"zones"`
	Rollouts  []Rollout        `json:"rollouts"`
	Withdrawn []WithdrawnEntry `json:"withdrawn"`
	Platform  Platform         `json:"platform"`
}

// Router is one router as Self knows it; Self's own entry is exact.
type Router struct {
	ID         ident.RouterID   `json:"id"`
	Zone       ident.ZoneID     `json:"zone"`
	Admin      string           `json:"admin"` // host:port
	Generation ident.Generation `json:"generation"`
	Confirmed  time.Time        `json:"confirmed"` // newest confirmation of the generation as current
	Serving    bool             `json:"serving"`
	Stopping   bool             `json:"stopping"`
	Seen       time.Time        `json:"seen"` // last heartbeat
}

// Endpoint is one back end as Self sees it.
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

// Zone is one availability zone.
type Zone struct {
	ID        ident.ZoneID `json:"id"`
	Out       bool         `json:"out"`
	Endpoints int          `json:"endpoints"`
	Inflight  int          `json:"inflight"` // requests of Self in the zone
}

// Rollout is the condition of one roll-out.
type Rollout struct {
	Model   ident.ModelID   `json:"model"`
	To      ident.VersionID `json:"to"`
	Step    int             `json:"step"`
	Steps   int             `json:"steps"`
	Share   ident.Share     `json:"share"` // of new sessions, in this step
	Entered time.Time       `json:"entered"`
	Full    bool            `json:"full"`
	Paused  bool            `json:"paused"`
	Aborted bool            `json:"aborted"`
}

// WithdrawnEntry is one withdrawn release.
type WithdrawnEntry struct {
	Release ident.Release `json:"release"`
	Reason  string        `json:"reason"`
	At      time.Time     `json:"at"`
	By      string        `json:"by"`
}

// Platform tells whether Self reaches the platform.
type Platform struct {
	Reachable bool      `json:"reachable"`
	Since     time.Time `json:"since"` // of the last change of Reachable
}

// Failure is the body of every answer of the admin API that is not 200.
type Failure struct {
	Error string `json:"error"`
}
