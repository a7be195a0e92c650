package publsh

import (
	"fmt"
	"strings"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// aim gives the files that are to be in force on top of the newest head.
func (m *Machine) aim() (files, error) {
	switch c := m.request.Change.(type) {
	case Tree:
		return m.aimTree(c)
	case Edit:
		return m.aimEdit(c)
	}
	return nil, fmt.Errorf("change %T is not known", m.request.Change)
}

func (m *Machine) aimTree(tree Tree) (files, error) {
	for _, f := range tree.Files {
		if strings.HasPrefix(f.Path, config.OverlayPrefix) {
			problem := config.Problem{File: f.Path, Message: "path is kept for commands", Accepted: "a path outside " + config.OverlayPrefix}
			return nil, &Refused{Problems: config.Problems{problem}}
		}
	}
	want, texts := tree.wanted(filesOf(*m.began))
	for digest, text := range texts {
		m.texts[digest] = text
	}
	target, clashes := rebase(filesOf(*m.began), want, filesOf(m.head))
	if len(clashes) > 0 {
		return nil, m.conflict(clashes)
	}
	return m.settle(tree, target)
}

// settle keeps withdrawals that the tree no longer mentions, drops the overlay
// entries that have lost their object, and refuses what would be restored by
// accident.
func (m *Machine) settle(tree Tree, target files) (files, error) {
	old := config.Withdrawn(m.texted(filesOf(m.head)))
	var settings []config.Setting
	for _, release := range tree.Restore {
		settings = append(settings, config.Restore(release))
	}
	settings = append(settings, config.Stale(m.texted(filesOf(m.head)), m.texted(target))...)
	target, err := m.setOverlay(target, settings)
	if err != nil {
		return nil, err
	}
	kept, restored := lost(old, m.texted(target), tree.Restore)
	if len(restored) > 0 {
		return nil, &Restored{Releases: restored}
	}
	return m.setOverlay(target, kept)
}

func (m *Machine) aimEdit(edit Edit) (files, error) {
	var clashes []string
	began := m.texts[filesOf(*m.began)[config.OverlayPath]]
	now := m.texts[filesOf(m.head)[config.OverlayPath]]
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
		return nil, m.conflict(clashes)
	}
	return m.setOverlay(filesOf(m.head), edit.Settings)
}

// setOverlay gives the files with settings made in the overlay file.
func (m *Machine) setOverlay(all files, settings []config.Setting) (files, error) {
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
	changed := all.copied()
	changed[config.OverlayPath] = digest
	return changed, nil
}

// mine names what the change asks for.
func (m *Machine) mine() []string {
	switch c := m.request.Change.(type) {
	case Tree:
		want, _ := c.wanted(filesOf(*m.began))
		return want.changedFrom(filesOf(*m.began))
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
func lost(old []ident.Release, now []config.File, allowed []ident.Release) ([]config.Setting, []ident.Release) {
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
