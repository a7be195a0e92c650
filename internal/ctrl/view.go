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
const viewTTL = 2 * time.Second

// behindFor is how long a router that knows of a newer configuration than its
// own may take to get it before it stops serving.
const maxBehind = 3 * time.Second

// View is what the control thread publishes for the traffic threads. It is
// immutable but for the quotas, which count down as sessions are assigned.
type View struct {
	*fleet.Snapshot
	Quotas        map[ident.ModelID]*Quota
	Stewards      map[ident.ZoneID]ident.RouterID // to ask for permits; "" for none known
	Estimates     *casc.Estimates
	ReadsPlatform bool // this router reads the platform for its zone
	Homes         *poison.Places
	KnownRouters  []status.Router // every router known, for operators
	Platform      status.Platform
	knownBy       map[ident.Release][]ident.RouterID // routers that know of a withdrawal
	persisted     map[ident.Release]bool             // withdrawals that the platform holds
}

// Quota is how many more sessions this router may expose to a version under
// roll-out before the control thread publishes the next view. It is safe for
// use by many goroutines.
type Quota struct {
	Limited   bool
	remaining atomic.Int64
}

// NewQuota gives a quota of the given number of sessions.
func NewQuota(limited bool, left int) *Quota {
	q := &Quota{Limited: limited}
	q.remaining.Store(int64(left))
	return q
}

// Left gives the number of sessions left.
func (q *Quota) Remaining() int {
	return int(max(0, q.remaining.Load()))
}

// Take counts one session down, and tells whether there was one left.
func (q *Quota) Take() bool {
	return !q.Limited || q.remaining.Add(-1) >= 0
}

// Quota gives what the choice of a version depends on.
func (v *View) Quota(model ident.ModelID) roll.Quota {
	q, ok := v.Quotas[model]
	if !ok {
		return roll.Quota{}
	}
	return roll.Quota{Limited: q.Limited, Left: q.Remaining()}
}

// View gives what traffic threads work with, or nil if nothing changed since
// the last call.
func (c *Control) View(now time.Time) *View {
	if !c.viewDirty || c.config == nil {
		return nil
	}
	c.viewDirty = false
	c.lastView = now
	v := &View{
		Snapshot: &fleet.Snapshot{
			Self:      c.self,
			Config:    c.config,
			Confirmed: c.confirmedAt,
			Serving:   c.serving(now),
			Until:     now.Add(viewTTL),
			Stopping:  c.stopping,
			Endpoints: make(map[ident.EndpointID]*fleet.Endpoint, len(c.endpoints)),
			Rollouts:  make(map[ident.ModelID]fleet.RolloutState, len(c.rollouts)),
			Withdrawn: make(map[ident.Release]fleet.Withdrawal, len(c.withdrawn)),
			Routers:   c.membership(now).live,
			Poison:    c.deaths.Suspicions(now),
		},
		Quotas:        map[ident.ModelID]*Quota{},
		Stewards:      map[ident.ZoneID]ident.RouterID{},
		Estimates:     c.estimates.Clone(),
		ReadsPlatform: c.readsPlatform(now),
		Platform:      status.Platform{Reachable: c.platform.reachable, Since: c.platform.since},
		knownBy:       map[ident.Release][]ident.RouterID{},
		persisted:     map[ident.Release]bool{},
	}
	c.populate(now, v)
	return v
}

func (c *Control) populate(now time.Time, v *View) {
	for id, e := range c.endpoints {
		v.Endpoints[id] = e.snapshot()
	}
	for model, r := range c.rollouts {
		v.Rollouts[model] = r.State
	}
	c.fillWithdrawn(now, v)
	c.fillRouters(now, v)
	v.Homes = poison.NewPlaces(v.Routers)
	for model, rollout := range c.config.Rollouts {
		state, ok := c.rollouts[model]
		if !ok || state.State.To != rollout.To {
			continue
		}
		q := c.sessionQuota(now, rollout, state.State)
		v.Quotas[model] = NewQuota(q.Limited, q.Left)
	}
	for _, zone := range c.zones {
		v.Stewards[zone] = c.stewardOf(now, zone)
	}
}

// showFleet lists the routers for operators, this one first.
func (c *Control) fillRouters(now time.Time, v *View) {
	v.KnownRouters = []status.Router{{
		ID:         c.self.ID,
		Zone:       c.self.Zone,
		Admin:      c.self.Admin,
		Generation: c.generation(),
		Confirmed:  c.confirmedAt,
		Serving:    v.Serving,
		Stopping:   c.stopping,
		Seen:       now,
	}}
	for _, r := range c.membership(now).peers {
		if r.lastHeard.IsZero() {
			continue
		}
		v.KnownRouters = append(v.KnownRouters, status.Router{
			ID:         r.info.ID,
			Zone:       r.info.Zone,
			Admin:      r.info.Admin,
			Generation: r.generation,
			Confirmed:  r.confirmedAt,
			Serving:    r.serving && c.isLive(now, r),
			Stopping:   r.stopping,
			Seen:       r.lastHeard,
		})
	}
}

// showWithdrawn notes how far each withdrawal has spread.
func (c *Control) fillWithdrawn(now time.Time, v *View) {
	for release, w := range c.withdrawn {
		v.Withdrawn[release] = w
		v.persisted[release] = c.persisted[release]
		v.knownBy[release] = append(v.knownBy[release], c.self.ID)
		for _, r := range c.membership(now).peers {
			if c.isLive(now, r) && r.ackedWithdrawals[release] {
				v.knownBy[release] = append(v.knownBy[release], r.info.ID)
			}
		}
	}
}

// Spread tells which routers know of a withdrawal, and whether all live ones
// and the platform do.
func (v *View) WithdrawalStatus(release ident.Release) (status.WithdrawReply, bool) {
	reply := status.WithdrawReply{Routers: v.knownBy[release], Durable: v.persisted[release]}
	return reply, reply.Durable && len(reply.Routers) >= len(v.Routers)
}

// show gives the endpoint for a view; an endpoint that did not change is shared
// with the view before.
func (e *endpoint) snapshot() *fleet.Endpoint {
	phase := e.phase.Phase()
	if !e.matchesSpec {
		phase = fleet.PhaseDown
	}
	next := fleet.Endpoint{
		Spec:     e.spec,
		Phase:    phase,
		Report:   e.report,
		Reported: e.reportedAt,
		Leaving:  e.reportsLeaving || e.listedLeaving,
	}
	if e.published == nil || *e.published != next {
		e.published = &next
	}
	return e.published
}

// serving tells whether this router may take new requests: it has a
// configuration that was confirmed as current, knows of no newer one that it
// cannot get, and is not cut off from everyone who could tell of one.
func (c *Control) serving(now time.Time) bool {
	if c.config == nil || c.stopping || c.confirmedAt.IsZero() {
		return false
	}
	if !c.behindSince.IsZero() && now.Sub(c.behindSince) > maxBehind {
		return false
	}
	return gossip.Fresh(now, c.connectivity(now)) != gossip.StandingAlone
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
func (c *Control) PeerAddresses() []string {
	addresses := make([]string, 0, len(c.peers))
	for _, r := range c.peers {
		addresses = append(addresses, r.info.Peer)
	}
	return addresses
}

// Head gives the head of the configuration in force.
func (c *Control) Head() plat.Head {
	return c.head
}

// reachOf gives what this router can reach.
func (c *Control) connectivity(now time.Time) gossip.Reach {
	m := c.membership(now)
	others := 0
	for _, r := range c.peers {
		if !r.info.Leaving {
			others++
		}
	}
	live := m.reachable
	if !c.allPairs() && m.reachable > 0 {
		live = len(m.live) - 1 // most are known by what others say of them
	}
	return gossip.Reach{Confirmed: c.confirmedAt, Live: live, Listed: others}
}
