// Package ctrl is the control thread's machine: it owns all state that a
// router shares between requests, takes events and the present time, and gives
// actions. It does no I/O.
package ctrl

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/casc"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Control is the state of the control thread. It belongs to one goroutine.
type Control struct {
	self     fleet.Router
	source   roll.Source
	settings Settings
	started  time.Time

	config             *fleet.Config
	head               plat.Head
	confirmedAt        time.Time
	fetchingGeneration ident.Generation // asked for, not yet here
	behindSince        time.Time        // since when a newer one is known and not here
	platform           platformState

	peers            map[ident.RouterID]*peer
	instances        map[ident.RouterID]plat.Instance
	cachedMembership *membership // of the newest time that was asked about
	ranks            rankCache
	peersByHash      map[uint32]*peer // routers by shortID
	urgentPending    bool             // news to pass on at once
	round            uint64           // of heartbeats, in larger fleets
	lastRound        time.Time
	lastView         time.Time
	lastEvidenceSend time.Time // of evidence to its collectors
	endpoints        map[ident.EndpointID]*endpoint
	endpointsByZone  map[ident.ZoneID][]*endpoint
	zones            []ident.ZoneID // that have endpoints, sorted

	withdrawn        map[ident.Release]fleet.Withdrawal
	persisted        map[ident.Release]bool // withdrawals that the platform holds
	withdrawnVersion plat.Version
	rollouts         map[ident.ModelID]RolloutObject
	pendingWrites    map[plat.Key]bool // writes that are not answered yet

	evidence   *roll.Evidence
	estimates  *casc.Estimates
	relayEpoch uint64 // counts changes of whose counters this router passes on
	deaths     *poison.Table
	claims     *poison.Home
	stewards   map[ident.ZoneID]*steward

	lastRead     time.Time
	lastList     time.Time
	lastAnnounce time.Time
	lastTrim     time.Time
	readPending  bool
	rereadNeeded bool // the effect of an own write is not read yet
	stopping     bool
	viewDirty    bool // a new view is due
}

// reach tells whether the platform answers.
type platformState struct {
	reachable bool
	since     time.Time // of the last change of reachable
}

// New makes the control state of a router whose life begins at started.
func New(self fleet.Router, settings Settings, started time.Time) *Control {
	deaths := poison.New(settings.DeathLifetime)
	return &Control{
		self:          self,
		source:        roll.Source{Router: self.ID, Incarnation: uint64(started.UnixNano())},
		settings:      settings,
		started:       started,
		platform:      platformState{since: started},
		peers:         map[ident.RouterID]*peer{},
		instances:     map[ident.RouterID]plat.Instance{},
		endpoints:     map[ident.EndpointID]*endpoint{},
		withdrawn:     map[ident.Release]fleet.Withdrawal{},
		persisted:     map[ident.Release]bool{},
		rollouts:      map[ident.ModelID]RolloutObject{},
		pendingWrites: map[plat.Key]bool{},
		evidence:      roll.New(uint64(started.UnixNano())),
		estimates:     casc.New(),
		deaths:        deaths,
		claims:        poison.NewHome(deaths, settings.ClaimLifetime),
		stewards:      map[ident.ZoneID]*steward{},
		viewDirty:     true,
	}
}

// Step takes an event and gives what to do about it.
func (c *Control) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Tick:
		return c.tick(now)
	case PlatformRead:
		return c.applyPlatformRead(now, e)
	case PlatformReadFailed:
		c.readPending = false
		c.rereadNeeded = true
		c.setReachable(now, false)
	case ConfigChanged:
		c.lastRead = time.Time{}
		return c.pollPlatform(now)
	case ConfigFetched:
		return c.applyFetchedConfig(now, e)
	case InstancesListed:
		c.applyInstances(now, e)
	case HeartbeatReceived:
		return c.receiveHeartbeat(now, e.Heartbeat)
	case HeartbeatAcked:
		return c.receiveAck(now, e)
	case HeartbeatFailed:
		c.heartbeatFailed(e.Router)
	case LoadReported:
		return c.applyLoadReport(now, e)
	case LoadPollFailed:
		c.loadPollFailed(now, e.Endpoint)
	case AttemptEnded:
		return c.recordAttempt(now, e)
	case AnswerRated:
		c.recordRating(now, e)
	case SessionExposed:
		c.recordExposure(now, e)
	case Withdraw:
		return c.withdraw(now, e.Withdrawal)
	case OrderResult:
		return c.applyOrderResult(now, e.Endpoint, e.Event)
	case ObjectWritten:
		return c.objectWritten(e)
	case LeaseWritten, LeaseRead, LeaseReadFailed, RequestPermit, ReleasePermit:
		return c.handleStewardEvent(now, e)
	case RequestClaim:
		return []Action{AnswerClaim{CorrelationID: e.CorrelationID, Answer: c.claims.Claim(now, e.Claim)}}
	case EndClaim:
		return c.endClaim(now, e.Ended)
	case Stop:
		return c.stop(now)
	}
	return nil
}

// Interval gives the time between ticks. A larger fleet, in which each tick
// costs more, has longer ones.
func (c *Control) TickInterval() time.Duration {
	if c.allPairs() {
		return smallFleetTick
	}
	return largeFleetTick
}

// tick does what is due by time.
func (c *Control) tick(now time.Time) []Action {
	var actions []Action
	actions = append(actions, c.pollPlatform(now)...)
	c.expirePeers(now)
	actions = append(actions, c.decideRollouts(now)...)
	actions = append(actions, c.stepStewards(now)...)
	actions = append(actions, c.sendHeartbeats(now)...)
	c.viewDirty = c.viewDirty || now.Sub(c.lastView) >= 2*c.TickInterval()
	return actions
}

// ask reads what is due from the platform. One router of each availability
// zone reads for all; the others do so when they hear nothing new, have
// written themselves, or have a roll-out to follow.
func (c *Control) pollPlatform(now time.Time) []Action {
	var actions []Action
	stale := now.Sub(c.confirmedAt) > c.settings.StaleAfter
	since := now.Sub(c.lastRead)
	if !c.readPending && since >= c.settings.ReadInterval && (c.readsPlatform(now) || stale || c.rereadNeeded || c.rolloutReadDue(since)) {
		c.readPending = true
		c.rereadNeeded = false
		c.lastRead = now
		actions = append(actions, ReadPlatform{})
	}
	interval := c.settings.ListInterval * time.Duration(1+len(c.peers)/routersPerListInterval)
	if now.Sub(c.lastList) >= interval {
		c.lastList = now
		actions = append(actions, ListInstances{})
	}
	if now.Sub(c.lastAnnounce) >= announceInterval {
		c.lastAnnounce = now
		actions = append(actions, Announce{Router: c.self})
	}
	return actions
}

const (
	// routersPerList is the number of routers for which each router reads the
	// list of instances at its plain interval; more routers read it less often.
	routersPerListInterval = 16
	// longestFollow is the longest time between a router's reads of the roll-outs
	// under way.
	maxRolloutReadInterval = 5 * time.Second
	// tickSmall and tickLarge are the times between ticks.
	smallFleetTick = 50 * time.Millisecond
	largeFleetTick = 100 * time.Millisecond
	// announceInterval is the time between renewals in the list of instances.
	announceInterval = 5 * time.Second
)

// follows tells whether a roll-out's object is due to be read. Heartbeats do
// not carry it, so each router reads it, less often in a larger fleet.
func (c *Control) rolloutReadDue(since time.Duration) bool {
	if c.config == nil || len(c.config.Rollouts) == 0 {
		return false
	}
	interval := c.settings.ReadInterval * time.Duration(1+len(c.peers)/routersPerListInterval)
	return since >= min(interval, maxRolloutReadInterval)
}

// stop begins a graceful shutdown and tells the peers at once.
func (c *Control) stop(now time.Time) []Action {
	c.stopping = true
	c.self.Leaving = true
	c.viewDirty = true
	actions := []Action{Announce{Router: c.self}}
	actions = append(actions, c.stepAllZones(now, permit.Stop{})...)
	return append(actions, c.broadcastHeartbeat(now)...)
}

func (c *Control) setReachable(now time.Time, reachable bool) {
	if c.platform.reachable != reachable {
		c.platform = platformState{reachable: reachable, since: now}
	}
}
