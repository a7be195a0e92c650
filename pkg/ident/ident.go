// Package ident defines the identifiers of teams, models, endpoints, routers and
// requests, and the units of tokens, money and quality.
package ident

import (
	"fmt"
	"strings"
)

// TeamID identifies a team, which owns requests and is billed for them.
type TeamID string

// ModelID identifies a model, without its version.
type ModelID string

// VersionID identifies a version of a model. It is unique only within the model.
type VersionID string

// ServiceID identifies a plain service, which is not a model engine.
type ServiceID string

// EndpointID identifies a back-end process.
type EndpointID string

// RouterID identifies a router instance. The replacement of a router needs a new
// one.
type RouterID string

// ZoneID identifies an availability zone.
type ZoneID string

// RegionID identifies a region, a group of availability zones.
type RegionID string

// RequestID identifies a caller's request. It is unique only within the team.
type RequestID string

// AttemptID identifies one attempt to run a request on an endpoint.
type AttemptID string

// SessionID identifies a caller's session. It is unique only within the team.
type SessionID string

// ClassID identifies a request class, whose requests share quality estimates.
type ClassID string

// Generation numbers accepted configurations. It increases monotonically.
type Generation uint64

// Term counts changes of a lease's holder. It serves as the fencing token.
type Term uint64

// Tokens is a number of model tokens.
type Tokens int64

// Micros is an amount of money, in millionths of the billing currency.
type Micros int64

// Quality is the measured or expected quality of a response, from 0 to 1.
type Quality float64

// Share is a fraction, from 0 to 1.
type Share float64

// Fingerprint is a hash of a request's body. It detects duplicates that have
// another request id.
type Fingerprint uint64

// Release is one version of one model.
type Release struct {
	Model   ModelID   `json:"model"`
	Version VersionID `json:"version"`
}

// String formats the release as model@version.
func (r Release) String() string {
	return string(r.Model) + "@" + string(r.Version)
}

// MarshalText encodes the release as model@version, so that it can be a key of a
// JSON object. The zero release is encoded as empty text.
func (r Release) MarshalText() ([]byte, error) {
	if r == (Release{}) {
		return nil, nil
	}
	return []byte(r.String()), nil
}

// UnmarshalText decodes the format of MarshalText.
func (r *Release) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*r = Release{}
		return nil
	}
	parsed, err := ParseRelease(string(text))
	if err != nil {
		return err
	}
	*r = parsed
	return nil
}

// ParseRelease parses model@version. It returns an error if either part is empty.
func ParseRelease(text string) (Release, error) {
	model, version, ok := strings.Cut(text, "@")
	if !ok || model == "" || version == "" {
		return Release{}, fmt.Errorf("release %q is not of the form model@version", text)
	}
	return Release{Model: ModelID(model), Version: VersionID(version)}, nil
}

// RequestKey identifies a request on all routers.
type RequestKey struct {
	Team    TeamID    `json:"team"`
	Request RequestID `json:"request"`
}

// String formats the key as team/request.
func (k RequestKey) String() string {
	return string(k.Team) + "/" + string(k.Request)
}

// SessionKey identifies a session on all routers.
type SessionKey struct {
	Team    TeamID    `json:"team"`
	Session SessionID `json:"session"`
}

// String formats the key as team/session.
func (k SessionKey) String() string {
	return string(k.Team) + "/" + string(k.Session)
}
