package fleet

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Config is one whole accepted configuration, as compiled from the operators'
// files. It is immutable once published.
type Config struct {
	Generation ident.Generation                   `json:"generation"`
	Digest     string                             `json:"digest"` // hex SHA-256 over the parts
	Teams      map[ident.TeamID]*Team             `json:"teams"`
	Models     map[ident.ModelID]*Model           `json:"models"`
	Services   map[ident.ServiceID]*Service       `json:"services"`
	Rollouts   map[ident.ModelID]*Rollout         `json:"rollouts"`
	Zones      map[ident.ZoneID]*Zone             `json:"zones"`
	Endpoints  map[ident.EndpointID]*EndpointSpec `json:"endpoints"`
}

// Team is a caller: what it may use, what it expects and how much it may ask.
type Team struct {
	ID       ident.TeamID      `json:"id"`
	Keys     []KeyHash         `json:"keys"`
	Models   []ModelGrant      `json:"models"`   // in no order; what is not listed is refused
	Services []ident.ServiceID `json:"services"` // plain services it may call
	Target   ident.Quality     `json:"target"`   // expected quality of an answer
	Cheaper  []ident.ModelID   `json:"cheaper"`  // models that may answer in place of a dearer one
	Weight   int               `json:"weight"`   // share under contention, 1 to 1000
	Priority Priority          `json:"priority"`
	Rate     float64           `json:"rate"`     // requests a second, 0 for no limit
	Burst    int               `json:"burst"`    // requests
	Deadline time.Duration     `json:"deadline"` // of a request that names none
}

// KeyHash is a hex SHA-256 of a team's API key.
type KeyHash string

// ModelGrant allows a team a model, and some or all of its versions.
type ModelGrant struct {
	Model    ident.ModelID     `json:"model"`
	Versions []ident.VersionID `json:"versions,omitempty"` // empty allows all
}

// Priority orders teams and requests when there is too little capacity.
type Priority int

// The priorities, from the first to be shed to the last.
const (
	PriorityBatch Priority = iota
	PriorityNormal
	PriorityHigh
	PriorityUrgent
)

// Model is a language model that endpoints serve in one or more versions.
type Model struct {
	ID       ident.ModelID     `json:"id"`
	Price    ident.Micros      `json:"price"`   // per 1,000 tokens, prompt and answer alike
	Quality  ident.Quality     `json:"quality"` // expected before any rating is seen
	Default  ident.VersionID   `json:"default"` // stable version, for new sessions
	Versions []ident.VersionID `json:"versions"`
	// Withdrawn versions receive no new work. A version once withdrawn stays
	// so until a later generation names it again under Versions only.
	Withdrawn []ident.VersionID `json:"withdrawn,omitempty"`
}

// Rollout moves new sessions of a model from its default version to another.
type Rollout struct {
	Model   ident.ModelID   `json:"model"`
	To      ident.VersionID `json:"to"`
	Steps   []Step          `json:"steps"`
	Paused  bool            `json:"paused"`
	Aborted bool            `json:"aborted"`
	Limits  RolloutLimits   `json:"limits"`
}

// Step is one stage of a roll-out, bounded by exposure and not only by share.
type Step struct {
	Share    ident.Share `json:"share"`    // of new sessions
	Sessions int         `json:"sessions"` // at most this many in the step, 0 for no limit
	Evidence int         `json:"evidence"` // answers that must be seen before the next step
}

// RolloutLimits says what makes a version bad compared with the default one.
type RolloutLimits struct {
	Errors  ident.Share   `json:"errors"`  // tolerated rise of the error share
	Quality ident.Quality `json:"quality"` // tolerated fall of the mean rating
	Latency float64       `json:"latency"` // tolerated factor on the time to the first token
}

// Zone is an availability zone.
type Zone struct {
	ID     ident.ZoneID   `json:"id"`
	Region ident.RegionID `json:"region"`
	Out    bool           `json:"out"` // taken out by operators: no new work
}

// EndpointSpec is what operators declare of a back end. Exactly one of
// Release and Service is set.
type EndpointSpec struct {
	ID      ident.EndpointID `json:"id"`
	Zone    ident.ZoneID     `json:"zone"`
	Address string           `json:"address"` // host:port
	Release ident.Release    `json:"release"`
	Service ident.ServiceID  `json:"service,omitempty"`
	Slots   int              `json:"slots"` // requests at once when warm
	Cold    int              `json:"cold"`  // requests at once during cold start
	Fenced  bool             `json:"fenced"`
}

// Service is a plain service whose calls are routed as they are.
type Service struct {
	ID         ident.ServiceID `json:"id"`
	Idempotent bool            `json:"idempotent"` // whether a call may be repeated
	Price      ident.Micros    `json:"price"`      // per call
	Deadline   time.Duration   `json:"deadline"`
}

// Allows tells whether the team may use a release.
func (t *Team) Allows(release ident.Release) bool {
	for _, g := range t.Models {
		if g.Model == release.Model {
			return g.allows(release.Version)
		}
	}
	return false
}

// AllowsService tells whether the team may call a plain service.
func (t *Team) AllowsService(service ident.ServiceID) bool {
	for _, s := range t.Services {
		if s == service {
			return true
		}
	}
	return false
}

// Has tells whether the version is declared and not withdrawn.
func (m *Model) Has(version ident.VersionID) bool {
	for _, v := range m.Withdrawn {
		if v == version {
			return false
		}
	}
	for _, v := range m.Versions {
		if v == version {
			return true
		}
	}
	return false
}

func (g ModelGrant) allows(version ident.VersionID) bool {
	if len(g.Versions) == 0 {
		return true
	}
	for _, v := range g.Versions {
		if v == version {
			return true
		}
	}
	return false
}
