package ctrl

import (
	"sync/atomic"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/casc"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/gossip"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/internal/status"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// viewLife is the age at which a view is too old to begin new work on. It is
// many times the interval between views, and short of every fleet-wide bound.
const viewLife = 2 * time.Second

// behindFor is how long a router that knows of a newer configuration than its
// own may take to get it before it stops serving.
const behindFor = 3 * time.Second

// View is what the control thread publishes for the traffic threads. It is
// immutable but for the quotas, which count down as sessions are assigned.
type View struct {
	*fleet.Snapshot
	Quotas    map[ident.ModelID]*Quota
	Stewards  map[ident.ZoneID]ident.RouterID // to ask for permits; "" for none known
	Estimates *casc.Estimates
	Relay     bool // this router reads the platform for its zone
	Homes     *poison.OwnerMap
	Fleet     []status.Router // every router known, for operators
	Platform  status.Platform
	spread    map[ident.Release][]ident.RouterID // routers that know of a withdrawal
	stored    map[ident.Release]bool             // withdrawals that the platform holds
}

// Quota is how many more sessions this router may expose to a version under
// roll-out before the control thread publishes the next view. It is safe for
// use by many goroutines.
type Quota struct {
	Limited bool
	left    atomic.Int64
}

// NewQuota gives a quota of the given number of sessions.
func NewQuota(limited bool, left int) *Quota {
	q := &Quota{Limited: limited}
	q.left.Store(int64(left))
	return q
}

// Left gives the number of sessions left.
func (q *Quota) Left() int {
	return int(max(0, q.left.Load()))
}

// Take counts one session down, and tells whether there was one left.
func (q *Quota) Take() bool {
	return !q.Limited || q.left.Add(-1) >= 0
}

// Quota gives what the choice of a version depends on.
func (v *View) Quota(model ident.ModelID) roll.Quota {
	q, ok := v.Quotas[model]
	if !ok {
		return roll.Quota{}
	}
	return roll.Quota{Limited: q.Limited, Remaining: q.Left()}
}

// View gives what traffic threads work with, or nil if nothing changed since
// the last call.
func (c *Control) View(now time.Time) *View {
	if !c.changed || c.config == nil {
		return nil
	}
	c.changed = false
	c.lastView = now
	v := &View{
		Snapshot: &fleet.Snapshot{
			Self:      c.self,
			Config:    c.config,
			Confirmed: c.confirmed,
			Serving:   c.serving(now),
			Until:     now.Add(viewLife),
			Stopping:  c.stopping,
			Endpoints: make(map[ident.EndpointID]*fleet.Endpoint, len(c.endpoints)),
			Rollouts:  make(map[ident.ModelID]fleet.RolloutState, len(c.rollouts)),
			Withdrawn: make(map[ident.Release]fleet.Withdrawal, len(c.withdrawn)),
			Routers:   c.roster(now).live,
			Poison:    c.deaths.Suspicions(now),
		},
		Quotas:    map[ident.ModelID]*Quota{},
		Stewards:  map[ident.ZoneID]ident.RouterID{},
		Estimates: c.estimates.Clone(),
		Relay:     c.relay(now),
		Platform:  status.Platform{Reachable: c.platform.reachable, Since: c.platform.since},
		spread:    map[ident.Release][]ident.RouterID{},
		stored:    map[ident.Release]bool{},
	}
	c.fill(now, v)
	return v
}

func (c *Control) fill(now time.Time, v *View) {
	for id, e := range c.endpoints {
		v.Endpoints[id] = e.show()
	}
	for model, r := range c.rollouts {
		v.Rollouts[model] = r.State
	}
	c.showWithdrawn(now, v)
	c.showFleet(now, v)
	v.Homes = poison.NewOwnerMap(v.Routers)
	for model, rollout := range c.config.Rollouts {
		state, ok := c.rollouts[model]
		if !ok || state.State.To != rollout.To {
			continue
		}
		q := c.quota(now, rollout, state.State)
		v.Quotas[model] = NewQuota(q.Limited, q.Remaining)
	}
	for _, zone := range c.zones {
		v.Stewards[zone] = c.stewardOf(now, zone)
	}
}

// showFleet lists the routers for operators, this one first.
func (c *Control) showFleet(now time.Time, v *View) {
	v.Fleet = []status.Router{{
		ID:         c.self.ID,
		Zone:       c.self.Zone,
		Admin:      c.self.Admin,
		Generation: c.generation(),
		Confirmed:  c.confirmed,
		Serving:    v.Serving,
		Stopping:   c.stopping,
		Seen:       now,
	}}
	for _, r := range c.roster(now).peers {
		if r.heard.IsZero() {
			continue
		}
		v.Fleet = append(v.Fleet, status.Router{
			ID:         r.router.ID,
			Zone:       r.router.Zone,
			Admin:      r.router.Admin,
			Generation: r.generation,
			Confirmed:  r.confirmed,
			Serving:    r.serving && c.live(now, r),
			Stopping:   r.stopping,
			Seen:       r.heard,
		})
	}
}

// showWithdrawn notes how far each withdrawal has spread.
func (c *Control) showWithdrawn(now time.Time, v *View) {
	for release, w := range c.withdrawn {
		v.Withdrawn[release] = w
		v.stored[release] = c.stored[release]
		v.spread[release] = append(v.spread[release], c.self.ID)
		for _, r := range c.roster(now).peers {
			if c.live(now, r) && r.told[release] {
				v.spread[release] = append(v.spread[release], r.router.ID)
			}
		}
	}
}

// Spread tells which routers know of a withdrawal, and whether all live ones
// and the platform do.
func (v *View) Spread(release ident.Release) (status.WithdrawReply, bool) {
	reply := status.WithdrawReply{Routers: v.spread[release], Durable: v.stored[release]}
	return reply, reply.Durable && len(reply.Routers) >= len(v.Routers)
}

// show gives the endpoint for a view; an endpoint that did not change is shared
// with the view before.
func (e *endpoint) show() *fleet.Endpoint {
	phase := e.phase.Phase()
	if !e.match {
		phase = fleet.PhaseDown
	}
	next := fleet.Endpoint{
		Spec:     e.spec,
		Phase:    phase,
		Report:   e.report,
		Reported: e.reported,
		Leaving:  e.leaving || e.listedLeaving,
	}
	if e.shown == nil || *e.shown != next {
		e.shown = &next
	}
	return e.shown
}

// serving tells whether this router may take new requests: it has a
// configuration that was confirmed as current, knows of no newer one that it
// cannot get, and is not cut off from everyone who could tell of one.
func (c *Control) serving(now time.Time) bool {
	if c.config == nil || c.stopping || c.confirmed.IsZero() {
		return false
	}
	if !c.behind.IsZero() && now.Sub(c.behind) > behindFor {
		return false
	}
	return gossip.Fresh(now, c.reachOf(now)) != gossip.StandingAlone
}

// RouterIDs gives the live routers that are not leaving, this one included,
// sorted.
func (v *View) RouterIDs() []ident.RouterID {
	ids := make([]ident.RouterID, 0, len(v.Routers))
	for _, r := range v.Routers {
		if !r.Leaving {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

// Addresses gives the peer addresses of all routers known, live or not.
func (c *Control) Addresses() []string {
	addresses := make([]string, 0, len(c.routers))
	for _, r := range c.routers {
		addresses = append(addresses, r.router.Peer)
	}
	return addresses
}

// Head gives the head of the configuration in force.
func (c *Control) Head() plat.Head {
	return c.head
}

// reachOf gives what this router can reach.
func (c *Control) reachOf(now time.Time) gossip.Reach {
	m := c.roster(now)
	others := 0
	for _, r := range c.routers {
		if !r.router.Leaving {
			others++
		}
	}
	live := m.answered
	if !c.allPairs() && m.answered > 0 {
		live = len(m.live) - 1 // most are known by what others say of them
	}
	return gossip.Reach{Confirmed: c.confirmed, Live: live, Listed: others}
}
