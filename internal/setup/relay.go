package setup

import (
	"os"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/input"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Relay holds the settings of a router of pass-through routes, whose platform is
// an object store with objects addressed by kind and name.
type Relay struct {
	Router   ident.RouterID
	Zone     ident.ZoneID
	Listen   string // host:port for callers
	Ready    string // host:port for the load balancer's readiness checks
	Admin    string // host:port for metrics
	Feed     string // host:port at which other routers subscribe to this one's updates
	Handoff  string // host:port at which other routers hand over requests, "" for none
	First    bool   // all routers start together for the first time
	Platform string // URL of the platform's object store
	Log      Log
	Zones    []ZoneLocation
	Limits   RelayLimits
	Retries  Retries
	Times    RelayTimes
	Exposure ident.Share // maximum share of a service's requests for a version on trial
	Slack    float64     // requests allowed beyond Exposure, over all routers
}

// ZoneLocation maps an availability zone to its region.
type ZoneLocation struct {
	Zone   ident.ZoneID
	Region ident.RegionID
}

// RelayLimits are the resources that the router may use.
type RelayLimits struct {
	Memory float64 // MB
	Share  float64 // CPU cores
	Link   float64 // network bandwidth in Mbit/s
	Reads  float64 // platform reads per second, over all routers
	Writes float64 // platform writes per second, over all routers
	// Descriptors is the number of files and connections that the process may have open.
	Descriptors float64
}

// Retries is the retry budget, over all routers.
type Retries struct {
	Share  ident.Share // retries per request in a window
	Extra  float64     // retries beyond the share in each window
	Window time.Duration
}

// RelayTimes are the router's deadlines and expiry times.
type RelayTimes struct {
	Grace  time.Duration // from the stop signal until the process is killed
	Drain  time.Duration // until a leaving endpoint gets no more requests
	Apply  time.Duration // until a configuration is applied
	Cutoff time.Duration // until a change of a zone's or version's state is applied
	// Session is how long after its last response a session remains in use.
	Session time.Duration
	Lapse   time.Duration // after the store recovers, until missing entries are removed
}

// DefaultRelay returns the default settings.
func DefaultRelay() Relay {
	return Relay{
		Log:      Log{Level: "info"},
		Limits:   RelayLimits{Memory: 256, Share: 1, Link: 1000, Reads: 2000, Writes: 400, Descriptors: 65536},
		Retries:  Retries{Share: 0.1, Extra: 10, Window: 10 * time.Second},
		Exposure: 0.1,
		Times: RelayTimes{
			Grace: 10 * time.Second, Drain: 2 * time.Second, Apply: 2 * time.Second,
			Cutoff: 5 * time.Second, Lapse: 2 * time.Second, Session: 5 * time.Second,
		},
	}
}

// LoadRelay reads and validates the settings file of a router of pass-through
// routes. Its error is an input.Problems with every error in the file.
func LoadRelay(path string) (Relay, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Relay{}, input.Problems{{File: path, Message: err.Error(), Accepted: "a readable TOML file"}}
	}
	s, problems := ReadRelay(input.File{Path: path, Text: text})
	return s, problems.Err()
}

// ReadRelay parses and validates the text of such a settings file.
func ReadRelay(f input.File) (Relay, input.Problems) {
	return decodeSections(f, RelaySections(), DefaultRelay(), nil)
}

// RelaySections returns the tables of such a settings file with their keys.
func RelaySections() []SectionOf[Relay] {
	defaults := DefaultRelay()
	top := []input.Field[Relay]{
		input.String("router", input.AcceptedName, "", input.IsName, func(s *Relay) *ident.RouterID { return &s.Router }).AsRequired(),
		input.String("zone", input.AcceptedName, "", input.IsName, func(s *Relay) *ident.ZoneID { return &s.Zone }).AsRequired(),
		input.String("listen", acceptedAddress, "", input.IsAddress, func(s *Relay) *string { return &s.Listen }).AsRequired(),
		input.String("ready", acceptedAddress, "", input.IsAddress, func(s *Relay) *string { return &s.Ready }).AsRequired(),
		input.String("admin", acceptedAddress, "", input.IsAddress, func(s *Relay) *string { return &s.Admin }).AsRequired(),
		input.String("feed", acceptedAddress, "", input.IsAddress, func(s *Relay) *string { return &s.Feed }).AsRequired(),
		input.String("handoff", acceptedAddress, "", input.IsAddress, func(s *Relay) *string { return &s.Handoff }),
		input.Bool("first", false, func(s *Relay) *bool { return &s.First }),
		input.String("platform", acceptedURL, "", input.IsURL, func(s *Relay) *string { return &s.Platform }).AsRequired(),
		input.TableList("zones", "a list of tables with zone and region", "[]", []input.Field[ZoneLocation]{
			input.String("zone", input.AcceptedName, "", input.IsName, func(p *ZoneLocation) *ident.ZoneID { return &p.Zone }).AsRequired(),
			input.String("region", input.AcceptedName, "", input.IsName, func(p *ZoneLocation) *ident.RegionID { return &p.Region }).AsRequired(),
		}, func(s *Relay) *[]ZoneLocation { return &s.Zones }),
		input.Float("exposure", "of a service's requests", 0, 1, defaults.Exposure, func(s *Relay) *ident.Share { return &s.Exposure }),
		input.Float("slack", "requests", 0, 1000000, defaults.Slack, func(s *Relay) *float64 { return &s.Slack }),
	}
	return []SectionOf[Relay]{
		{Fields: top},
		{Name: "log", Fields: []input.Field[Relay]{
			input.Choice("level", logLevels, logLevels, "info", func(s *Relay) *string { return &s.Log.Level }),
		}},
		{Name: "limits", Fields: []input.Field[Relay]{
			input.Float("memory", "MB", 16, 1<<20, defaults.Limits.Memory, func(s *Relay) *float64 { return &s.Limits.Memory }),
			input.Float("share", "of a core", 0.01, 1024, defaults.Limits.Share, func(s *Relay) *float64 { return &s.Limits.Share }),
			input.Float("link", "Mbit/s", 0.1, 1e6, defaults.Limits.Link, func(s *Relay) *float64 { return &s.Limits.Link }),
			input.Float("reads", "calls a second", 1, 1e6, defaults.Limits.Reads, func(s *Relay) *float64 { return &s.Limits.Reads }),
			input.Float("fds", "descriptors", 512, 1<<24, defaults.Limits.Descriptors, func(s *Relay) *float64 { return &s.Limits.Descriptors }),
			input.Float("writes", "calls a second", 1, 1e6, defaults.Limits.Writes, func(s *Relay) *float64 { return &s.Limits.Writes }),
		}},
		{Name: "retries", Fields: []input.Field[Relay]{
			input.Float("share", "of the requests", 0, 10, defaults.Retries.Share, func(s *Relay) *ident.Share { return &s.Retries.Share }),
			input.Duration("window", time.Second, time.Hour, defaults.Retries.Window, func(s *Relay) *time.Duration { return &s.Retries.Window }),
			input.Float("extra", "requests", 0, 1000000, defaults.Retries.Extra, func(s *Relay) *float64 { return &s.Retries.Extra }),
		}},
		{Name: "times", Fields: []input.Field[Relay]{
			input.Duration("grace", time.Second, time.Hour, defaults.Times.Grace, func(s *Relay) *time.Duration { return &s.Times.Grace }),
			input.Duration("drain", 100*time.Millisecond, time.Hour, defaults.Times.Drain, func(s *Relay) *time.Duration { return &s.Times.Drain }),
			input.Duration("apply", 100*time.Millisecond, time.Hour, defaults.Times.Apply, func(s *Relay) *time.Duration { return &s.Times.Apply }),
			input.Duration("cutoff", 100*time.Millisecond, time.Hour, defaults.Times.Cutoff, func(s *Relay) *time.Duration { return &s.Times.Cutoff }),
			input.Duration("session", 0, 24*time.Hour, defaults.Times.Session, func(s *Relay) *time.Duration { return &s.Times.Session }),
			input.Duration("lapse", 0, time.Hour, defaults.Times.Lapse, func(s *Relay) *time.Duration { return &s.Times.Lapse }),
		}},
	}
}
