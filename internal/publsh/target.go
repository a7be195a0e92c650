package publsh

import (
	"fmt"
	"strings"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// aim gives the files that are to be in force on top of the newest head.
func (m *Machine) buildTarget() (fileSet, error) {
	switch c := m.request.Change.(type) {
	case Tree:
		return m.buildTreeTarget(c)
	case Edit:
		return m.buildEditTarget(c)
	}
	return nil, fmt.Errorf("change %T is not known", m.request.Change)
}

func (m *Machine) buildTreeTarget(tree Tree) (fileSet, error) {
	for _, f := range tree.Files {
		if strings.HasPrefix(f.Path, config.OverlayPrefix) {
			problem := config.Problem{File: f.Path, What: "path is kept for commands", Accepted: "a path outside " + config.OverlayPrefix}
			return nil, &InvalidError{Problems: config.Problems{problem}}
		}
	}
	want, texts := tree.desired(newFileSet(*m.base))
	for digest, text := range texts {
		m.texts[digest] = text
	}
	target, clashes := rebase(newFileSet(*m.base), want, newFileSet(m.head))
	if len(clashes) > 0 {
		return nil, m.conflictError(clashes)
	}
	return m.reconcileOverlay(tree, target)
}

// settle keeps withdrawals that the tree no longer mentions, drops the overlay
// entries that have lost their object, and refuses what would be restored by
// accident.
func (m *Machine) reconcileOverlay(tree Tree, target fileSet) (fileSet, error) {
	old := config.Withdrawn(m.withTexts(newFileSet(m.head)))
	var settings []config.Setting
	for _, release := range tree.Restore {
		settings = append(settings, config.Restore(release))
	}
	settings = append(settings, config.Stale(m.withTexts(newFileSet(m.head)), m.withTexts(target))...)
	target, err := m.applySettings(target, settings)
	if err != nil {
		return nil, err
	}
	kept, restored := missingWithdrawals(old, m.withTexts(target), tree.Restore)
	if len(restored) > 0 {
		return nil, &RestoreError{Releases: restored}
	}
	return m.applySettings(target, kept)
}

func (m *Machine) buildEditTarget(edit Edit) (fileSet, error) {
	var clashes []string
	began := m.texts[newFileSet(*m.base)[config.OverlayPath]]
	now := m.texts[newFileSet(m.head)[config.OverlayPath]]
	for _, s := range edit.Settings {
		was, err := s.Value(began)
		if err != nil {
			return nil, fmt.Errorf("overlay when the change began: %w", err)
		}
		is, err := s.Value(now)
		if err != nil {
			return nil, fmt.Errorf("overlay in force: %w", err)
		}
		if is != was && is != s.Wanted() {
			clashes = append(clashes, s.Key())
		}
	}
	if len(clashes) > 0 {
		return nil, m.conflictError(clashes)
	}
	return m.applySettings(newFileSet(m.head), edit.Settings)
}

// setOverlay gives the files with settings made in the overlay file.
func (m *Machine) applySettings(all fileSet, settings []config.Setting) (fileSet, error) {
	if len(settings) == 0 {
		return all, nil
	}
	old, exists := all[config.OverlayPath]
	text, err := config.Apply(m.texts[old], settings)
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

// mine names what the change asks for.
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

// lost gives the withdrawals of old that the files no longer make: those to
// record in the overlay, since their version is not listed now, and those that
// would be restored without leave.
func missingWithdrawals(old []ident.Release, now []config.File, allowed []ident.Release) ([]config.Setting, []ident.Release) {
	c, problems := config.Load(now)
	if len(problems) > 0 {
		return nil, nil // the check reports them
	}
	var kept []config.Setting
	var restored []ident.Release
	still := map[ident.Release]bool{}
	for _, release := range config.Withdrawn(now) {
		still[release] = true
	}
	for _, release := range allowed {
		still[release] = true
	}
	for _, release := range old {
		model := c.Models[release.Model]
		switch {
		case still[release]:
		case model != nil && model.IsActive(release.Version):
			restored = append(restored, release)
		default:
			kept = append(kept, config.Withdraw(release, "withdrawn before its version was dropped"))
		}
	}
	return kept, restored
}

func allRemoved(settings []config.Setting) bool {
	for _, s := range settings {
		if s.Wanted() != nil {
			return false
		}
	}
	return true
}
