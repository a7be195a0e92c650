// Package ctrl is the control plane of a router as a state machine: it owns all
// state shared between requests, consumes events together with the present time
// and returns actions. It does no I/O.
//
// Each availability zone has a steward: the router that holds the zone's lease
// and grants the slots of the zone's cold endpoints.
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

// Control is the control state of one router. It is not safe for concurrent use.
type Control struct {
	self     fleet.Router
	source   roll.Source
	settings Settings
	started  time.Time

	config             *fleet.Config
	head               plat.Head
	confirmedAt        time.Time
	fetchingGeneration ident.Generation // newest generation being fetched, 0 for none
	behindSince        time.Time        // since when a newer generation is known but not in force
	platform           platformState

	peers            map[ident.RouterID]*peer
	instances        map[ident.RouterID]plat.Instance
	cachedMembership *membership // for the time of the last call of membership
	ranks            rankCache
	peersByHash      map[uint32]*peer // by routerHash
	urgentPending    bool             // an urgent change awaits propagation
	round            uint64           // heartbeat round, in larger fleets
	lastRound        time.Time
	lastView         time.Time
	lastEvidenceSend time.Time // to the evidence collectors
	endpoints        map[ident.EndpointID]*endpoint
	endpointsByZone  map[ident.ZoneID][]*endpoint
	zones            []ident.ZoneID // with at least one endpoint, sorted

	withdrawn        map[ident.Release]fleet.Withdrawal
	persisted        map[ident.Release]bool // withdrawals stored in the platform
	withdrawnVersion plat.Version
	rollouts         map[ident.ModelID]RolloutObject
	pendingWrites    map[plat.Key]bool // writes without an answer yet

	evidence      *roll.Evidence
	estimates     *casc.Estimates
	relayEpoch    uint64 // incremented when the set of routers whose counters are forwarded changes
	crashes       *poison.CrashTable
	parts         *poison.PartTable
	withdrawnRuns *poison.WithdrawnRuns // of this router
	claims        *poison.Owner
	stewards      map[ident.ZoneID]*steward

	lastRead     time.Time
	lastList     time.Time
	lastAnnounce time.Time
	lastTrim     time.Time
	readPending  bool
	rereadNeeded bool // this router wrote an object or its last read failed
	stopping     bool
	viewDirty    bool // View must build a new view
}

// platformState records whether the platform is reachable.
type platformState struct {
	reachable bool
	since     time.Time // last change of reachable
}

// New returns the control state of a router process that began at started.
func New(self fleet.Router, settings Settings, started time.Time) *Control {
	crashes := poison.NewCrashTable(settings.CrashLifetime)
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
		evidence:      roll.NewEvidence(uint64(started.UnixNano())),
		estimates:     casc.NewEstimates(),
		crashes:       crashes,
		parts:         poison.NewPartTable(settings.CrashLifetime),
		withdrawnRuns: poison.NewWithdrawnRuns(),
		claims:        poison.NewOwner(crashes, settings.ClaimLifetime),
		stewards:      map[ident.ZoneID]*steward{},
		viewDirty:     true,
	}
}

// Step applies an event and returns the actions that follow from it.
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
	case RunWithdrawn:
		return c.recordWithdrawnRun(now, e.Run)
	case AnswerRated:
		c.recordRating(now, e)
	case SessionExposed:
		c.recordExposure(now, e)
	case Withdraw:
		return c.withdraw(now, e.Withdrawal)
	case CommandResult:
		return c.applyCommandResult(now, e.Endpoint, e.Event)
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

// TickInterval returns the time between two Tick events. It is longer in a
// larger fleet, where each tick costs more.
func (c *Control) TickInterval() time.Duration {
	if c.allPairs() {
		return smallFleetTick
	}
	return largeFleetTick
}

// tick runs all periodic work that is due.
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

// pollPlatform returns the platform reads and writes that are due. One router of
// each availability zone reads the configuration objects for all. The others
// read them when their confirmation is stale, after a write of their own or a
// failed read, or while a roll-out is in progress.
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
	// routersPerListInterval is the number of peers that lengthens the interval
	// between reads of the list of instances by one ListInterval.
	routersPerListInterval = 16
	// maxRolloutReadInterval bounds the time between two reads of the roll-outs
	// in progress.
	maxRolloutReadInterval = 5 * time.Second
	// smallFleetTick and largeFleetTick are the times between ticks.
	smallFleetTick = 50 * time.Millisecond
	largeFleetTick = 100 * time.Millisecond
	// announceInterval is the time between renewals of the entry in the list of
	// instances.
	announceInterval = 5 * time.Second
)

// rolloutReadDue reports whether the roll-out objects must be read again.
// Heartbeats do not carry them, so each router reads them itself, less often in
// a larger fleet.
func (c *Control) rolloutReadDue(since time.Duration) bool {
	if c.config == nil || len(c.config.Rollouts) == 0 {
		return false
	}
	interval := c.settings.ReadInterval * time.Duration(1+len(c.peers)/routersPerListInterval)
	return since >= min(interval, maxRolloutReadInterval)
}

// stop begins a graceful shutdown and notifies all peers immediately.
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
