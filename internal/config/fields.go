package config

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/input"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	maxPrice      = 1_000_000_000 // micros
	maxSlots      = 100_000       // requests
	maxRate       = 1_000_000     // requests a second
	maxSessions   = 1_000_000_000
	keyHashDigits = 64 // hex digits of a SHA-256 digest

	acceptedNames    = "a list of names"
	acceptedReleases = "a list of model or model@version"
	acceptedHashes   = "a list of 64 hex digits each, as printed by `marigoldscale keys hash`"
	acceptedSteps    = "a list of {share = 0 to 1, sessions = 0 to 1000000000, evidence = 0 to 1000000000}"
)

// rawTeam is a team with the keys and grants as written in the file.
type rawTeam struct {
	fleet.Team
	keys   []string
	grants []string
}

// rawEndpoint is an endpoint with the release as written in the file.
type rawEndpoint struct {
	fleet.EndpointSpec
	release string
}

func teamFields() []input.Field[rawTeam] {
	type team = rawTeam
	words := []string{"batch", "normal", "high", "urgent"}
	values := []fleet.Priority{fleet.PriorityBatch, fleet.PriorityNormal, fleet.PriorityHigh, fleet.PriorityUrgent}
	return []input.Field[team]{
		input.Strings("keys", acceptedHashes, input.AnyText, func(t *team) *[]string { return &t.keys }),
		input.Strings("models", acceptedReleases, isGrant, func(t *team) *[]string { return &t.grants }),
		input.Strings("services", acceptedNames, input.IsName, func(t *team) *[]ident.ServiceID { return &t.Services }),
		input.Float("target", "", 0, 1, ident.Quality(0), func(t *team) *ident.Quality { return &t.TargetQuality }),
		input.Strings("cheaper", acceptedNames, input.IsName, func(t *team) *[]ident.ModelID { return &t.CheaperModels }),
		input.Int("weight", "", 1, 1000, 1, func(t *team) *int { return &t.Weight }),
		input.Choice("priority", words, values, "normal", func(t *team) *fleet.Priority { return &t.Priority }),
		input.Float("rate", "requests a second, 0 for no limit", 0, maxRate, 0.0, func(t *team) *float64 { return &t.Rate }),
		input.Int("burst", "requests", 0, maxRate, 0, func(t *team) *int { return &t.Burst }),
		input.Duration("deadline", time.Millisecond, time.Hour, defaultDeadline, func(t *team) *time.Duration { return &t.Deadline }),
	}
}

func modelFields() []input.Field[fleet.Model] {
	type model = fleet.Model
	return []input.Field[model]{
		input.Int("price", "micros per 1,000 tokens", 0, maxPrice, ident.Micros(0), func(m *model) *ident.Micros { return &m.Price }).AsRequired(),
		input.Float("quality", "", 0, 1, ident.Quality(0), func(m *model) *ident.Quality { return &m.Quality }).AsRequired(),
		input.String("default", input.AcceptedName, "", input.IsName, func(m *model) *ident.VersionID { return &m.Default }).AsRequired(),
		input.Strings("versions", acceptedNames, input.IsName, func(m *model) *[]ident.VersionID { return &m.Versions }).AsRequired(),
		input.Strings("withdrawn", acceptedNames, input.IsName, func(m *model) *[]ident.VersionID { return &m.Withdrawn }),
	}
}

func serviceFields() []input.Field[fleet.Service] {
	type service = fleet.Service
	return []input.Field[service]{
		input.Bool("idempotent", false, func(s *service) *bool { return &s.Idempotent }),
		input.Int("price", "micros per call", 0, maxPrice, ident.Micros(0), func(s *service) *ident.Micros { return &s.Price }),
		input.Duration("deadline", time.Millisecond, time.Hour, defaultDeadline, func(s *service) *time.Duration { return &s.Deadline }),
	}
}

func zoneFields() []input.Field[fleet.Zone] {
	return []input.Field[fleet.Zone]{
		input.String("region", input.AcceptedName, "", input.IsName, func(z *fleet.Zone) *ident.RegionID { return &z.Region }).AsRequired(),
		input.Bool("out", false, func(z *fleet.Zone) *bool { return &z.Out }),
	}
}

func endpointFields() []input.Field[rawEndpoint] {
	type spec = rawEndpoint
	return []input.Field[spec]{
		input.String("zone", input.AcceptedName, "", input.IsName, func(e *spec) *ident.ZoneID { return &e.Zone }).AsRequired(),
		input.String("address", "host:port", "", isAddress, func(e *spec) *string { return &e.Address }).AsRequired(),
		input.String("release", "model@version", "", isRelease, func(e *spec) *string { return &e.release }),
		input.String("service", input.AcceptedName, "", input.IsName, func(e *spec) *ident.ServiceID { return &e.Service }),
		input.Int("slots", "requests at once", 1, maxSlots, 1, func(e *spec) *int { return &e.Slots }).AsRequired(),
		input.Int("cold", "requests at once", 0, maxSlots, 1, func(e *spec) *int { return &e.ColdSlots }),
		input.Bool("fenced", false, func(e *spec) *bool { return &e.Fenced }),
	}
}

func rolloutFields() []input.Field[fleet.Rollout] {
	type rollout = fleet.Rollout
	preset := defaultLimits()
	return []input.Field[rollout]{
		input.String("to", input.AcceptedName, "", input.IsName, func(r *rollout) *ident.VersionID { return &r.To }).AsRequired(),
		input.TableList("steps", acceptedSteps, "the standard steps", stepFields(), func(r *rollout) *[]fleet.RolloutStep { return &r.Steps }),
		input.Bool("paused", false, func(r *rollout) *bool { return &r.Paused }),
		input.Bool("aborted", false, func(r *rollout) *bool { return &r.Aborted }),
		input.Float("errors", ", a rise of the error share", 0, 1, preset.Errors, func(r *rollout) *ident.Share { return &r.Limits.Errors }),
		input.Float("quality", ", a fall of the mean rating", 0, 1, preset.Quality, func(r *rollout) *ident.Quality { return &r.Limits.Quality }),
		input.Float("latency", ", a factor on the time to the first token", 1, 100, preset.Latency, func(r *rollout) *float64 { return &r.Limits.Latency }),
	}
}

func stepFields() []input.Field[fleet.RolloutStep] {
	return []input.Field[fleet.RolloutStep]{
		input.Float("share", ", a part of new sessions", 0, 1, ident.Share(0), func(s *fleet.RolloutStep) *ident.Share { return &s.Share }).AsRequired(),
		input.Int("sessions", "sessions, 0 for no limit", 0, maxSessions, 0, func(s *fleet.RolloutStep) *int { return &s.Sessions }),
		input.Int("evidence", "answers", 0, maxSessions, 0, func(s *fleet.RolloutStep) *int { return &s.Evidence }),
	}
}

// isKeyHash reports whether text is a key's hash rather than a plain key.
func isKeyHash(text string) bool {
	if len(text) != keyHashDigits || text != strings.ToLower(text) {
		return false
	}
	_, err := hex.DecodeString(text)
	return err == nil
}

func isRelease(text string) bool {
	r, err := ident.ParseRelease(text)
	return err == nil && input.IsName(string(r.Model)) && input.IsName(string(r.Version))
}

func isGrant(text string) bool {
	return input.IsName(text) || isRelease(text)
}

// isAddress reports whether text is an address with a port other than 0.
func isAddress(text string) bool {
	return input.IsAddress(text) && !strings.HasSuffix(text, ":0")
}
