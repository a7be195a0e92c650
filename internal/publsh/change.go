// Package publsh publishes configurations: it stores the operators' files on the
// platform as immutable, content-addressed parts and updates the head with a
// conditional write.
package publsh

import (
	"fmt"
	"sort"
	"strings"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Change is a Tree or an Edit.
type Change interface {
	isChange()
}

// Tree replaces published files with the files of a directory tree.
type Tree struct {
	Files   []config.File
	Prefix  string          // path prefix of all Files; empty for the whole tree
	Prune   bool            // remove published files under Prefix that are not in Files
	Restore []ident.Release // withdrawn releases to restore
}

// Edit changes individual keys of the overlay file.
type Edit struct {
	Settings []config.Setting
}

func (Tree) isChange() {}
func (Edit) isChange() {}

// fileSet maps each path to the digest of its content.
type fileSet map[string]string

func newFileSet(head plat.Head) fileSet {
	all := fileSet{}
	for _, f := range head.Files {
		all[f.Path] = f.Digest
	}
	return all
}

// sorted returns the files sorted by path.
func (f fileSet) sorted() []plat.File {
	all := make([]plat.File, 0, len(f))
	for path, digest := range f {
		all = append(all, plat.File{Path: path, Digest: digest})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Path < all[j].Path })
	return all
}

// digest returns the digest of the whole configuration.
func (f fileSet) digest() string {
	lines := make([]string, 0, len(f))
	for path, digest := range f {
		lines = append(lines, fmt.Sprintf("%s %q\n", digest, path))
	}
	return config.DigestLines(lines)
}

// clone returns a copy that can be modified independently of f.
func (f fileSet) clone() fileSet {
	all := fileSet{}
	for path, digest := range f {
		all[path] = digest
	}
	return all
}

// diff returns the sorted paths whose files differ between f and old.
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

// desired returns the file set that results from applying the tree to base, and
// the contents of the tree's files by digest.
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

// retains reports whether a published file that is not in the tree is kept.
func (t Tree) retains(path string) bool {
	return !t.Prune || strings.HasPrefix(path, config.OverlayPrefix) || !strings.HasPrefix(path, t.Prefix)
}

// ApplyTo returns the files that result from applying the tree to the published
// files.
func (t Tree) ApplyTo(published []config.File) []config.File {
	inTree := map[string]bool{}
	for _, f := range t.Files {
		inTree[f.Path] = true
	}
	all := append([]config.File(nil), t.Files...)
	for _, f := range published {
		if !inTree[f.Path] && t.retains(f.Path) {
			all = append(all, f)
		}
	}
	return all
}

// rebase applies the changes between base and want to head. It also returns the
// conflicting paths, which head has changed differently.
func rebase(base, want, head fileSet) (fileSet, []string) {
	target := head.clone()
	var conflicting []string
	for _, path := range want.diff(base) {
		if head[path] != base[path] && head[path] != want[path] {
			conflicting = append(conflicting, path)
			continue
		}
		if digest, kept := want[path]; kept {
			target[path] = digest
		} else {
			delete(target, path)
		}
	}
	return target, conflicting
}
