// Package gossip decides which peers a router sends to, which routers it holds
// to be alive, and whether its configuration is fresh enough to serve.
package gossip

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Kind tells items apart by how fast they must spread.
type Kind int

// The kinds of items.
const (
	// KindUrgent is a new generation, a withdrawal or a zone taken out.
	KindUrgent Kind = iota
	// KindRoutine is a delta of counters, sent with a heartbeat.
	KindRoutine
)

// Targets gives the peers to send an item to.
func Targets(_ uint64, self fleet.Router, routers []fleet.Router, _ Kind) []ident.RouterID {
	var ids []ident.RouterID
	for _, r := range routers {
		if r.ID != self.ID {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

// Standing tells whether a router may serve on its configuration.
type Standing int

// The standings.
const (
	// StandingFresh means that the configuration was confirmed a moment ago.
	StandingFresh Standing = iota
	// StandingTogether means that no reachable peer reaches the platform
	// either, which is taken as an outage of the platform.
	StandingTogether
	// StandingAlone means that neither the platform nor a peer is reachable;
	// the router must refuse new work.
	StandingAlone
)

// Fresh tells how a router stands. confirmed is the newest time at which
// anyone is known to have confirmed the configuration, heard the newest time
// at which any peer was heard, and peers the number of other routers known.
func Fresh(now, confirmed, heard time.Time, peers int) Standing {
	switch {
	case now.Sub(confirmed) <= FreshFor:
		return StandingFresh
	case peers == 0 || now.Sub(heard) <= AloneAfter:
		return StandingTogether
	}
	return StandingAlone
}

// FreshFor is how long a confirmation of the configuration counts.
const FreshFor = 3 * time.Second

// AloneAfter is how long a router without any peer goes on serving.
const AloneAfter = 3 * time.Second
