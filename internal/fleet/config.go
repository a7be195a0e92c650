package fleet

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Config is a complete, validated configuration, compiled from the operators'
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

// Team is a group of callers with its permissions, quality target and rate
// limits.
type Team struct {
	ID            ident.TeamID      `json:"id"`
	Keys          []KeyHash         `json:"keys"`
	Models        []ModelGrant      `json:"models"`   // unordered; models not listed are refused
	Services      []ident.ServiceID `json:"services"` // plain services it may call
	TargetQuality ident.Quality     `json:"target"`   // expected quality of an answer
	CheaperModels []ident.ModelID   `json:"cheaper"`  // models that may answer instead of a more expensive one
	Weight        int               `json:"weight"`   // relative share under contention, 1 to 1000
	Priority      Priority          `json:"priority"`
	Rate          float64           `json:"rate"`     // requests per second, 0 for no limit
	Burst         int               `json:"burst"`    // requests
	Deadline      time.Duration     `json:"deadline"` // default for requests without one
}

// KeyHash is a hex SHA-256 of a team's API key.
type KeyHash string

// ModelGrant allows a team to use a model, in some or all of its versions.
type ModelGrant struct {
	Model    ident.ModelID     `json:"model"`
	Versions []ident.VersionID `json:"versions,omitempty"` // empty allows all
}

// Priority orders teams and requests for load shedding.
type Priority int

// The priorities, in the order in which requests are shed.
const (
	PriorityBatch Priority = iota
	PriorityNormal
	PriorityHigh
	PriorityUrgent
)

// Model is a language model that endpoints serve in one or more versions.
type Model struct {
	ID       ident.ModelID     `json:"id"`
	Price    ident.Micros      `json:"price"`   // per 1,000 tokens of prompt or answer
	Quality  ident.Quality     `json:"quality"` // assumed until there are ratings
	Default  ident.VersionID   `json:"default"` // stable version, used for new sessions
	Versions []ident.VersionID `json:"versions"`
	// Withdrawn versions receive no new work. A withdrawn version remains so until
	// a later generation lists it under Versions only.
	Withdrawn []ident.VersionID `json:"withdrawn,omitempty"`
}

// Rollout gradually moves new sessions of a model from its default version to
// another.
type Rollout struct {
	Model   ident.ModelID   `json:"model"`
	To      ident.VersionID `json:"to"`
	Steps   []RolloutStep   `json:"steps"`
	Paused  bool            `json:"paused"`
	Aborted bool            `json:"aborted"`
	Limits  RolloutLimits   `json:"limits"`
}

// RolloutStep is one stage of a roll-out, limited by exposure as well as by share.
type RolloutStep struct {
	Share    ident.Share `json:"share"`    // of new sessions
	Sessions int         `json:"sessions"` // maximum number of exposed sessions, 0 for no limit
	Evidence int         `json:"evidence"` // number of answers required before the next step
}

// RolloutLimits are the tolerated regressions of a version against the default
// one. A version that exceeds one of them is bad.
type RolloutLimits struct {
	Errors  ident.Share   `json:"errors"`  // tolerated increase of the error share
	Quality ident.Quality `json:"quality"` // tolerated decrease of the mean rating
	Latency float64       `json:"latency"` // tolerated factor on the time to first token
}

// Zone is an availability zone.
type Zone struct {
	ID     ident.ZoneID   `json:"id"`
	Region ident.RegionID `json:"region"`
	Out    bool           `json:"out"` // taken out by operators; receives no new work
}

// EndpointSpec is the declaration of a back end by operators. Exactly one of
// Release and Service is set.
type EndpointSpec struct {
	ID        ident.EndpointID `json:"id"`
	Zone      ident.ZoneID     `json:"zone"`
	Address   string           `json:"address"` // host:port
	Release   ident.Release    `json:"release"`
	Service   ident.ServiceID  `json:"service,omitempty"`
	Slots     int              `json:"slots"` // concurrent requests when warm
	ColdSlots int              `json:"cold"`  // concurrent requests during cold start
	Fenced    bool             `json:"fenced"`
}

// Service is a plain service, whose calls are routed unchanged.
type Service struct {
	ID         ident.ServiceID `json:"id"`
	Idempotent bool            `json:"idempotent"` // whether a call may be retried
	Price      ident.Micros    `json:"price"`      // per call
	Deadline   time.Duration   `json:"deadline"`
}

// Allows reports whether the team may use a release.
func (t *Team) Allows(release ident.Release) bool {
	for _, g := range t.Models {
		if g.Model == release.Model {
			return g.allows(release.Version)
		}
	}
	return false
}

// AllowsService reports whether the team may call a plain service.
func (t *Team) AllowsService(service ident.ServiceID) bool {
	for _, s := range t.Services {
		if s == service {
			return true
		}
	}
	return false
}

// IsActive reports whether the version is declared and not withdrawn.
func (m *Model) IsActive(version ident.VersionID) bool {
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
