package model

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/shard"
)

// store is an in-memory object store that can be cloned.
type store struct {
	plat.Platform // nil; the journal makes none of its other calls
	objects       map[plat.Key]plat.Object
	last          plat.Version
}

func newStore() store {
	return store{objects: map[plat.Key]plat.Object{}}
}

func (s store) clone() store {
	return store{objects: maps.Clone(s.objects), last: s.last}
}

// digest writes the contents of the store in key order.
func (s store) digest(w io.Writer) {
	for _, k := range slices.Sorted(maps.Keys(s.objects)) {
		o := s.objects[k]
		fmt.Fprint(w, o.Key, o.Version)
		w.Write(o.Value)
	}
}

// perform executes a call and returns its response event.
func (s *store) perform(action shard.Action) shard.Event {
	switch a := action.(type) {
	case shard.WriteObject:
		version, err := s.write(a)
		return shard.WriteDone{Call: a.Call, Version: version, Err: err}
	case shard.ReadObject:
		o, err := s.Get(context.Background(), a.Class, a.Key)
		return shard.ReadDone{Call: a.Call, Object: o, Err: err}
	case shard.ListObjects:
		objects, err := s.List(context.Background(), a.Class, a.Prefix)
		return shard.ListDone{Call: a.Call, Objects: objects, Err: err}
	case shard.DeleteObject:
		if s.objects[a.Key].Version == a.Expect {
			delete(s.objects, a.Key)
		}
		return nil
	default:
		return nil
	}
}

func (s *store) write(a shard.WriteObject) (plat.Version, error) {
	if s.objects[a.Key].Version != a.Expect {
		return 0, plat.ErrConflict
	}
	s.last++
	s.objects[a.Key] = plat.Object{Key: a.Key, Version: s.last, Value: a.Value}
	return s.last, nil
}

// Get returns an object, or plat.ErrNotFound.
func (s store) Get(_ context.Context, _ plat.Class, key plat.Key) (plat.Object, error) {
	o, ok := s.objects[key]
	if !ok {
		return o, plat.ErrNotFound
	}
	return o, nil
}

// List returns all objects whose key begins with prefix, sorted by key.
func (s store) List(_ context.Context, _ plat.Class, prefix plat.Key) ([]plat.Object, error) {
	var found []plat.Object
	for _, k := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(string(k), string(prefix)) {
			found = append(found, s.objects[k])
		}
	}
	return found, nil
}

// failedCall returns the event by which a call reports err to its router.
func failedCall(action shard.Action, err error) shard.Event {
	switch a := action.(type) {
	case shard.WriteObject:
		return shard.WriteDone{Call: a.Call, Err: err}
	case shard.ReadObject:
		return shard.ReadDone{Call: a.Call, Err: err}
	case shard.ListObjects:
		return shard.ListDone{Call: a.Call, Err: err}
	default:
		return nil
	}
}
