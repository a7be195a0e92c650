package roll

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// confirmationTimeout is the time within which an endpoint must answer again
	// for its truncated answers to count. A crashed endpoint is away for longer.
	confirmationTimeout = 2 * time.Second
	// maxTruncatedEndpoints limits the number of endpoints with pending
	// truncations. All are dropped when it is reached.
	maxTruncatedEndpoints = 4096
)

// Incarnation identifies one run of an endpoint, from its start to its end.
type Incarnation struct {
	Endpoint ident.EndpointID
	Started  int64
}

// Truncations distinguishes answers truncated by a version from those truncated
// by the crash of their endpoint. A crash truncates all answers in progress at
// once and says little about the version, so truncated answers count only after
// the same incarnation of the endpoint has answered again. It is not safe for
// concurrent use.
type Truncations struct{ pending map[Incarnation]*truncation }

type truncation struct {
	at      time.Time
	tallies map[TallyKey]Tally
}

// NewTruncations returns an empty Truncations.
func NewTruncations() *Truncations { return &Truncations{pending: map[Incarnation]*truncation{}} }

// Record records a truncated answer.
func (c *Truncations) Record(now time.Time, incarnation Incarnation, key TallyKey, t Tally) {
	x := c.pending[incarnation]
	if x == nil {
		if len(c.pending) >= maxTruncatedEndpoints {
			clear(c.pending)
		}
		x = &truncation{tallies: map[TallyKey]Tally{}}
		c.pending[incarnation] = x
	}
	x.at = now
	x.tallies[key] = x.tallies[key].Add(t)
}

// Confirm records that an endpoint has answered, and returns the tallies of its
// pending truncated answers, or nil if the latest of them is older than
// confirmationTimeout.
func (c *Truncations) Confirm(now time.Time, incarnation Incarnation) map[TallyKey]Tally {
	x := c.pending[incarnation]
	if x == nil {
		return nil
	}
	delete(c.pending, incarnation)
	if now.Sub(x.at) > confirmationTimeout {
		return nil
	}
	return x.tallies
}
