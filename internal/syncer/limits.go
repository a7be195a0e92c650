package syncer

import (
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// ObserveLimit records what an endpoint says in an answer of the load that it accepts.
func (c *Controller) ObserveLimit(now time.Time, e *world.Endpoint, l route.EndpointLimit) {
	l.Endpoint, l.StartedMillis = e.ID, e.StartedMillis
	if !c.limits.Record(now, l) {
		return
	}
	if l.Replaced {
		c.log.Warn("endpoint replaced", zap.String("endpoint", string(e.ID)), zap.String("address", e.Address))
		return
	}
	if l.Limited {
		c.log.Info("endpoint limited", zap.String("endpoint", string(e.ID)), zap.Float64("rate", l.Rate), zap.Bool("brittle", l.Brittle))
		return
	}
	c.log.Info("endpoint not limited", zap.String("endpoint", string(e.ID)), zap.Bool("brittle", l.Brittle))
}

// Brittle reports whether an endpoint says that it falls over if it has to turn many
// requests away.
func (c *Controller) Brittle(now time.Time, e *world.Endpoint) bool {
	return c.limits.Brittle(now, e.ID, e.StartedMillis)
}

// Replaced reports whether another process answers at an endpoint's address.
func (c *Controller) Replaced(now time.Time, e *world.Endpoint) bool {
	return c.limits.Replaced(now, e.ID, e.StartedMillis)
}

// Limit returns the rate that an endpoint accepts from all routers together, and
// whether it names one.
func (c *Controller) Limit(now time.Time, e *world.Endpoint) (rate float64, limited bool) {
	return c.limits.Limit(now, e.ID, e.StartedMillis)
}

// Routers returns the routers that share the endpoints, none while unknown.
func (c *Controller) Routers() []ident.RouterID {
	if routers := c.routers.Load(); routers != nil {
		return *routers
	}
	return nil
}

// limitsSince returns the limits that changed after cursor, and advances cursor.
func (c *Controller) limitsSince(cursor *uint64) []route.EndpointLimit {
	list, next := c.limits.Since(*cursor)
	*cursor = next
	return list
}
