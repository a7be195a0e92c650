package shard

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// layoutKey is the key of the layout object, shared by all routers.
const layoutKey = plat.JournalPrefix + "shape"

// ErrLayoutMismatch means that the settings differ from those that the journal
// was created with.
var ErrLayoutMismatch = errors.New("journal was created with another layout")

// layout is fixed when the first router starts. With another number of shards a
// repeated request would look up its claim in the wrong shard.
type layout struct {
	Shards int `json:"shards"`
	Ring   int `json:"ring"`
}

// ensureLayout stores the layout of the settings if the journal has none, and
// returns ErrLayoutMismatch if the stored layout differs.
func ensureLayout(ctx context.Context, platform plat.Platform, settings Settings) error {
	want := layout{Shards: settings.Shards, Ring: settings.RingSize}
	text, err := json.Marshal(want)
	if err != nil {
		return fmt.Errorf("encode journal layout: %w", err)
	}
	found, err := readLayout(ctx, platform)
	if errors.Is(err, plat.ErrNotFound) {
		_, err = platform.Put(ctx, plat.ClassClaim, layoutKey, text, 0)
		if err == nil {
			return nil
		}
		found, err = readLayout(ctx, platform)
	}
	if err != nil {
		return err
	}
	if found != want {
		return fmt.Errorf("%w: it has %d shards and a ring of %d batches, the settings say %d and %d; use the values of the journal",
			ErrLayoutMismatch, found.Shards, found.Ring, want.Shards, want.Ring)
	}
	return nil
}

func readLayout(ctx context.Context, platform plat.Platform) (layout, error) {
	o, err := platform.Get(ctx, plat.ClassClaim, layoutKey)
	if err != nil {
		return layout{}, fmt.Errorf("read journal layout: %w", err)
	}
	var l layout
	if err := json.Unmarshal(o.Value, &l); err != nil {
		return layout{}, fmt.Errorf("decode journal layout: %w", err)
	}
	return l, nil
}
