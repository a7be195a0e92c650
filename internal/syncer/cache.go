package syncer

import (
	"bytes"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/feed"
	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// objectCache holds this router's copy of the objects of one kind.
type objectCache struct {
	kind      plat.Key
	timing    WatchTiming
	revision  plat.Version // store revision up to which the copy is current
	listed    bool         // the copy is complete
	confirmed confirmations
	objects   map[plat.Key]plat.Object
	onChange  func(now time.Time, c cacheChange)
	// onMissed is called with objects that the copy should have held, see missed.
	onMissed func(objects []plat.Object)
	// unchanged reports whether a change need not be forwarded to followers.
	unchanged func(before, after plat.Object) bool
	// outlives reports whether an object stays although another one was stored after it.
	outlives func(o, later plat.Object) bool
}

// cacheChange describes a change of the objects of one kind.
type cacheChange struct {
	present []plat.Object // added or changed
	removed []plat.Key
	full    bool // present holds all objects of the kind
	// rewound is set if the objects were replaced by those of a later era, so that
	// the latest changes of the earlier one may be missing.
	rewound bool
}

func newObjectCache(kind plat.Key, timing WatchTiming, onChange func(time.Time, cacheChange)) *objectCache {
	return &objectCache{
		kind: kind, timing: timing, objects: map[plat.Key]plat.Object{}, onChange: onChange,
		unchanged: func(plat.Object, plat.Object) bool { return false }, onMissed: func([]plat.Object) {},
		outlives: func(plat.Object, plat.Object) bool { return false },
	}
}

// apply merges an update from the store or from another router. It returns the
// update to forward to followers and whether there is anything to forward.
// Changes older than the cached revision are ignored, so that an endpoint seen
// to be leaving cannot reappear. Changes of a later era continue a history that is
// not the cached one, so they are ignored until all objects are listed. A full update
// that holds what is cached already is not forwarded: while the store is unavailable, the
// reader follows one of its followers, and such updates would circulate between them.
func (oc *objectCache) apply(now time.Time, u feed.Update) (feed.Update, bool) {
	forward := feed.Update{Kind: oc.kind, Full: u.Full, Revision: u.Revision}
	switch {
	case u.Full && u.Revision < oc.revision:
		return oc.applyOutliving(now, u)
	case !u.Full && (!oc.listed || u.Revision.Era() > oc.revision.Era()):
		return forward, false
	}
	rewound := oc.revision != 0 && u.Revision.Era() > oc.revision.Era()
	var changes []plat.Change
	for _, c := range u.Changes {
		if u.Full || c.At > oc.revision || c.At == 0 {
			changes = append(changes, c)
		}
	}
	present, removed := lastChanges(changes)
	for i, o := range present {
		if before, known := oc.objects[o.Key]; known && oc.outlives(before, o) {
			present[i] = before
		}
	}
	known := u.Full && oc.holds(u.Revision, present)
	if u.Full {
		if missed := oc.missed(present); len(missed) > 0 {
			oc.onMissed(missed)
		}
		oc.objects = make(map[plat.Key]plat.Object, len(present))
	}
	for _, o := range present {
		if before, known := oc.objects[o.Key]; u.Full || !known || !oc.unchanged(before, o) {
			forward.Changes = append(forward.Changes, plat.Change{Object: o, At: o.Version})
		}
		oc.objects[o.Key] = o
	}
	for _, key := range removed {
		delete(oc.objects, key)
		forward.Changes = append(forward.Changes, plat.Change{Object: plat.Object{Key: key}, At: u.Revision})
	}
	oc.revision = max(oc.revision, u.Revision)
	oc.listed = oc.listed || u.Full
	if u.Full || len(changes) > 0 {
		oc.onChange(now, cacheChange{present: present, removed: removed, full: u.Full, rewound: rewound})
	}
	return forward, u.Full && !known || !u.Full && len(forward.Changes) > 0
}

// applyOutliving applies those objects of an update that stay although the cached ones were
// stored after them. A router that has just started does not know of them from the store.
func (oc *objectCache) applyOutliving(now time.Time, u feed.Update) (feed.Update, bool) {
	forward := feed.Update{Kind: oc.kind, Revision: oc.revision}
	var present []plat.Object
	for _, c := range u.Changes {
		if cached, known := oc.objects[c.Object.Key]; known && oc.outlives(c.Object, cached) {
			oc.objects[c.Object.Key] = c.Object
			present = append(present, c.Object)
			forward.Changes = append(forward.Changes, plat.Change{Object: c.Object}) // without a revision, so that followers take it
		}
	}
	if len(present) > 0 {
		oc.onChange(now, cacheChange{present: present})
	}
	return forward, len(present) > 0
}

// missed returns those of all present objects that the copy does not hold although it counts
// as current up to a later revision: the store, or another router, did not tell of them.
func (oc *objectCache) missed(present []plat.Object) (missed []plat.Object) {
	if !oc.listed {
		return nil
	}
	for _, o := range present {
		before, known := oc.objects[o.Key]
		if o.Version <= oc.revision && o.Version.Era() == oc.revision.Era() && (!known || before.Version < o.Version && !oc.unchanged(before, o)) {
			missed = append(missed, o)
		}
	}
	return missed
}

// holds reports whether the cache is complete and holds exactly the given objects, which are
// those of a revision. That of the cache may be an earlier one of the same era, as it does not
// rise while nothing changes.
func (oc *objectCache) holds(revision plat.Version, objects []plat.Object) bool {
	if !oc.listed || oc.revision.Era() != revision.Era() || len(oc.objects) != len(objects) {
		return false
	}
	for _, o := range objects {
		known, ok := oc.objects[o.Key]
		if !ok || known.Version != o.Version || !bytes.Equal(known.Value, o.Value) {
			return false
		}
	}
	return true
}

// snapshot returns all cached objects as a full update.
func (oc *objectCache) snapshot() feed.Update {
	u := feed.Update{Kind: oc.kind, Full: true, Revision: oc.revision}
	for _, o := range oc.objects {
		u.Changes = append(u.Changes, plat.Change{Object: o, At: o.Version})
	}
	return u
}

// maxAge returns the age up to which the copy counts as fresh.
func (oc *objectCache) maxAge() time.Duration {
	margin := max(freshnessMargin, time.Duration(freshnessFraction*float64(oc.timing.Timeout))-oc.timing.MinInterval)
	return oc.timing.Timeout + oc.timing.MinInterval + margin
}

const (
	// freshnessMargin is the least time allowed for an update beyond the watch itself.
	freshnessMargin = 500 * time.Millisecond
	// freshnessFraction of a watch's timeout is allowed if that is more. A watch waits a
	// third of the bound on its kind, so that a third is left to read the store.
	freshnessFraction = 0.9
)

// lastChanges reduces a list of changes to the last change of each object. It
// returns the objects that exist and the keys of those removed.
func lastChanges(changes []plat.Change) (present []plat.Object, removed []plat.Key) {
	last := make(map[plat.Key]int, len(changes))
	for i, c := range changes {
		last[c.Object.Key] = i
	}
	for i, c := range changes {
		switch {
		case last[c.Object.Key] != i:
		case c.Object.Version == 0:
			removed = append(removed, c.Object.Key)
		default:
			present = append(present, c.Object)
		}
	}
	return present, removed
}
