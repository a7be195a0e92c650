package config

import (
	"fmt"
	"sort"

	"github.com/pelletier/go-toml/v2"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/input"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// OverlayPath is the file that commands write; no operators' file may take it.
const OverlayPath = "operator/overlay.toml"

// OverlayPrefix begins the paths that are kept for commands.
const OverlayPrefix = "operator/"

const overlayHeader = "# Written by marigoldscale commands; change it by them.\n\n"

// Setting is one change of the overlay file.
type Setting struct {
	table  kind
	key    string
	value  any
	remove bool
}

// Out takes a zone out, or puts it back.
func SetZoneOut(zone ident.ZoneID, out bool) Setting {
	return Setting{table: kindOut, key: string(zone), value: out}
}

// Hold pauses or aborts the roll-out of a model, or lets it go on; word is one
// of the Hold constants.
func SetHold(model ident.ModelID, word string) Setting {
	return Setting{table: kindHold, key: string(model), value: word}
}

// Start begins the roll-out of a release, or retargets the declared one.
func StartRollout(release ident.Release) Setting {
	return Setting{table: kindStart, key: string(release.Model), value: string(release.Version)}
}

// DefaultTo makes a release its model's default version.
func SetDefault(release ident.Release) Setting {
	return Setting{table: kindDefault, key: string(release.Model), value: string(release.Version)}
}

// Withdraw records that a release is withdrawn, and why.
func WithdrawRelease(release ident.Release, reason string) Setting {
	return Setting{table: kindWithdrawn, key: release.String(), value: reason}
}

// Restore drops the overlay's record that a release is withdrawn.
func RestoreRelease(release ident.Release) Setting {
	return Setting{table: kindWithdrawn, key: release.String(), remove: true}
}

// Key names what the setting changes, as table.key.
func (s Setting) Key() string {
	return fmt.Sprintf("%s.%s", s.table, s.key)
}

// Value gives what an overlay's text holds for the setting's key, or nil.
func (s Setting) ValueIn(text []byte) (any, error) {
	all, err := parseOverlay(text)
	if err != nil {
		return nil, err
	}
	return all[s.table][s.key], nil
}

// Wanted gives what the setting puts there, nil if it drops the key.
func (s Setting) NewValue() any {
	if s.remove {
		return nil
	}
	return s.value
}

// Apply gives an overlay's text with the settings made.
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

// Undeclared reports settings that withdraw a release that is not declared. The
// loader lets these pass, since a withdrawal outlives its version.
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
			what := fmt.Sprintf("model %q is not declared", release.Model)
			problems = append(problems, Problem{File: OverlayPath, Key: s.Key(), What: what, Accepted: declared(c.Models)})
		case !contains(m.Versions, release.Version):
			what := fmt.Sprintf("%q is not a version of model %q", release.Version, release.Model)
			problems = append(problems, Problem{File: OverlayPath, Key: s.Key(), What: what, Accepted: list(m.Versions)})
		}
	}
	return problems
}

// Stale gives the settings that drop overlay entries which have lost their
// ground from the old files to those of now: their object or version is no
// longer declared, or its own file says something new. Withdrawals are never
// stale.
func StaleSettings(old, now []File) []Setting {
	before, b := buildDeclared(old), buildDeclared(now)
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

// declaredBy builds what the files declare without their overlay.
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

// changed tells whether an operators' file now says something else about what
// the overlay entry sets, so that the newer word is the file's.
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

// Withdrawn gives the releases that files withdraw, sorted. It reads what it
// can of files that have problems.
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
		release, _ := ident.ParseRelease(key) // its form was checked with the key
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
			return nil, fmt.Errorf("overlay holds %q, which no command writes", k)
		}
		all[kind(k)] = table
	}
	return all, nil
}
