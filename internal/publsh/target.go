package publsh

import (
	"fmt"
	"strings"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// buildTarget returns the file set that results from applying the change to the
// newest head.
func (m *Machine) buildTarget() (fileSet, error) {
	switch c := m.request.Change.(type) {
	case Tree:
		return m.buildTreeTarget(c)
	case Edit:
		return m.buildEditTarget(c)
	}
	return nil, fmt.Errorf("unknown change type %T", m.request.Change)
}

func (m *Machine) buildTreeTarget(tree Tree) (fileSet, error) {
	for _, f := range tree.Files {
		if strings.HasPrefix(f.Path, config.OverlayPrefix) {
			problem := config.Problem{File: f.Path, Message: "path is reserved for commands", Accepted: "a path outside " + config.OverlayPrefix}
			return nil, &InvalidError{Problems: config.Problems{problem}}
		}
	}
	want, texts := tree.desired(newFileSet(*m.base))
	for digest, text := range texts {
		m.texts[digest] = text
	}
	target, conflicting := rebase(newFileSet(*m.base), want, newFileSet(m.head))
	if len(conflicting) > 0 {
		return nil, m.conflictError(conflicting)
	}
	return m.reconcileOverlay(tree, target)
}

// reconcileOverlay removes stale entries from the overlay, records withdrawals
// that the tree no longer lists, and returns a *RestoreError if the change would
// restore a withdrawn release without an explicit request.
func (m *Machine) reconcileOverlay(tree Tree, target fileSet) (fileSet, error) {
	old := config.WithdrawnReleases(m.withTexts(newFileSet(m.head)))
	var settings []config.Setting
	for _, release := range tree.Restore {
		settings = append(settings, config.RestoreRelease(release))
	}
	settings = append(settings, config.StaleSettings(m.withTexts(newFileSet(m.head)), m.withTexts(target))...)
	target, err := m.applySettings(target, settings)
	if err != nil {
		return nil, err
	}
	missing, restored := missingWithdrawals(old, m.withTexts(target), tree.Restore)
	if len(restored) > 0 {
		return nil, &RestoreError{Releases: restored}
	}
	return m.applySettings(target, missing)
}

func (m *Machine) buildEditTarget(edit Edit) (fileSet, error) {
	var conflicting []string
	base := m.texts[newFileSet(*m.base)[config.OverlayPath]]
	current := m.texts[newFileSet(m.head)[config.OverlayPath]]
	for _, s := range edit.Settings {
		baseValue, err := s.ValueIn(base)
		if err != nil {
			return nil, fmt.Errorf("base overlay: %w", err)
		}
		currentValue, err := s.ValueIn(current)
		if err != nil {
			return nil, fmt.Errorf("current overlay: %w", err)
		}
		if currentValue != baseValue && currentValue != s.NewValue() {
			conflicting = append(conflicting, s.Key())
		}
	}
	if len(conflicting) > 0 {
		return nil, m.conflictError(conflicting)
	}
	return m.applySettings(newFileSet(m.head), edit.Settings)
}

// applySettings returns a file set with the settings applied to the overlay
// file.
func (m *Machine) applySettings(all fileSet, settings []config.Setting) (fileSet, error) {
	if len(settings) == 0 {
		return all, nil
	}
	old, exists := all[config.OverlayPath]
	text, err := config.ApplySettings(m.texts[old], settings)
	if err != nil {
		return nil, fmt.Errorf("change %s: %w", config.OverlayPath, err)
	}
	if !exists && allRemoved(settings) {
		return all, nil
	}
	digest := config.TextDigest(text)
	m.texts[digest] = text
	changed := all.clone()
	changed[config.OverlayPath] = digest
	return changed, nil
}

// requestedKeys returns the paths or setting keys that the change modifies.
func (m *Machine) requestedKeys() []string {
	switch c := m.request.Change.(type) {
	case Tree:
		want, _ := c.desired(newFileSet(*m.base))
		return want.diff(newFileSet(*m.base))
	case Edit:
		keys := make([]string, len(c.Settings))
		for i, s := range c.Settings {
			keys[i] = s.Key()
		}
		return keys
	}
	return nil
}

// missingWithdrawals returns the releases of old that files no longer withdraw.
// The first result records those whose version is not declared any more as
// overlay settings. The second result lists those that would be restored, except
// the allowed ones.
func missingWithdrawals(old []ident.Release, files []config.File, allowed []ident.Release) ([]config.Setting, []ident.Release) {
	c, problems := config.Load(files)
	if len(problems) > 0 {
		return nil, nil // validate reports them
	}
	var missing []config.Setting
	var restored []ident.Release
	handled := map[ident.Release]bool{}
	for _, release := range config.WithdrawnReleases(files) {
		handled[release] = true
	}
	for _, release := range allowed {
		handled[release] = true
	}
	for _, release := range old {
		model := c.Models[release.Model]
		switch {
		case handled[release]:
		case model != nil && model.IsActive(release.Version):
			restored = append(restored, release)
		default:
			missing = append(missing, config.WithdrawRelease(release, "withdrawn before its version was dropped"))
		}
	}
	return missing, restored
}

func allRemoved(settings []config.Setting) bool {
	for _, s := range settings {
		if s.NewValue() != nil {
			return false
		}
	}
	return true
}
