package config

import (
	"fmt"
	"sort"

	"github.com/pelletier/go-toml/v2"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/input"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// OverlayPath is the path of the overlay, the file written by commands. An
// operators' file cannot use it.
const OverlayPath = "operator/overlay.toml"

// OverlayPrefix is the prefix of the paths reserved for commands.
const OverlayPrefix = "operator/"

const overlayHeader = "# Written by marigoldscale commands; change it by them.\n\n"

// Setting is a change of one key in the overlay.
type Setting struct {
	table  kind
	key    string
	value  any
	remove bool
}

// SetZoneOut takes a zone out of service, or returns it to service.
func SetZoneOut(zone ident.ZoneID, out bool) Setting {
	return Setting{table: kindOut, key: string(zone), value: out}
}

// SetHold pauses, aborts or resumes the roll-out of a model. The value hold is one
// of the Hold constants.
func SetHold(model ident.ModelID, hold string) Setting {
	return Setting{table: kindHold, key: string(model), value: hold}
}

// StartRollout starts the roll-out of a release, or changes the target of the
// declared one.
func StartRollout(release ident.Release) Setting {
	return Setting{table: kindStart, key: string(release.Model), value: string(release.Version)}
}

// SetDefault makes a release the default version of its model. It takes effect if
// the declared default is withdrawn.
func SetDefault(release ident.Release) Setting {
	return Setting{table: kindDefault, key: string(release.Model), value: string(release.Version)}
}

// WithdrawRelease records the withdrawal of a release with its reason.
func WithdrawRelease(release ident.Release, reason string) Setting {
	return Setting{table: kindWithdrawn, key: release.String(), value: reason}
}

// RestoreRelease removes the withdrawal of a release from the overlay.
func RestoreRelease(release ident.Release) Setting {
	return Setting{table: kindWithdrawn, key: release.String(), remove: true}
}

// Key returns the changed key in the form table.key.
func (s Setting) Key() string {
	return fmt.Sprintf("%s.%s", s.table, s.key)
}

// ValueIn returns the value of the setting's key in an overlay's text, or nil if
// the key is not set.
func (s Setting) ValueIn(text []byte) (any, error) {
	all, err := parseOverlay(text)
	if err != nil {
		return nil, err
	}
	return all[s.table][s.key], nil
}

// NewValue returns the value that the setting sets, or nil if it removes the key.
func (s Setting) NewValue() any {
	if s.remove {
		return nil
	}
	return s.value
}

// ApplySettings applies settings to an overlay's text and returns the new text.
func ApplySettings(text []byte, settings []Setting) ([]byte, error) {
	all, err := parseOverlay(text)
	if err != nil {
		return nil, err
	}
	for _, s := range settings {
		if s.remove {
			delete(all[s.table], s.key)
			continue
		}
		if all[s.table] == nil {
			all[s.table] = map[string]any{}
		}
		all[s.table][s.key] = s.value
	}
	for k, table := range all {
		if len(table) == 0 {
			delete(all, k)
		}
	}
	body, err := toml.Marshal(all)
	if err != nil {
		return nil, fmt.Errorf("write overlay: %w", err)
	}
	return append([]byte(overlayHeader), body...), nil
}

// UndeclaredReleases reports settings that withdraw an undeclared release. Load
// accepts them, since a withdrawal remains after its version is removed.
func UndeclaredReleases(c *fleet.Config, settings []Setting) Problems {
	var problems Problems
	for _, s := range settings {
		release, err := ident.ParseRelease(s.key)
		if s.table != kindWithdrawn || err != nil {
			continue
		}
		m, known := c.Models[release.Model]
		switch {
		case !known:
			message := fmt.Sprintf("model %q is not declared", release.Model)
			problems = append(problems, Problem{File: OverlayPath, Key: s.Key(), Message: message, Accepted: declared(c.Models)})
		case !contains(m.Versions, release.Version):
			message := fmt.Sprintf("%q is not a version of model %q", release.Version, release.Model)
			problems = append(problems, Problem{File: OverlayPath, Key: s.Key(), Message: message, Accepted: list(m.Versions)})
		}
	}
	return problems
}

// StaleSettings returns settings that remove the stale overlay entries of the
// updated files. An entry is stale if its object or version is not declared any
// more, or if the operators' files have changed the value that it overrides.
// Withdrawals are never stale.
func StaleSettings(old, updated []File) []Setting {
	before, b := buildDeclared(old), buildDeclared(updated)
	var stale []Setting
	for _, k := range overlayKinds() {
		for _, o := range b.sorted(k) {
			if b.isStale(o) || b.overridden(o, before) {
				stale = append(stale, Setting{table: k, key: o.name, remove: true})
			}
		}
	}
	return stale
}

// buildDeclared builds the zones, models and roll-outs that the files declare,
// without applying the overlay.
func buildDeclared(files []File) *builder {
	b := newBuilder()
	for _, f := range files {
		b.readFile(f)
	}
	b.buildZones()
	b.buildModels()
	b.buildRollouts()
	return b
}

// overridden reports whether an operators' file has changed the value that the
// overlay entry sets. The newer change takes precedence.
func (b *builder) overridden(o *object, before *builder) bool {
	switch o.kind {
	case kindOut:
		was, is := before.config.Zones[ident.ZoneID(o.name)], b.config.Zones[ident.ZoneID(o.name)]
		return was != nil && is != nil && was.Out != is.Out
	case kindStart, kindHold:
		was, is := before.config.Rollouts[ident.ModelID(o.name)], b.config.Rollouts[ident.ModelID(o.name)]
		return is != nil && (was == nil || was.To != is.To || was.Paused != is.Paused || was.Aborted != is.Aborted)
	}
	return false
}

func (b *builder) isStale(o *object) bool {
	model := b.config.Models[ident.ModelID(o.name)]
	switch o.kind {
	case kindOut:
		return b.config.Zones[ident.ZoneID(o.name)] == nil
	case kindStart, kindDefault:
		return lacksVersion(model, o.value())
	case kindHold:
		return b.holdsMissingRollout(o, model)
	}
	return false
}

func (b *builder) holdsMissingRollout(o *object, model *fleet.Model) bool {
	if b.config.Rollouts[ident.ModelID(o.name)] != nil {
		return false
	}
	start := b.objects[kindStart][o.name]
	return start == nil || lacksVersion(model, start.value())
}

func lacksVersion(model *fleet.Model, version any) bool {
	text, ok := version.(string)
	return !ok || model == nil || !contains(model.Versions, ident.VersionID(text))
}

// WithdrawnReleases returns the releases that files withdraw, sorted. It skips
// what cannot be read because of problems.
func WithdrawnReleases(files []File) []ident.Release {
	b := newBuilder()
	for _, f := range files {
		b.readFile(f)
	}
	b.buildModels()
	found := map[ident.Release]bool{}
	for _, m := range b.config.Models {
		for _, v := range m.Withdrawn {
			found[ident.Release{Model: m.ID, Version: v}] = true
		}
	}
	for key := range b.objects[kindWithdrawn] {
		release, _ := ident.ParseRelease(key) // validated with the key
		found[release] = true
	}
	releases := make([]ident.Release, 0, len(found))
	for release := range found {
		releases = append(releases, release)
	}
	sort.Slice(releases, func(i, j int) bool { return releases[i].String() < releases[j].String() })
	return releases
}

func parseOverlay(text []byte) (map[kind]map[string]any, error) {
	d, problems := input.Parse(File{Path: OverlayPath, Text: text})
	if d == nil {
		return nil, fmt.Errorf("read overlay: %w", problems)
	}
	all := map[kind]map[string]any{}
	for k, value := range d.Root {
		table, ok := value.(map[string]any)
		if !ok || !isOverlay(kind(k)) {
			return nil, fmt.Errorf("overlay contains unknown table %q; no command writes it", k)
		}
		all[kind(k)] = table
	}
	return all, nil
}
