package shard

import (
	"context"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// listing is a shard's objects, sorted by what they are.
type listing struct {
	manifest Manifest
	version  plat.Version
	parts    map[plat.Key]stored
	ring     map[Sequence]stored
}

// stored is a batch or part with the version of its object.
type stored struct {
	batch   Batch
	version plat.Version
}

// ErrTorn means that a shard was written while it was listed; list it again.
var ErrInconsistentListing = errors.New("shard was written while it was listed")

// LoadState reads a shard's state, without the bills that moved to segments.
func LoadState(ctx context.Context, platform plat.Platform, shard ID, settings Settings) (*State, error) {
	objects, err := platform.List(ctx, plat.ClassStatus, shard.Prefix())
	if err != nil {
		return nil, fmt.Errorf("list shard %d: %w", shard, err)
	}
	l := NewLog(shard, "", settings)
	if !l.rebuild(objects) {
		return nil, fmt.Errorf("load shard %d: %w", shard, ErrInconsistentListing)
	}
	return l.state, nil
}

// rebuild takes the state from a listing. It fails if the listing is torn,
// which happens when another router wrote while it was made.
func (l *Log) rebuild(objects []plat.Object) bool {
	found, err := l.sort(objects)
	if err != nil || found.version < l.check.version {
		return false
	}
	state, ok := found.state()
	if !ok {
		return false
	}
	tail := found.tail()
	next := found.manifest.Covers + 1 + Sequence(len(tail))
	slots, ok := found.slots(next, len(l.slots))
	if !ok {
		return false
	}
	for _, b := range tail {
		state.Apply(b)
	}
	l.state, l.tail, l.next, l.slots = state, tail, next, slots
	l.check.manifest, l.check.version = found.manifest, found.version
	l.check.orphans = found.orphans()
	return true
}

// sort decodes the shard's objects.
func (l *Log) sort(objects []plat.Object) (listing, error) {
	found := listing{parts: map[plat.Key]stored{}, ring: map[Sequence]stored{}}
	for _, o := range objects {
		if o.Key == l.shard.manifestKey() {
			m, err := decodeManifest(o.Value)
			if err != nil {
				return found, err
			}
			found.manifest, found.version = m, o.Version
			continue
		}
		b, err := decodeBatch(o.Value)
		if err != nil {
			return found, err
		}
		if strings.HasPrefix(string(o.Key), string(l.shard.Prefix()+"ring/")) {
			found.ring[b.Sequence] = stored{b, o.Version}
		} else {
			found.parts[o.Key] = stored{b, o.Version}
		}
	}
	return found, nil
}

// state folds the manifest's parts.
func (f listing) state() (*State, bool) {
	state := NewState()
	for _, p := range f.manifest.Parts {
		s, ok := f.parts[p.Key]
		if !ok {
			return nil, false
		}
		state.Apply(s.batch)
	}
	return state, true
}

// tail gives the batches after the checkpoint, up to the first gap.
func (f listing) tail() []Batch {
	var tail []Batch
	for s := f.manifest.Covers + 1; ; s++ {
		b, ok := f.ring[s]
		if !ok {
			return tail
		}
		tail = append(tail, b.batch)
	}
}

// slots gives the version of each slot, if the ring holds exactly the batches
// before next that it must hold.
func (f listing) slots(next Sequence, size int) ([]plat.Version, bool) {
	slots := make([]plat.Version, size)
	oldest := Sequence(1)
	if next > Sequence(size) {
		oldest = next - Sequence(size)
	}
	for s := oldest; s < next; s++ {
		b, ok := f.ring[s]
		if !ok {
			return nil, false
		}
		slots[int(s)%size] = b.version
	}
	return slots, len(f.ring) == int(next-oldest)
}

// orphans gives the parts that no manifest can name any more: they were
// written for a move of the manifest from a version that has passed.
func (f listing) orphans() []Part {
	named := map[plat.Key]bool{}
	for _, p := range f.manifest.Parts {
		named[p.Key] = true
	}
	var parts []Part
	for key, s := range f.parts {
		if !named[key] && s.batch.Base < f.version {
			parts = append(parts, Part{Key: key, Version: s.version})
		}
	}
	sortParts(parts)
	return parts
}
