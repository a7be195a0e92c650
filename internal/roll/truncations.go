package roll

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// cutPatience is how long after a cut an endpoint must have answered for
	// the cut to count: one that crashed is away for longer.
	cutPatience = 2 * time.Second
	// cutsKept bounds the endpoints that are remembered.
	cutsKept = 4096
)

// Life names one life of an endpoint.
type Incarnation struct {
	Endpoint ident.EndpointID
	Started  int64
}

// Cuts tells answers that a version broke off from those that ended with their
// endpoint. It answers the pattern of an endpoint that crashes under many
// requests at once, which says little of its version: cuts count once the same
// life of the endpoint answers again. It belongs to one goroutine at a time.
type Truncations struct{ open map[Incarnation]*cut }

type cut struct {
	at      time.Time
	tallies map[TallyKey]Tally
}

// NewCuts gives a Cuts that has seen nothing.
func NewTruncations() *Truncations { return &Truncations{open: map[Incarnation]*cut{}} }

// Cut notes an answer that was broken off.
func (c *Truncations) Record(now time.Time, life Incarnation, key TallyKey, t Tally) {
	x := c.open[life]
	if x == nil {
		if len(c.open) >= cutsKept {
			clear(c.open)
		}
		x = &cut{tallies: map[TallyKey]Tally{}}
		c.open[life] = x
	}
	x.at = now
	x.tallies[key] = x.tallies[key].Add(t)
}

// Answered notes that an endpoint answers, and gives the cuts that now count.
func (c *Truncations) Confirm(now time.Time, life Incarnation) map[TallyKey]Tally {
	x := c.open[life]
	if x == nil {
		return nil
	}
	delete(c.open, life)
	if now.Sub(x.at) > cutPatience {
		return nil
	}
	return x.tallies
}
