// Package publsh puts configurations in force: it writes the operators' files
// to the platform as immutable parts and moves the head by a conditional write.
package publsh

import (
	"fmt"
	"sort"
	"strings"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Change is what an operator asks for: a Tree or an Edit.
type Change interface {
	isChange()
}

// Tree replaces files by those of a collected tree.
type Tree struct {
	Files   []config.File
	Prefix   string          // path that begins those of all Files; empty for the whole tree
	Prune   bool            // drop files in force under Under that Files lacks
	Restore []ident.Release // withdrawn releases that may be used again
}

// Edit changes single keys of the overlay file.
type Edit struct {
	Settings []config.Setting
}

func (Tree) isChange() {}
func (Edit) isChange() {}

// files maps each path to the digest of its text.
type fileSet map[string]string

func newFileSet(head plat.Head) fileSet {
	all := fileSet{}
	for _, f := range head.Files {
		all[f.Path] = f.Digest
	}
	return all
}

// list gives the files sorted by path.
func (f fileSet) sorted() []plat.File {
	all := make([]plat.File, 0, len(f))
	for path, digest := range f {
		all = append(all, plat.File{Path: path, Digest: digest})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Path < all[j].Path })
	return all
}

// digest gives the digest of the whole configuration.
func (f fileSet) digest() string {
	lines := make([]string, 0, len(f))
	for path, digest := range f {
		lines = append(lines, fmt.Sprintf("%s %q\n", digest, path))
	}
	return config.DigestLines(lines)
}

// copied gives files that can be changed without changing f.
func (f fileSet) clone() fileSet {
	all := fileSet{}
	for path, digest := range f {
		all[path] = digest
	}
	return all
}

// changedFrom gives the paths at which f differs from old, sorted.
func (f fileSet) diff(old fileSet) []string {
	var paths []string
	for path, digest := range f {
		if old[path] != digest {
			paths = append(paths, path)
		}
	}
	for path := range old {
		if _, kept := f[path]; !kept {
			paths = append(paths, path)
		}
	}
	sort.Strings(paths)
	return paths
}

// wanted gives the files that the tree asks for when base is in force, with
// their texts by digest.
func (t Tree) desired(base fileSet) (fileSet, map[string][]byte) {
	want := fileSet{}
	texts := map[string][]byte{}
	for path, digest := range base {
		if t.retains(path) {
			want[path] = digest
		}
	}
	for _, f := range t.Files {
		digest := config.TextDigest(f.Text)
		want[f.Path] = digest
		texts[digest] = f.Text
	}
	return want, texts
}

// keeps tells whether a file in force stays when the tree lacks it.
func (t Tree) retains(path string) bool {
	return !t.Prune || strings.HasPrefix(path, config.OverlayPrefix) || !strings.HasPrefix(path, t.Prefix)
}

// Over gives the files that the tree makes of those in force.
func (t Tree) ApplyTo(old []config.File) []config.File {
	mine := map[string]bool{}
	for _, f := range t.Files {
		mine[f.Path] = true
	}
	all := append([]config.File(nil), t.Files...)
	for _, f := range old {
		if !mine[f.Path] && t.retains(f.Path) {
			all = append(all, f)
		}
	}
	return all
}

// rebase makes the change from base to want on top of head. It gives the paths
// that head changed to something else.
func rebase(base, want, head fileSet) (fileSet, []string) {
	target := head.clone()
	var clashes []string
	for _, path := range want.diff(base) {
		if head[path] != base[path] && head[path] != want[path] {
			clashes = append(clashes, path)
			continue
		}
		if digest, kept := want[path]; kept {
			target[path] = digest
		} else {
			delete(target, path)
		}
	}
	return target, clashes
}
