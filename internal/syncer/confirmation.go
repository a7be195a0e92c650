package syncer

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/feed"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// confirmations records when the store last confirmed the data of one kind, to this
// or to another router. The age of a confirmation counts from when it was first
// heard: each way that it takes adds a delay that no sender knows, so that a
// confirmation which came round would otherwise seem young for good.
type confirmations struct {
	latest feed.Confirmation
	at     time.Time                            // of latest, zero if there is none
	heard  map[ident.RouterID]heardConfirmation // by the router that the store answered
}

type heardConfirmation struct {
	number uint64
	at     time.Time
}

// confirm records an answer of the store to a router.
func (c *confirmations) confirm(now time.Time, router ident.RouterID) {
	number := max(c.heard[router].number+1, uint64(now.UnixNano()))
	c.record(feed.Confirmation{Router: router, Number: number}, now)
}

// hear records a confirmation that another router reports with its age, and returns
// the time of it. A report without a name is of a router that knows none.
func (c *confirmations) hear(now time.Time, x feed.Confirmation, age time.Duration) time.Time {
	at := now.Add(-age)
	if x.Router == "" {
		if at.After(c.at) {
			c.latest, c.at = x, at
		}
		return at
	}
	if known, ok := c.heard[x.Router]; ok && x.Number <= known.number {
		if known.at.Before(at) {
			return known.at
		}
		return at
	}
	c.record(x, at)
	return at
}

func (c *confirmations) record(x feed.Confirmation, at time.Time) {
	if c.heard == nil {
		c.heard = map[ident.RouterID]heardConfirmation{}
	}
	c.heard[x.Router] = heardConfirmation{number: x.Number, at: at}
	if at.After(c.at) {
		c.latest, c.at = x, at
	}
}
