package publsh

import (
	"context"
	"fmt"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// Reader loads published configurations. It caches the parts of the last one, so
// that loading a new generation reads only the changed files. It is not safe for
// concurrent use.
type Reader struct {
	platform plat.Platform
	texts    map[string][]byte // by digest
}

// NewReader returns a reader with an empty cache.
func NewReader(platform plat.Platform) *Reader {
	return &Reader{platform: platform, texts: map[string][]byte{}}
}

// Fetch loads the configuration described by a head. The error wraps
// plat.ErrUnavailable if the platform does not respond; other errors mean that
// the parts are missing, invalid or do not match the head.
func Fetch(ctx context.Context, platform plat.Platform, head plat.Head) (*fleet.Config, error) {
	return NewReader(platform).Fetch(ctx, head)
}

// Fetch loads the configuration described by a head, like the function Fetch.
func (r *Reader) Fetch(ctx context.Context, head plat.Head) (*fleet.Config, error) {
	files, err := r.Files(ctx, head)
	if err != nil {
		return nil, err
	}
	c, problems := config.Load(files)
	if err := problems.Err(); err != nil {
		return nil, fmt.Errorf("load generation %d: %w", head.Generation, err)
	}
	if c.Digest != head.Digest {
		return nil, fmt.Errorf("generation %d has digest %s, but its head says %s", head.Generation, c.Digest, head.Digest)
	}
	c.Generation = head.Generation
	return c, nil
}

// Files returns the operators' files listed in a head, in the order of the head
// (by path).
func (r *Reader) Files(ctx context.Context, head plat.Head) ([]config.File, error) {
	texts := map[string][]byte{}
	files := make([]config.File, 0, len(head.Files))
	for _, f := range head.Files {
		text, err := r.text(ctx, f)
		if err != nil {
			return nil, fmt.Errorf("generation %d: %w", head.Generation, err)
		}
		texts[f.Digest] = text
		files = append(files, config.File{Path: f.Path, Text: text})
	}
	r.texts = texts
	return files, nil
}

func (r *Reader) text(ctx context.Context, f plat.File) ([]byte, error) {
	if text, known := r.texts[f.Digest]; known {
		return text, nil
	}
	object, err := r.platform.Get(ctx, plat.ClassConfig, partKey(f.Digest))
	if err != nil {
		return nil, fmt.Errorf("read file %q: %w", f.Path, err)
	}
	if config.TextDigest(object.Value) != f.Digest {
		return nil, fmt.Errorf("file %q does not have its digest %s", f.Path, f.Digest)
	}
	return object.Value, nil
}
