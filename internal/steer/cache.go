package steer

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/feed"
	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// mirror is what this router knows of one kind of objects.
type objectCache struct {
	kind      plat.Key
	timing    WatchTiming
	revision  plat.Version // of the store, up to which the kind is known
	listed    bool         // all its objects are known
	confirmed time.Time    // when somebody last heard it from the store
	objects   map[plat.Key]plat.Object
	// use takes in the objects that are present and the keys of those gone.
	onChange func(now time.Time, present []plat.Object, gone []plat.Key, whole bool)
	// same tells whether a change is of no matter to other routers.
	unchanged func(before, after plat.Object) bool
}

func newObjectCache(kind plat.Key, pace WatchTiming, use func(time.Time, []plat.Object, []plat.Key, bool)) *objectCache {
	return &objectCache{
		kind: kind, timing: pace, objects: map[plat.Key]plat.Object{}, onChange: use,
		unchanged: func(plat.Object, plat.Object) bool { return false },
	}
}

// take takes in news, whoever they come from, and gives what of them is new to
// those who follow this router. News that are older than what is known change
// nothing: what was once known to leave must not come back.
func (oc *objectCache) apply(now time.Time, n feed.Update) (feed.Update, bool) {
	fresh := feed.Update{Kind: oc.kind, Full: n.Full, Revision: n.Revision}
	if n.Full && n.Revision < oc.revision || !n.Full && !oc.listed {
		return fresh, false
	}
	var changes []plat.Change
	for _, c := range n.Changes {
		if n.Full || c.At > oc.revision || c.At == 0 {
			changes = append(changes, c)
		}
	}
	present, gone := lastChanges(changes)
	if n.Full {
		oc.objects = make(map[plat.Key]plat.Object, len(present))
	}
	for _, o := range present {
		if before, known := oc.objects[o.Key]; n.Full || !known || !oc.unchanged(before, o) {
			fresh.Changes = append(fresh.Changes, plat.Change{Object: o, At: o.Version})
		}
		oc.objects[o.Key] = o
	}
	for _, key := range gone {
		delete(oc.objects, key)
		fresh.Changes = append(fresh.Changes, plat.Change{Object: plat.Object{Key: key}, At: n.Revision})
	}
	oc.revision = max(oc.revision, n.Revision)
	oc.listed = oc.listed || n.Full
	if n.Full || len(changes) > 0 {
		oc.onChange(now, present, gone, n.Full)
	}
	return fresh, n.Full || len(fresh.Changes) > 0
}

// snapshot gives all objects.
func (oc *objectCache) snapshot() feed.Update {
	n := feed.Update{Kind: oc.kind, Full: true, Revision: oc.revision}
	for _, o := range oc.objects {
		n.Changes = append(n.Changes, plat.Change{Object: o, At: o.Version})
	}
	return n
}

// limit is the age at which the kind is no longer fresh.
func (oc *objectCache) maxAge() time.Duration {
	return oc.timing.Timeout + oc.timing.MinInterval + freshnessMargin
}

// freshSlack is how much longer than a watch the news of a kind may take.
const freshnessMargin = 500 * time.Millisecond

// latest keeps the last change of each object.
func lastChanges(changes []plat.Change) (present []plat.Object, gone []plat.Key) {
	last := make(map[plat.Key]int, len(changes))
	for i, c := range changes {
		last[c.Object.Key] = i
	}
	for i, c := range changes {
		switch {
		case last[c.Object.Key] != i:
		case c.Object.Version == 0:
			gone = append(gone, c.Object.Key)
		default:
			present = append(present, c.Object)
		}
	}
	return present, gone
}
