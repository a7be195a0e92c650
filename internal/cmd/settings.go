package cmd

import (
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/input"
)

// Settings holds the addresses of the platform and the routers, and the TLS
// files. Flags and environment variables take precedence over the settings file.
type Settings struct {
	Platform string
	Admin    []string
	CA       string // path of the PEM file that verifies the routers' certificates
	Cert     string // path of the client certificate in PEM
	Key      string // path of the key of Cert in PEM
}

// SettingsFields returns the keys of the command line's settings file.
func SettingsFields() []input.Field[Settings] {
	return []input.Field[Settings]{
		input.String("platform", "an http or https URL", `""`, input.IsURL, func(s *Settings) *string { return &s.Platform }),
		input.Strings("admin", "a list of http or https URLs", input.IsURL, func(s *Settings) *[]string { return &s.Admin }),
		input.String("ca", "path of a PEM file", `""`, input.AnyText, func(s *Settings) *string { return &s.CA }),
		input.String("cert", "path of a PEM file", `""`, input.AnyText, func(s *Settings) *string { return &s.Cert }),
		input.String("key", "path of a PEM file", `""`, input.AnyText, func(s *Settings) *string { return &s.Key }),
	}
}

func loadSettings(flags *Flags) (Settings, error) {
	var s Settings
	if flags.Settings != "" {
		read, problems := readSettings(flags.Settings)
		if err := problems.Err(); err != nil {
			return Settings{}, badInput(err)
		}
		s = read
	}
	if flags.Platform != "" {
		s.Platform = flags.Platform
	}
	if len(flags.Admin) > 0 {
		s.Admin = flags.Admin
	}
	for i, admin := range s.Admin {
		s.Admin[i] = strings.TrimRight(admin, "/")
	}
	s.Platform = strings.TrimRight(s.Platform, "/")
	for _, u := range append([]string{s.Platform}, s.Admin...) {
		if u != "" && !input.IsURL(u) {
			return Settings{}, badInput(errors.Errorf("%q is not an http or https URL", u))
		}
	}
	return s, nil
}

func readSettings(path string) (Settings, input.Problems) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, input.Problems{{File: path, Message: err.Error(), Accepted: "a readable TOML file"}}
	}
	d, problems := input.Parse(input.File{Path: path, Text: text})
	if d == nil {
		return Settings{}, problems
	}
	var s Settings
	problems = append(problems, input.Decode(d, nil, d.Root, SettingsFields(), &s)...)
	return s, problems.Sort()
}
