package steer

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/feed"
	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// mirror is what this router knows of one kind of objects.
type mirror struct {
	kind    plat.Key
	pace    Pace
	upto    plat.Version // of the store, up to which the kind is known
	listed  bool         // all its objects are known
	heard   time.Time    // when somebody last heard it from the store
	objects map[plat.Key]plat.Object
	// use takes in the objects that are present and the keys of those gone.
	use func(now time.Time, present []plat.Object, gone []plat.Key, whole bool)
	// same tells whether a change is of no matter to other routers.
	same func(before, after plat.Object) bool
}

func newMirror(kind plat.Key, pace Pace, use func(time.Time, []plat.Object, []plat.Key, bool)) *mirror {
	return &mirror{
		kind: kind, pace: pace, objects: map[plat.Key]plat.Object{}, use: use,
		same: func(plat.Object, plat.Object) bool { return false },
	}
}

// take takes in news, whoever they come from, and gives what of them is new to
// those who follow this router. News that are older than what is known change
// nothing: what was once known to leave must not come back.
func (m *mirror) take(now time.Time, n feed.Update) (feed.Update, bool) {
	fresh := feed.Update{Kind: m.kind, Full: n.Full, Revision: n.Revision}
	if n.Full && n.Revision < m.upto || !n.Full && !m.listed {
		return fresh, false
	}
	var changes []plat.Change
	for _, c := range n.Changes {
		if n.Full || c.At > m.upto || c.At == 0 {
			changes = append(changes, c)
		}
	}
	present, gone := latest(changes)
	if n.Full {
		m.objects = make(map[plat.Key]plat.Object, len(present))
	}
	for _, o := range present {
		if before, known := m.objects[o.Key]; n.Full || !known || !m.same(before, o) {
			fresh.Changes = append(fresh.Changes, plat.Change{Object: o, At: o.Version})
		}
		m.objects[o.Key] = o
	}
	for _, key := range gone {
		delete(m.objects, key)
		fresh.Changes = append(fresh.Changes, plat.Change{Object: plat.Object{Key: key}, At: n.Revision})
	}
	m.upto = max(m.upto, n.Revision)
	m.listed = m.listed || n.Full
	if n.Full || len(changes) > 0 {
		m.use(now, present, gone, n.Full)
	}
	return fresh, n.Full || len(fresh.Changes) > 0
}

// snapshot gives all objects.
func (m *mirror) snapshot() feed.Update {
	n := feed.Update{Kind: m.kind, Full: true, Revision: m.upto}
	for _, o := range m.objects {
		n.Changes = append(n.Changes, plat.Change{Object: o, At: o.Version})
	}
	return n
}

// limit is the age at which the kind is no longer fresh.
func (m *mirror) limit() time.Duration { return m.pace.Wait + m.pace.Pause + freshSlack }

// freshSlack is how much longer than a watch the news of a kind may take.
const freshSlack = 500 * time.Millisecond

// latest keeps the last change of each object.
func latest(changes []plat.Change) (present []plat.Object, gone []plat.Key) {
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
