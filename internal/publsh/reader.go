package publsh

import (
	"context"
	"fmt"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// Reader compiles heads, and keeps the parts of the last one, so that a new
// generation costs a read for each file that changed. It is for one goroutine.
type Reader struct {
	platform plat.Platform
	texts    map[string][]byte // by digest
}

// NewReader gives a reader that knows no parts yet.
func NewReader(platform plat.Platform) *Reader {
	return &Reader{platform: platform, texts: map[string][]byte{}}
}

// Fetch compiles the configuration that a head names. It fails with
// plat.ErrUnavailable if a part can't be read now, and otherwise if the parts
// are not what the head says.
func Fetch(ctx context.Context, platform plat.Platform, head plat.Head) (*fleet.Config, error) {
	return NewReader(platform).Fetch(ctx, head)
}

// Fetch compiles the configuration that a head names, as the function does.
func (r *Reader) Fetch(ctx context.Context, head plat.Head) (*fleet.Config, error) {
	files, err := r.Files(ctx, head)
	if err != nil {
		return nil, err
	}
	c, problems := config.Load(files)
	if err := problems.Err(); err != nil {
		return nil, fmt.Errorf("generation %d does not load: %w", head.Generation, err)
	}
	if c.Digest != head.Digest {
		return nil, fmt.Errorf("generation %d has digest %s, but its head says %s", head.Generation, c.Digest, head.Digest)
	}
	c.Generation = head.Generation
	return c, nil
}

// Files gives the operators' files that a head names, sorted by path.
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
