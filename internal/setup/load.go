package setup

import (
	"encoding/hex"
	"os"
	"strings"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/input"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	acceptedAddress = "host:port"
	acceptedURL     = "an http or https URL"
)

// SectionOf is one table of a settings file; the first has no name.
type SectionOf[T any] struct {
	Name   string
	Fields []input.Field[T]
}

// Section is one table of the router's settings file.
type Section = SectionOf[Settings]

// levels are the levels of log lines.
var levels = []string{"debug", "info", "warn", "error"}

// Load reads and checks the settings file. Its error is input.Problems, with
// every problem of the file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, input.Problems{{File: path, What: err.Error(), Accepted: "a readable TOML file"}}
	}
	settings, problems := Read(input.File{Path: path, Text: text})
	return settings, problems.Err()
}

// Read checks the text of a settings file, without reading any other file.
func Read(f input.File) (Settings, input.Problems) {
	return readSections(f, Sections(), Default(), check)
}

// readSections reads a file's tables over the defaults. Check, if not nil,
// finds what no key shows alone.
func readSections[T any](f input.File, sections []SectionOf[T], s T, check func(*input.Document, T) input.Problems) (T, input.Problems) {
	var none T
	d, problems := input.Parse(f)
	if d == nil {
		return none, problems
	}
	top := map[string]any{}
	for name, value := range d.Root {
		top[name] = value
	}
	for _, section := range sections[1:] {
		value, written := top[section.Name]
		delete(top, section.Name)
		table, isTable := value.(map[string]any)
		if written && !isTable {
			problems = append(problems, d.Problem([]string{section.Name}, "not a table", "["+section.Name+"]"))
			continue
		}
		problems = append(problems, input.Read(d, []string{section.Name}, table, section.Fields, &s)...)
	}
	problems = append(problems, input.Read(d, nil, top, sections[0].Fields, &s)...)
	if check != nil {
		problems = append(problems, check(d, s)...)
	}
	problems = problems.Sort()
	if len(problems) > 0 {
		return none, problems
	}
	return s, nil
}

// check finds what no key shows alone.
func check(d *input.Document, s Settings) input.Problems {
	var problems input.Problems
	set := 0
	for _, name := range []string{s.TLS.Cert, s.TLS.Key, s.TLS.CA} {
		if name != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		problems = append(problems, d.Problem([]string{"tls"}, "only some of cert, key and ca are given", "all three or none"))
	}
	if s.Times.Stale < 2*s.Times.Heartbeat {
		problems = append(problems, d.Problem([]string{"times", "stale"}, "shorter than two heartbeats", "at least twice times.heartbeat"))
	}
	return append(problems, checkAddresses(d, s)...)
}

func checkAddresses(d *input.Document, s Settings) input.Problems {
	var problems input.Problems
	users := map[string]string{s.Listen: "listen"}
	for _, use := range [][2]string{{"admin", s.Admin}, {"peer", s.Peer}} {
		name, address := use[0], use[1]
		if address == "" || strings.HasSuffix(address, ":0") {
			continue
		}
		if other, taken := users[address]; taken {
			problems = append(problems, d.Problem([]string{name}, "the same address as "+other, "an address of its own"))
		}
		users[address] = name
	}
	return problems
}

// Sections gives every key of the settings file, by table.
func Sections() []Section {
	return []Section{
		{Fields: topFields()},
		{Name: "log", Fields: []input.Field[Settings]{
			input.Choice("level", levels, levels, "info",
				func(s *Settings) *string { return &s.Log.Level }),
		}},
		{Name: "tls", Fields: []input.Field[Settings]{
			path("cert", "PEM certificate", func(s *Settings) *string { return &s.TLS.Cert }),
			path("key", "PEM private key", func(s *Settings) *string { return &s.TLS.Key }),
			path("ca", "PEM certificates of the authority", func(s *Settings) *string { return &s.TLS.CA }),
		}},
		{Name: "trace", Fields: []input.Field[Settings]{
			path("file", "JSON lines of spans", func(s *Settings) *string { return &s.Trace.File }),
			input.Text("otlp", acceptedAddress, `""`, emptyOr(input.IsAddress), func(s *Settings) *string { return &s.Trace.OTLP }),
		}},
		{Name: "limits", Fields: limitFields()},
		{Name: "journal", Fields: journalFields()},
		{Name: "times", Fields: timeFields()},
		{Name: "token", Fields: []input.Field[Settings]{
			input.Text("key", "64 hex digits, equal on all routers", "", hexKey, func(s *Settings) *string { return &s.Token.Key }).Require(),
		}},
	}
}

func topFields() []input.Field[Settings] {
	return []input.Field[Settings]{
		input.Text("router", input.AcceptedName, "", input.IsName, func(s *Settings) *ident.RouterID { return &s.Router }).Require(),
		input.Text("zone", input.AcceptedName, "", input.IsName, func(s *Settings) *ident.ZoneID { return &s.Zone }).Require(),
		input.Text("listen", acceptedAddress, "", input.IsAddress, func(s *Settings) *string { return &s.Listen }).Require(),
		input.Text("admin", acceptedAddress, "", input.IsAddress, func(s *Settings) *string { return &s.Admin }).Require(),
		input.Text("peer", acceptedAddress, "", input.IsAddress, func(s *Settings) *string { return &s.Peer }).Require(),
		input.Text("platform", acceptedURL, "", input.IsURL, func(s *Settings) *string { return &s.Platform }).Require(),
		input.Text("rater", acceptedURL, `""`, emptyOr(input.IsURL), func(s *Settings) *string { return &s.Rater }),
		input.Texts("peers", "a list of host:port", input.IsAddress, func(s *Settings) *[]string { return &s.Peers }),
	}
}

func limitFields() []input.Field[Settings] {
	preset := Default().Limits
	return []input.Field[Settings]{
		input.Int("body", "bytes", 1<<10, 64<<20, preset.Body, func(s *Settings) *int { return &s.Limits.Body }),
		input.Int("header", "bytes", 1<<10, 1<<20, preset.Header, func(s *Settings) *int { return &s.Limits.Header }),
		input.Int("streams", "answers", 1, 1000000, preset.Streams, func(s *Settings) *int { return &s.Limits.Streams }),
		input.Duration("idle", time.Second, time.Hour, preset.Idle, func(s *Settings) *time.Duration { return &s.Limits.Idle }),
	}
}

func journalFields() []input.Field[Settings] {
	preset := Default().Journal
	return []input.Field[Settings]{
		input.Int("shards", "shards", 1, 4096, preset.Shards, func(s *Settings) *int { return &s.Journal.Shards }),
		input.Duration("interval", time.Millisecond, time.Second, preset.Interval,
			func(s *Settings) *time.Duration { return &s.Journal.Interval }),
		input.Duration("compact", time.Second, time.Hour, preset.Compact,
			func(s *Settings) *time.Duration { return &s.Journal.Compact }),
	}
}

func timeFields() []input.Field[Settings] {
	preset := Default().Times
	return []input.Field[Settings]{
		input.Duration("heartbeat", 10*time.Millisecond, 10*time.Second, preset.Heartbeat,
			func(s *Settings) *time.Duration { return &s.Times.Heartbeat }),
		input.Duration("report", 10*time.Millisecond, 10*time.Second, preset.Report,
			func(s *Settings) *time.Duration { return &s.Times.Report }),
		input.Duration("stale", 100*time.Millisecond, time.Minute, preset.Stale,
			func(s *Settings) *time.Duration { return &s.Times.Stale }),
		input.Duration("drain", time.Second, 24*time.Hour, preset.Drain,
			func(s *Settings) *time.Duration { return &s.Times.Drain }),
		input.Duration("watch", 100*time.Millisecond, time.Minute, preset.Watch,
			func(s *Settings) *time.Duration { return &s.Times.Watch }),
	}
}

func path(name, holds string, at func(*Settings) *string) input.Field[Settings] {
	return input.Text(name, "path of a file: "+holds, `""`, input.Any, at)
}

func hexKey(text string) bool {
	raw, err := hex.DecodeString(text)
	return err == nil && len(raw) == 32
}

func emptyOr(valid func(string) bool) func(string) bool {
	return func(text string) bool { return text == "" || valid(text) }
}
