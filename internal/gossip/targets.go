// Package gossip selects the peers that a router sends messages to, and defines
// the peer timeout and whether a router's configuration is recent enough to
// serve. It also simulates ways of spreading a message through a fleet.
package gossip

import (
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Kind classifies messages by how fast they must spread.
type Kind int

// The kinds of messages.
const (
	// KindUrgent announces a new generation, a withdrawal or a zone taken out.
	// Each router forwards it once, when it first receives it.
	KindUrgent Kind = iota
	// KindRoutine is a heartbeat with the changes since the last one. Its
	// generation and digest show the receiver what either side is missing.
	KindRoutine
)

// maxAllPairsRouters is the largest fleet in which every router sends to every
// other.
const maxAllPairsRouters = 12

// urgentFanout is the number of peers to which a router of a larger fleet
// forwards an urgent message.
const urgentFanout = 6

// The time between two heartbeats of a router: to all peers at once in a small
// fleet, to a single peer in a larger one.
const (
	allPairsInterval = time.Second
	gossipInterval   = 200 * time.Millisecond
)

// AllPairs reports whether every router of a fleet sends to every other.
func AllPairs(routers int) bool {
	return routers <= maxAllPairsRouters
}

// Interval returns the time between two rounds of heartbeats.
func Interval(routers int) time.Duration {
	if routers <= maxAllPairsRouters {
		return allPairsInterval
	}
	return gossipInterval
}

// Targets returns the peers to send a message to: all peers in a small fleet,
// otherwise a few selected at random from the seed. The seed of an urgent message
// is a hash of its content, that of a heartbeat is the number of its round.
// Leaving routers are included, since they still finish their streams.
func Targets(seed uint64, self ident.RouterID, routers []fleet.Router, kind Kind) []ident.RouterID {
	count := 1
	switch {
	case len(routers) <= maxAllPairsRouters:
		return othersOf(self, routers)
	case kind == KindUrgent:
		count = urgentFanout
	}
	r := newRandom(seed, self)
	targets := make([]ident.RouterID, 0, count)
	for len(targets) < count {
		id := routers[r.intn(len(routers))].ID
		if id != self && !slices.Contains(targets, id) {
			targets = append(targets, id)
		}
	}
	return targets
}

func othersOf(self ident.RouterID, routers []fleet.Router) []ident.RouterID {
	ids := make([]ident.RouterID, 0, len(routers))
	for _, r := range routers {
		if r.ID != self {
			ids = append(ids, r.ID)
		}
	}
	return ids
}
