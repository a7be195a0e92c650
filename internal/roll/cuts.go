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
type Life struct {
	Endpoint ident.EndpointID
	Born     int64
}

// Cuts tells answers that a version broke off from those that ended with their
// endpoint. It answers the pattern of an endpoint that crashes under many
// requests at once, which says little of its version: cuts count once the same
// life of the endpoint answers again. It belongs to one goroutine at a time.
type Cuts struct{ open map[Life]*cut }

type cut struct {
	at      time.Time
	tallies map[BriefKey]Tally
}

// NewCuts gives a Cuts that has seen nothing.
func NewCuts() *Cuts { return &Cuts{open: map[Life]*cut{}} }

// Cut notes an answer that was broken off.
func (c *Cuts) Cut(now time.Time, life Life, key BriefKey, t Tally) {
	x := c.open[life]
	if x == nil {
		if len(c.open) >= cutsKept {
			clear(c.open)
		}
		x = &cut{tallies: map[BriefKey]Tally{}}
		c.open[life] = x
	}
	x.at = now
	x.tallies[key] = x.tallies[key].Plus(t)
}

// Answered notes that an endpoint answers, and gives the cuts that now count.
func (c *Cuts) Answered(now time.Time, life Life) map[BriefKey]Tally {
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
