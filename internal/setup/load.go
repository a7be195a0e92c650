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

// SectionOf describes one table of a settings file. The top-level table has no
// name.
type SectionOf[T any] struct {
	Name   string
	Fields []input.Field[T]
}

// Section is one table of the router's settings file.
type Section = SectionOf[Settings]

// logLevels are the accepted log levels.
var logLevels = []string{"debug", "info", "warn", "error"}

// Load reads and validates a settings file. Its error is an input.Problems with
// every error in the file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, input.Problems{{File: path, Message: err.Error(), Accepted: "a readable TOML file"}}
	}
	settings, problems := Read(input.File{Path: path, Text: text})
	return settings, problems.Err()
}

// Read parses and validates the text of a settings file. It does not open the
// files that the settings name.
func Read(f input.File) (Settings, input.Problems) {
	return decodeSections(f, Sections(), Default(), validate)
}

// decodeSections decodes a file's tables over the given defaults. The check, if
// not nil, validates settings that depend on each other.
func decodeSections[T any](f input.File, sections []SectionOf[T], s T, check func(*input.Document, T) input.Problems) (T, input.Problems) {
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
		value, present := top[section.Name]
		delete(top, section.Name)
		table, isTable := value.(map[string]any)
		if present && !isTable {
			problems = append(problems, d.Problem([]string{section.Name}, "not a table", "["+section.Name+"]"))
			continue
		}
		problems = append(problems, input.Decode(d, []string{section.Name}, table, section.Fields, &s)...)
	}
	problems = append(problems, input.Decode(d, nil, top, sections[0].Fields, &s)...)
	if check != nil {
		problems = append(problems, check(d, s)...)
	}
	problems = problems.Sort()
	if len(problems) > 0 {
		return none, problems
	}
	return s, nil
}

// minMemoryMB is the least memory of a router, as for pass-through routes.
const minMemoryMB = 16

// validate checks settings that depend on each other.
func validate(d *input.Document, s Settings) input.Problems {
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
	if s.Limits.Memory != 0 && s.Limits.Memory < minMemoryMB {
		problems = append(problems, d.Problem([]string{"limits", "memory"}, "too little for a router", "0, or at least 16 MB"))
	}
	return append(problems, validateAddresses(d, s)...)
}

func validateAddresses(d *input.Document, s Settings) input.Problems {
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

// Sections returns the tables of the settings file with their keys.
func Sections() []Section {
	return []Section{
		{Fields: topFields()},
		{Name: "log", Fields: []input.Field[Settings]{
			input.Choice("level", logLevels, logLevels, "info",
				func(s *Settings) *string { return &s.Log.Level }),
		}},
		{Name: "tls", Fields: []input.Field[Settings]{
			pathField("cert", "PEM certificate", func(s *Settings) *string { return &s.TLS.Cert }),
			pathField("key", "PEM private key", func(s *Settings) *string { return &s.TLS.Key }),
			pathField("ca", "PEM certificates of the authority", func(s *Settings) *string { return &s.TLS.CA }),
		}},
		{Name: "trace", Fields: []input.Field[Settings]{
			pathField("file", "JSON lines of spans", func(s *Settings) *string { return &s.Trace.File }),
			input.String("otlp", acceptedAddress, `""`, optional(input.IsAddress), func(s *Settings) *string { return &s.Trace.OTLP }),
		}},
		{Name: "limits", Fields: limitFields()},
		{Name: "journal", Fields: journalFields()},
		{Name: "times", Fields: timeFields()},
		{Name: "token", Fields: []input.Field[Settings]{
			input.String("key", "64 hex digits, equal on all routers", "", isHexKey, func(s *Settings) *string { return &s.Token.Key }).AsRequired(),
		}},
	}
}

func topFields() []input.Field[Settings] {
	return []input.Field[Settings]{
		input.String("router", input.AcceptedName, "", input.IsName, func(s *Settings) *ident.RouterID { return &s.Router }).AsRequired(),
		input.String("zone", input.AcceptedName, "", input.IsName, func(s *Settings) *ident.ZoneID { return &s.Zone }).AsRequired(),
		input.String("listen", acceptedAddress, "", input.IsAddress, func(s *Settings) *string { return &s.Listen }).AsRequired(),
		input.String("admin", acceptedAddress, "", input.IsAddress, func(s *Settings) *string { return &s.Admin }).AsRequired(),
		input.String("peer", acceptedAddress, "", input.IsAddress, func(s *Settings) *string { return &s.Peer }).AsRequired(),
		input.String("platform", acceptedURL, "", input.IsURL, func(s *Settings) *string { return &s.Platform }).AsRequired(),
		input.String("rater", acceptedURL, `""`, optional(input.IsURL), func(s *Settings) *string { return &s.Rater }),
		input.Strings("peers", "a list of host:port", input.IsAddress, func(s *Settings) *[]string { return &s.Peers }),
	}
}

func limitFields() []input.Field[Settings] {
	defaults := Default().Limits
	return []input.Field[Settings]{
		input.Int("body", "bytes", 1<<10, 64<<20, defaults.Body, func(s *Settings) *int { return &s.Limits.Body }),
		input.Int("header", "bytes", 1<<10, 1<<20, defaults.Header, func(s *Settings) *int { return &s.Limits.Header }),
		input.Int("streams", "answers", 1, 1000000, defaults.Streams, func(s *Settings) *int { return &s.Limits.Streams }),
		input.Duration("idle", time.Second, time.Hour, defaults.Idle, func(s *Settings) *time.Duration { return &s.Limits.Idle }),
		input.Float("memory", "MB, 0 for no bound", 0, 1<<20, defaults.Memory, func(s *Settings) *float64 { return &s.Limits.Memory }),
		input.Float("fds", "descriptors", 512, 1<<24, defaults.Descriptors, func(s *Settings) *float64 { return &s.Limits.Descriptors }),
		input.Float("share", "of a core", 0.01, 1024, defaults.Share, func(s *Settings) *float64 { return &s.Limits.Share }),
	}
}

func journalFields() []input.Field[Settings] {
	defaults := Default().Journal
	return []input.Field[Settings]{
		input.Int("shards", "shards", 1, 4096, defaults.Shards, func(s *Settings) *int { return &s.Journal.Shards }),
		input.Duration("interval", time.Millisecond, time.Second, defaults.Interval,
			func(s *Settings) *time.Duration { return &s.Journal.Interval }),
		input.Duration("compact", time.Second, time.Hour, defaults.Compact,
			func(s *Settings) *time.Duration { return &s.Journal.Compact }),
	}
}

func timeFields() []input.Field[Settings] {
	defaults := Default().Times
	return []input.Field[Settings]{
		input.Duration("heartbeat", 10*time.Millisecond, 10*time.Second, defaults.Heartbeat,
			func(s *Settings) *time.Duration { return &s.Times.Heartbeat }),
		input.Duration("report", 10*time.Millisecond, 10*time.Second, defaults.Report,
			func(s *Settings) *time.Duration { return &s.Times.Report }),
		input.Duration("stale", 100*time.Millisecond, time.Minute, defaults.Stale,
			func(s *Settings) *time.Duration { return &s.Times.Stale }),
		input.Duration("drain", time.Second, 24*time.Hour, defaults.Drain,
			func(s *Settings) *time.Duration { return &s.Times.Drain }),
		input.Duration("watch", 100*time.Millisecond, time.Minute, defaults.Watch,
			func(s *Settings) *time.Duration { return &s.Times.Watch }),
	}
}

func pathField(name, content string, target func(*Settings) *string) input.Field[Settings] {
	return input.String(name, "path of a file: "+content, `""`, input.AnyText, target)
}

func isHexKey(text string) bool {
	raw, err := hex.DecodeString(text)
	return err == nil && len(raw) == 32
}

func optional(valid func(string) bool) func(string) bool {
	return func(text string) bool { return text == "" || valid(text) }
}
