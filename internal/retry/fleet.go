package retry

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// fleetShareFraction is the fraction of FleetLimits.Share that settled routers use,
	// since requests and their retries may fall into different windows. Routers that have
	// just started use the rest.
	fleetShareFraction = 0.95
	// fleetExtraFraction is the fraction of FleetLimits.Extra that is used.
	fleetExtraFraction = 0.8
	// settleFraction is the fraction of a window that a router waits beyond its first one,
	// at least maxReadDelay: what an earlier process had sent arrives late, and other routers
	// learn of this one.
	settleFraction = 0.1
)

// FleetLimits bound the attempts beyond the first of each request in any window, summed
// over all routers. The load that it addresses: endpoints fail and every retry that is
// allowed is made, while routers are killed, replaced and join.
type FleetLimits struct {
	Share  ident.Share // per request
	Extra  float64     // beyond Share in each window
	Window time.Duration
}

// NewBudget returns the part of one router, of count, whose process has started at a time.
// Until a window has passed it allows only what settled routers leave: it does not know
// what an earlier process has used of this window's allowance. With fresh there was none.
func (l FleetLimits) NewBudget(started time.Time, fresh bool, count int) *WindowBudget {
	w := NewWindowBudget(l.Share*fleetShareFraction, l.ExtraOf(count), l.Window)
	if !fresh {
		late := max(maxReadDelay, time.Duration(float64(l.Window)*settleFraction))
		w.limitUntil(started.Add(l.Window+late), l.Share*(1-fleetShareFraction))
	}
	return w
}

// ExtraOf returns the part of one router, of count, in Extra.
func (l FleetLimits) ExtraOf(count int) float64 {
	return l.Extra * fleetExtraFraction / float64(max(1, count))
}
