package copies_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/copies"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// node is a router: its sender, its holder and a journal that only queues.
type node struct {
	self    fleet.Router
	life    copies.Incarnation
	down    bool
	sender  *copies.Sender
	holder  *copies.Holder
	pending map[copies.EncodedRecord]bool
}

// world is a few routers during an outage of the platform.
type world struct {
	now     time.Time
	nodes   []*node
	billed  map[copies.EncodedRecord]bool // whose callers were answered
	durable map[copies.EncodedRecord]bool
}

func newWorld() *world {
	w := &world{now: start, billed: map[copies.EncodedRecord]bool{}, durable: map[copies.EncodedRecord]bool{}}
	for _, r := range routers("a1", "a2", "b1", "c1") {
		n := &node{self: r}
		w.nodes = append(w.nodes, n)
		w.restart(n)
	}
	return w
}

// restart begins a new life of a router, which knows nothing of the last.
func (w *world) restart(n *node) {
	w.now = w.now.Add(time.Millisecond)
	n.down, n.life = false, copies.Incarnation{Router: n.self.ID, Start: uint64(w.now.UnixNano())}
	n.sender, n.holder = copies.NewSender(n.self, settings), copies.NewHolder(settings)
	n.pending = map[copies.EncodedRecord]bool{}
}

func (w *world) live() []fleet.Router {
	var live []fleet.Router
	for _, n := range w.nodes {
		if !n.down {
			live = append(live, n.self)
		}
	}
	return live
}

func (w *world) node(id ident.RouterID) *node {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.self.ID == id })]
}

// bill queues a bill and copies it.
func (w *world) bill(n *node) {
	text := copies.EncodedRecord(fmt.Sprintf("%s-%d-%d", n.self.ID, n.life.Start, len(w.billed)))
	if n.down {
		return
	}
	n.pending[text] = true
	serial := n.sender.NextSequence()
	for _, to := range n.sender.Targets(w.now, w.live()) {
		if w.node(to.ID).holder.Receive(copies.Batch{From: n.life, Sequence: serial, Records: []copies.EncodedRecord{text}}) == nil {
			w.billed[text] = true
		}
		n.sender.RecordAddition(to.ID, serial)
	}
}

// sync puts the batches together that tell peers what to hold, and gives what
// delivers them.
func (w *world) sync(n *node) func() {
	if n.down {
		return func() {}
	}
	serial := n.sender.NextSequence()
	pending := slices.Sorted(maps.Keys(n.pending))
	n.holder.RemoveDurable(pending)
	sends := n.sender.Updates(w.now, w.live(), pending)
	return func() {
		for _, s := range sends {
			if w.node(s.To.ID).holder.Receive(copies.Batch{From: n.life, Sequence: serial, Replace: true, Records: s.Records}) == nil {
				n.sender.RecordUpdate(w.now, s, serial)
			}
		}
	}
}

// tick is one pass of the router's loop.
func (w *world) tick(n *node) {
	if n.down {
		return
	}
	w.sync(n)()
	due := n.holder.Orphaned(w.now, ids(w.live()))
	for _, text := range due {
		n.pending[text] = true
	}
	n.holder.MarkAdopted(due)
}

// round passes enough time for what a death sets off.
func (w *world) round() {
	for range 3 {
		for _, n := range w.nodes {
			w.tick(n)
		}
		w.now = w.now.Add(settings.DeadTimeout + time.Second)
	}
}

// flush makes durable what a router has pending.
func (w *world) flush(n *node) {
	if !n.down {
		maps.Copy(w.durable, n.pending)
		clear(n.pending)
	}
}
