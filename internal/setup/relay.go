package setup

import (
	"os"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/input"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Relay are the settings of a router of pass-through routes, whose platform is
// a store of kinds and names.
type Relay struct {
	Router   ident.RouterID
	Zone     ident.ZoneID
	Listen   string // host:port for callers
	Ready    string // host:port for the balancer's question whether to send callers
	Admin    string // host:port for metrics
	Feed     string // host:port at which other routers follow this one
	First    bool   // all routers start together for the first time
	Platform string // URL of the platform's store
	Log      Log
	Zones    []Place
	Limits   RelayLimits
	Retries  Retries
	Times    RelayTimes
	Exposure ident.Share // of a service's requests that a version on trial may get
	Slack    int         // requests beyond Exposure that it may get, from all routers
}

// Place names a zone and the region that it lies in.
type Place struct {
	Zone   ident.ZoneID
	Region ident.RegionID
}

// RelayLimits bound what the process uses.
type RelayLimits struct {
	Memory int     // MB
	Share  float64 // of a core
	Link   float64 // Mbit/s
	Reads  float64 // calls a second that the platform allows all routers
	Writes float64
}

// Retries bound how often requests are sent again, over all routers.
type Retries struct {
	Share  ident.Share // of the requests in a window
	Extra  int         // beyond the share, in each window
	Window time.Duration
}

// RelayTimes are the bounds that the router keeps to.
type RelayTimes struct {
	Grace  time.Duration // from the order to stop until the process is killed
	Drain  time.Duration // within which a leaving endpoint gets nothing more
	Apply  time.Duration // within which a configuration is in force
	Cutoff time.Duration // within which orders on zones and versions are followed
	// Session is how long after its last answer a session is in use.
	Session time.Duration
	Lapse   time.Duration // after the store's return, until missing entries count as gone
}

// DefaultRelay gives the settings that hold where the file says nothing.
func DefaultRelay() Relay {
	return Relay{
		Log:      Log{Level: "info"},
		Limits:   RelayLimits{Memory: 256, Share: 1, Link: 1000, Reads: 2000, Writes: 400},
		Retries:  Retries{Share: 0.1, Extra: 10, Window: 10 * time.Second},
		Exposure: 0.1,
		Times: RelayTimes{
			Grace: 10 * time.Second, Drain: 2 * time.Second, Apply: 2 * time.Second,
			Cutoff: 5 * time.Second, Lapse: 2 * time.Second, Session: 5 * time.Second,
		},
	}
}

// LoadRelay reads and checks the settings file of a router of pass-through
// routes. Its error is input.Problems, with every problem of the file.
func LoadRelay(path string) (Relay, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Relay{}, input.Problems{{File: path, What: err.Error(), Accepted: "a readable TOML file"}}
	}
	s, problems := ReadRelay(input.File{Path: path, Text: text})
	return s, problems.Err()
}

// ReadRelay checks the text of such a settings file.
func ReadRelay(f input.File) (Relay, input.Problems) {
	return readSections(f, RelaySections(), DefaultRelay(), nil)
}

// RelaySections gives every key of such a settings file, by table.
func RelaySections() []SectionOf[Relay] {
	preset := DefaultRelay()
	top := []input.Field[Relay]{
		input.Text("router", input.AcceptedName, "", input.IsName, func(s *Relay) *ident.RouterID { return &s.Router }).Require(),
		input.Text("zone", input.AcceptedName, "", input.IsName, func(s *Relay) *ident.ZoneID { return &s.Zone }).Require(),
		input.Text("listen", acceptedAddress, "", input.IsAddress, func(s *Relay) *string { return &s.Listen }).Require(),
		input.Text("ready", acceptedAddress, "", input.IsAddress, func(s *Relay) *string { return &s.Ready }).Require(),
		input.Text("admin", acceptedAddress, "", input.IsAddress, func(s *Relay) *string { return &s.Admin }).Require(),
		input.Text("feed", acceptedAddress, "", input.IsAddress, func(s *Relay) *string { return &s.Feed }).Require(),
		input.Bool("first", false, func(s *Relay) *bool { return &s.First }),
		input.Text("platform", acceptedURL, "", input.IsURL, func(s *Relay) *string { return &s.Platform }).Require(),
		input.Tables("zones", "a list of tables with zone and region", "[]", []input.Field[Place]{
			input.Text("zone", input.AcceptedName, "", input.IsName, func(p *Place) *ident.ZoneID { return &p.Zone }).Require(),
			input.Text("region", input.AcceptedName, "", input.IsName, func(p *Place) *ident.RegionID { return &p.Region }).Require(),
		}, func(s *Relay) *[]Place { return &s.Zones }),
		input.Float("exposure", "of a service's requests", 0, 1, preset.Exposure, func(s *Relay) *ident.Share { return &s.Exposure }),
		input.Int("slack", "requests", 0, 1000000, preset.Slack, func(s *Relay) *int { return &s.Slack }),
	}
	return []SectionOf[Relay]{
		{Fields: top},
		{Name: "log", Fields: []input.Field[Relay]{
			input.Choice("level", levels, levels, "info", func(s *Relay) *string { return &s.Log.Level }),
		}},
		{Name: "limits", Fields: []input.Field[Relay]{
			input.Int("memory", "MB", 16, 1<<20, preset.Limits.Memory, func(s *Relay) *int { return &s.Limits.Memory }),
			input.Float("share", "of a core", 0.01, 1024, preset.Limits.Share, func(s *Relay) *float64 { return &s.Limits.Share }),
			input.Float("link", "Mbit/s", 0.1, 1e6, preset.Limits.Link, func(s *Relay) *float64 { return &s.Limits.Link }),
			input.Float("reads", "calls a second", 1, 1e6, preset.Limits.Reads, func(s *Relay) *float64 { return &s.Limits.Reads }),
			input.Float("writes", "calls a second", 1, 1e6, preset.Limits.Writes, func(s *Relay) *float64 { return &s.Limits.Writes }),
		}},
		{Name: "retries", Fields: []input.Field[Relay]{
			input.Float("share", "of the requests", 0, 10, preset.Retries.Share, func(s *Relay) *ident.Share { return &s.Retries.Share }),
			input.Duration("window", time.Second, time.Hour, preset.Retries.Window, func(s *Relay) *time.Duration { return &s.Retries.Window }),
			input.Int("extra", "requests", 0, 1000000, preset.Retries.Extra, func(s *Relay) *int { return &s.Retries.Extra }),
		}},
		{Name: "times", Fields: []input.Field[Relay]{
			input.Duration("grace", time.Second, time.Hour, preset.Times.Grace, func(s *Relay) *time.Duration { return &s.Times.Grace }),
			input.Duration("drain", 100*time.Millisecond, time.Hour, preset.Times.Drain, func(s *Relay) *time.Duration { return &s.Times.Drain }),
			input.Duration("apply", 100*time.Millisecond, time.Hour, preset.Times.Apply, func(s *Relay) *time.Duration { return &s.Times.Apply }),
			input.Duration("cutoff", 100*time.Millisecond, time.Hour, preset.Times.Cutoff, func(s *Relay) *time.Duration { return &s.Times.Cutoff }),
			input.Duration("session", 0, 24*time.Hour, preset.Times.Session, func(s *Relay) *time.Duration { return &s.Times.Session }),
			input.Duration("lapse", 0, time.Hour, preset.Times.Lapse, func(s *Relay) *time.Duration { return &s.Times.Lapse }),
		}},
	}
}
