// Package gossip decides which peers a router sends to, how long one may be
// silent, and whether its configuration is fresh enough to serve.
package gossip

import (
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Kind tells items apart by how fast they must spread.
type Kind int

// The kinds of items.
const (
	// KindUrgent is a new generation, a withdrawal or a zone taken out. Each
	// router sends it once, when it first hears of it.
	KindUrgent Kind = iota
	// KindRoutine is a heartbeat with what changed since the last one. Its
	// generation and digest let the receiver see what either side lacks.
	KindRoutine
)

// maxAllPairs is the largest fleet in which every router sends to every other.
const maxAllPairs = 12

// fanout is the number of peers that a router of a larger fleet passes an
// urgent item on to.
const fanout = 6

// The time between two heartbeats of a router: to all others at once in a
// small fleet, to one other in a larger one.
const (
	heartbeatAll = time.Second
	heartbeatOne = 200 * time.Millisecond
)

// AllPairs tells whether every router of a fleet sends to every other.
func AllPairs(routers int) bool {
	return routers <= maxAllPairs
}

// Interval gives the time between two rounds of heartbeats.
func Interval(routers int) time.Duration {
	if routers <= maxAllPairs {
		return heartbeatAll
	}
	return heartbeatOne
}

// Targets gives the peers to send an item to: all of them in a small fleet,
// else a few drawn by the seed. For an urgent item the seed is the item's hash;
// for heartbeats it is the number of the round. Leaving routers are sent to as
// well, for they still end their streams.
func Targets(seed uint64, self ident.RouterID, routers []fleet.Router, kind Kind) []ident.RouterID {
	count := 1
	switch {
	case len(routers) <= maxAllPairs:
		return others(self, routers)
	case kind == KindUrgent:
		count = fanout
	}
	s := newSource(seed, self)
	targets := make([]ident.RouterID, 0, count)
	for len(targets) < count {
		id := routers[s.below(len(routers))].ID
		if id != self && !slices.Contains(targets, id) {
			targets = append(targets, id)
		}
	}
	return targets
}

func others(self ident.RouterID, routers []fleet.Router) []ident.RouterID {
	ids := make([]ident.RouterID, 0, len(routers))
	for _, r := range routers {
		if r.ID != self {
			ids = append(ids, r.ID)
		}
	}
	return ids
}
