package config

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// Names of the operators' files in a tree.
const (
	fileName   = "marigoldscale.toml"
	fileSuffix = ".marigold.toml"
)

// Collect reads the operators' files below dir, sorted by path. Paths are relative
// to dir and use slashes. Hidden directories are skipped.
func Collect(dir string) ([]File, error) {
	var files []File
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return fmt.Errorf("read tree: %w", err)
		}
		if entry.IsDir() && path != dir && strings.HasPrefix(entry.Name(), ".") {
			return filepath.SkipDir
		}
		if entry.IsDir() || !IsFileName(entry.Name()) {
			return nil
		}
		f, err := collectFile(dir, path)
		if err != nil {
			return err
		}
		files = append(files, f)
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("collect files of %q: %w", dir, err)
	}
	sort.Slice(files, func(i, j int) bool { return files[i].Path < files[j].Path })
	return files, nil
}

// IsFileName reports whether a file with this name is an operators' file.
func IsFileName(name string) bool {
	return name == fileName || strings.HasSuffix(name, fileSuffix)
}

func collectFile(dir, path string) (File, error) {
	relative, err := filepath.Rel(dir, path)
	if err != nil {
		return File{}, fmt.Errorf("path of %q: %w", path, err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("read %q: %w", path, err)
	}
	if len(text) > plat.MaxValueBytes {
		return File{}, fmt.Errorf("file %q has %d bytes, more than the platform's limit of %d; split it", path, len(text), plat.MaxValueBytes)
	}
	return File{Path: filepath.ToSlash(relative), Text: text}, nil
}
