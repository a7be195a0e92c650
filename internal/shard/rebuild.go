package shard

import (
	"context"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// listing is a shard's objects, classified by type.
type listing struct {
	manifest Manifest
	version  plat.Version
	parts    map[plat.Key]storedBatch
	ring     map[Sequence]storedBatch
}

// storedBatch is a batch or part and the version of its object.
type storedBatch struct {
	batch   Batch
	version plat.Version
}

// ErrInconsistentListing means that the objects of a shard don't fit together,
// because it was written while it was listed. A new listing may succeed.
var ErrInconsistentListing = errors.New("shard was written while it was listed; try again")

// LoadState reads a shard's state, without the bills that are in segments.
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

// rebuild restores the log from a listing. It reports whether the listing was
// consistent; it is not if another router wrote during the listing.
func (l *Log) rebuild(objects []plat.Object) bool {
	found, err := l.classify(objects)
	if err != nil || found.version < l.checkpoint.version {
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
	l.checkpoint.manifest, l.checkpoint.version = found.manifest, found.version
	l.checkpoint.orphans = found.orphans()
	return true
}

// classify decodes the shard's objects.
func (l *Log) classify(objects []plat.Object) (listing, error) {
	found := listing{parts: map[plat.Key]storedBatch{}, ring: map[Sequence]storedBatch{}}
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
			found.ring[b.Sequence] = storedBatch{b, o.Version}
		} else {
			found.parts[o.Key] = storedBatch{b, o.Version}
		}
	}
	return found, nil
}

// state applies the manifest's parts. It returns false if one is missing.
func (l listing) state() (*State, bool) {
	state := NewState()
	for _, p := range l.manifest.Parts {
		s, ok := l.parts[p.Key]
		if !ok {
			return nil, false
		}
		state.Apply(s.batch)
	}
	return state, true
}

// tail returns the batches after the checkpoint, up to the first gap.
func (l listing) tail() []Batch {
	var tail []Batch
	for s := l.manifest.Covers + 1; ; s++ {
		b, ok := l.ring[s]
		if !ok {
			return tail
		}
		tail = append(tail, b.batch)
	}
}

// slots returns the version of each slot. It returns false if the ring does not
// have exactly the last size batches before next.
func (l listing) slots(next Sequence, size int) ([]plat.Version, bool) {
	slots := make([]plat.Version, size)
	oldest := Sequence(1)
	if next > Sequence(size) {
		oldest = next - Sequence(size)
	}
	for s := oldest; s < next; s++ {
		b, ok := l.ring[s]
		if !ok {
			return nil, false
		}
		slots[int(s)%size] = b.version
	}
	return slots, len(l.ring) == int(next-oldest)
}

// orphans returns the parts that no manifest can refer to any more, because they
// were written to follow an older version of the manifest.
func (l listing) orphans() []Part {
	referenced := map[plat.Key]bool{}
	for _, p := range l.manifest.Parts {
		referenced[p.Key] = true
	}
	var parts []Part
	for key, s := range l.parts {
		if !referenced[key] && s.batch.Base < l.version {
			parts = append(parts, Part{Key: key, Version: s.version})
		}
	}
	sortParts(parts)
	return parts
}
