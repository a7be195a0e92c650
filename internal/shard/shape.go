package shard

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// shapeKey holds what all routers must agree on.
const shapeKey = plat.JournalPrefix + "shape"

// ErrShape means that the settings differ from those the journal was made with.
var ErrShape = errors.New("journal has another shape")

// shape is fixed when the first router starts: with another number of shards a
// repeated request would look for its claim in the wrong place.
type shape struct {
	Shards int `json:"shards"`
	Ring   int `json:"ring"`
}

// agree writes the journal's shape if there is none, and fails with ErrShape if
// there is another one.
func agree(ctx context.Context, platform plat.Platform, settings Settings) error {
	want := shape{Shards: settings.Shards, Ring: settings.Ring}
	text, err := json.Marshal(want)
	if err != nil {
		return fmt.Errorf("encode journal shape: %w", err)
	}
	found, err := readShape(ctx, platform)
	if errors.Is(err, plat.ErrNotFound) {
		_, err = platform.Put(ctx, plat.ClassClaim, shapeKey, text, 0)
		if err == nil {
			return nil
		}
		found, err = readShape(ctx, platform)
	}
	if err != nil {
		return err
	}
	if found != want {
		return fmt.Errorf("%w: it has %d shards and a ring of %d, settings say %d and %d, set them alike",
			ErrShape, found.Shards, found.Ring, want.Shards, want.Ring)
	}
	return nil
}

func readShape(ctx context.Context, platform plat.Platform) (shape, error) {
	o, err := platform.Get(ctx, plat.ClassClaim, shapeKey)
	if err != nil {
		return shape{}, fmt.Errorf("read journal shape: %w", err)
	}
	var s shape
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return shape{}, fmt.Errorf("decode journal shape: %w", err)
	}
	return s, nil
}
