// Package ident names the things that marigoldscale routes between, and the
// units in which it counts them.
package ident

import (
	"fmt"
	"strings"
)

// TeamID names a team, the caller that owns requests and is billed for them.
type TeamID string

// ModelID names a model, without its version.
type ModelID string

// VersionID names one version of a model; it is unique only within the model.
type VersionID string

// ServiceID names a plain service that stands beside the model engines.
type ServiceID string

// EndpointID names one back end process.
type EndpointID string

// RouterID names one router instance; a replaced router takes a new name.
type RouterID string

// ZoneID names an availability zone.
type ZoneID string

// RegionID names a region, a group of availability zones.
type RegionID string

// RequestID names a caller's request; it is unique only within the team.
type RequestID string

// AttemptID names one try at running a request on an endpoint.
type AttemptID string

// SessionID names a caller's session; it is unique only within the team.
type SessionID string

// ClassID names a request class, within which quality estimates are shared.
type ClassID string

// Generation counts accepted configurations; it only ever grows.
type Generation uint64

// Term counts changes of a lease's holder; it is also the fencing number.
type Term uint64

// Tokens counts model tokens.
type Tokens int64

// Micros is an amount of money, in millionths of the billing currency.
type Micros int64

// Quality is a rated or expected answer quality, from 0 to 1.
type Quality float64

// Share is a fraction of a whole, from 0 to 1.
type Share float64

// Fingerprint is a hash of a request's body, used to recognise a repeat that
// comes under another request id.
type Fingerprint uint64

// Release is one version of one model.
type Release struct {
	Model   ModelID   `json:"model"`
	Version VersionID `json:"version"`
}

// String gives the release as model@version.
func (r Release) String() string {
	return string(r.Model) + "@" + string(r.Version)
}

// MarshalText lets a release serve as a key of a JSON object. The zero release
// is the empty text.
func (r Release) MarshalText() ([]byte, error) {
	if r == (Release{}) {
		return nil, nil
	}
	return []byte(r.String()), nil
}

// UnmarshalText reads the form that String writes.
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

// ParseRelease reads model@version, and fails if either part is empty.
func ParseRelease(text string) (Release, error) {
	model, version, ok := strings.Cut(text, "@")
	if !ok || model == "" || version == "" {
		return Release{}, fmt.Errorf("release %q is not of the form model@version", text)
	}
	return Release{Model: ModelID(model), Version: VersionID(version)}, nil
}

// RequestKey identifies a request over the whole fleet.
type RequestKey struct {
	Team    TeamID    `json:"team"`
	Request RequestID `json:"request"`
}

// String gives the key as team/request.
func (k RequestKey) String() string {
	return string(k.Team) + "/" + string(k.Request)
}

// SessionKey identifies a session over the whole fleet.
type SessionKey struct {
	Team    TeamID    `json:"team"`
	Session SessionID `json:"session"`
}

// String gives the key as team/session.
func (k SessionKey) String() string {
	return string(k.Team) + "/" + string(k.Session)
}
