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

// viewTTL is the age at which a view is too old to start new work on. It is many
// times the interval between views, and shorter than every fleet-wide bound.
const viewTTL = 2 * time.Second

// maxBehind is how long a router that knows of a newer configuration may keep
// serving while it fetches it.
const maxBehind = 3 * time.Second

// View is the state that the control loop publishes to the request handlers. It
// is immutable except for the quotas, which decrease as sessions are assigned.
type View struct {
	*fleet.Snapshot
	Quotas        map[ident.ModelID]*Quota
	Stewards      map[ident.ZoneID]ident.RouterID // to request permits from; "" if none is known
	Estimates     *casc.Estimates
	ReadsPlatform bool             // whether this router reads the platform for its zone
	Owners        *poison.OwnerMap // the router that owns each request body
	RefusedParts  poison.RefusedParts
	KnownRouters  []status.Router // this router and all that were ever known to be alive, for operators
	Platform      status.Platform
	knownBy       map[ident.Release][]ident.RouterID // routers known to have applied a withdrawal
	persisted     map[ident.Release]bool             // withdrawals stored in the platform
}

// Quota limits how many more sessions this router may expose to a version under
// roll-out until the next view is published. It is safe for concurrent use.
type Quota struct {
	Limited   bool
	remaining atomic.Int64
}

// NewQuota returns a quota of left sessions, or an unlimited one.
func NewQuota(limited bool, left int) *Quota {
	q := &Quota{Limited: limited}
	q.remaining.Store(int64(left))
	return q
}

// Remaining returns the number of sessions left of a limited quota.
func (q *Quota) Remaining() int {
	return int(max(0, q.remaining.Load()))
}

// Take consumes one session and reports whether the quota allowed it.
func (q *Quota) Take() bool {
	return !q.Limited || q.remaining.Add(-1) >= 0
}

// Quota returns a model's remaining quota, as input to the choice of a version.
func (v *View) Quota(model ident.ModelID) roll.Quota {
	q, ok := v.Quotas[model]
	if !ok {
		return roll.Quota{}
	}
	return roll.Quota{Limited: q.Limited, Remaining: q.Remaining()}
}

// View returns a new view to publish, or nil if nothing changed since the last
// call or there is no configuration yet.
func (c *Control) View(now time.Time) *View {
	if !c.viewDirty || c.config == nil {
		return nil
	}
	c.viewDirty = false
	c.lastView = now
	c.exonerate(now)
	v := &View{
		Snapshot: &fleet.Snapshot{
			Self:        c.self,
			Config:      c.config,
			ConfirmedAt: c.confirmedAt,
			Serving:     c.serving(now),
			ExpiresAt:   now.Add(viewTTL),
			Stopping:    c.stopping,
			Endpoints:   make(map[ident.EndpointID]*fleet.Endpoint, len(c.endpoints)),
			Rollouts:    make(map[ident.ModelID]fleet.RolloutState, len(c.rollouts)),
			Withdrawn:   make(map[ident.Release]fleet.Withdrawal, len(c.withdrawn)),
			Routers:     c.membership(now).live,
			Suspicions:  c.crashes.Suspicions(now),
		},
		Quotas:        map[ident.ModelID]*Quota{},
		Stewards:      map[ident.ZoneID]ident.RouterID{},
		Estimates:     c.estimates.Clone(),
		RefusedParts:  c.parts.Refused(now),
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
	v.Owners = poison.NewOwnerMap(v.Routers)
	for model, rollout := range c.config.Rollouts {
		state, ok := c.rollouts[model]
		if !ok || state.State.To != rollout.To {
			continue
		}
		q := c.sessionQuota(now, rollout, state.State)
		v.Quotas[model] = NewQuota(q.Limited, q.Remaining)
	}
	for _, zone := range c.zones {
		v.Stewards[zone] = c.stewardOf(now, zone)
	}
}

// fillRouters lists this router, then those that were ever known to be alive.
func (c *Control) fillRouters(now time.Time, v *View) {
	v.KnownRouters = []status.Router{{
		ID:          c.self.ID,
		Zone:        c.self.Zone,
		Admin:       c.self.Admin,
		Generation:  c.generation(),
		ConfirmedAt: c.confirmedAt,
		Serving:     v.Serving,
		Stopping:    c.stopping,
		LastSeen:    now,
	}}
	for _, r := range c.membership(now).peers {
		if r.lastHeard.IsZero() {
			continue
		}
		v.KnownRouters = append(v.KnownRouters, status.Router{
			ID:          r.info.ID,
			Zone:        r.info.Zone,
			Admin:       r.info.Admin,
			Generation:  r.generation,
			ConfirmedAt: r.confirmedAt,
			Serving:     r.serving && c.isLive(now, r),
			Stopping:    r.stopping,
			LastSeen:    r.lastHeard,
		})
	}
}

// fillWithdrawn records the withdrawals and which routers have applied them.
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

// WithdrawalStatus returns the routers known to have applied a withdrawal, this
// one included, and reports whether all live ones have applied it and the platform
// has stored it.
func (v *View) WithdrawalStatus(release ident.Release) (status.WithdrawReply, bool) {
	reply := status.WithdrawReply{Routers: v.knownBy[release], Durable: v.persisted[release]}
	return reply, reply.Durable && len(reply.Routers) >= len(v.Routers)
}

// snapshot returns the endpoint for a view; it is shared with the previous view
// if nothing changed.
func (e *endpoint) snapshot() *fleet.Endpoint {
	phase := e.phase.Phase()
	if !e.matchesSpec {
		phase = fleet.PhaseDown
	}
	next := fleet.Endpoint{
		Spec:       e.spec,
		Phase:      phase,
		Report:     e.report,
		ReportedAt: e.reportedAt,
		Leaving:    e.reportsLeaving || e.listedLeaving,
	}
	if e.published == nil || *e.published != next {
		e.published = &next
	}
	return e.published
}

// serving reports whether this router may accept new requests: its configuration
// was confirmed as current, it has not failed to fetch a newer one, and it is not
// partitioned from those that could announce one.
func (c *Control) serving(now time.Time) bool {
	if c.config == nil || c.stopping || c.confirmedAt.IsZero() {
		return false
	}
	if !c.behindSince.IsZero() && now.Sub(c.behindSince) > maxBehind {
		return false
	}
	return gossip.ConfigValidity(now, c.connectivity(now)) != gossip.ValidityMinority
}

// RouterIDs returns the live routers that are not leaving, this one included,
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

// PeerAddresses returns the addresses of all known peers, live or not.
func (c *Control) PeerAddresses() []string {
	addresses := make([]string, 0, len(c.peers))
	for _, r := range c.peers {
		addresses = append(addresses, r.info.Peer)
	}
	return addresses
}

// Head returns the head of the configuration in force.
func (c *Control) Head() plat.Head {
	return c.head
}

// connectivity returns how many routers are live and listed, and the newest
// confirmation of the configuration.
func (c *Control) connectivity(now time.Time) gossip.Connectivity {
	m := c.membership(now)
	others := 0
	for _, r := range c.peers {
		if !r.info.Leaving {
			others++
		}
	}
	live := m.reachable
	if !c.allPairs() && m.reachable > 0 {
		live = len(m.live) - 1 // most are known through other routers
	}
	return gossip.Connectivity{Confirmed: c.confirmedAt, Live: live, Listed: others}
}
