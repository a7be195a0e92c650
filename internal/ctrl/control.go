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

	config    *fleet.Config
	head      plat.Head
	confirmed time.Time
	fetching  ident.Generation // asked for, not yet here
	behind    time.Time        // since when a newer one is known and not here
	platform  reach

	routers   map[ident.RouterID]*router
	listed    map[ident.RouterID]plat.Instance
	members   *roster // of the newest time that was asked about
	places    places
	short     map[uint32]*router // routers by shortID
	rumour    bool               // news to pass on at once
	round     uint64             // of heartbeats, in larger fleets
	lastRound time.Time
	lastView  time.Time
	lastGive  time.Time // of evidence to its collectors
	endpoints map[ident.EndpointID]*endpoint
	byZone    map[ident.ZoneID][]*endpoint
	zones     []ident.ZoneID // that have endpoints, sorted

	withdrawn  map[ident.Release]fleet.Withdrawal
	stored     map[ident.Release]bool // withdrawals that the platform holds
	withdrawnV plat.Version
	rollouts   map[ident.ModelID]Rollout
	writing    map[plat.Key]bool // writes that are not answered yet

	evidence  *roll.Evidence
	estimates *casc.Estimates
	relays    uint64 // counts changes of whose counters this router passes on
	deaths    *poison.CrashTable
	home      *poison.Owner
	stewards  map[ident.ZoneID]*steward

	lastRead     time.Time
	lastList     time.Time
	lastAnnounce time.Time
	lastTrim     time.Time
	reading      bool
	reread       bool // the effect of an own write is not read yet
	stopping     bool
	changed      bool // a new view is due
}

// reach tells whether the platform answers.
type reach struct {
	reachable bool
	since     time.Time // of the last change of reachable
}

// New makes the control state of a router whose life begins at started.
func New(self fleet.Router, settings Settings, started time.Time) *Control {
	deaths := poison.NewCrashTable(settings.Deaths)
	return &Control{
		self:      self,
		source:    roll.Source{Router: self.ID, Incarnation: uint64(started.UnixNano())},
		settings:  settings,
		started:   started,
		platform:  reach{since: started},
		routers:   map[ident.RouterID]*router{},
		listed:    map[ident.RouterID]plat.Instance{},
		endpoints: map[ident.EndpointID]*endpoint{},
		withdrawn: map[ident.Release]fleet.Withdrawal{},
		stored:    map[ident.Release]bool{},
		rollouts:  map[ident.ModelID]Rollout{},
		writing:   map[plat.Key]bool{},
		evidence:  roll.NewEvidence(uint64(started.UnixNano())),
		estimates: casc.NewEstimates(),
		deaths:    deaths,
		home:      poison.NewOwner(deaths, settings.Claims),
		stewards:  map[ident.ZoneID]*steward{},
		changed:   true,
	}
}

// Step takes an event and gives what to do about it.
func (c *Control) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Tick:
		return c.tick(now)
	case Read:
		return c.read(now, e)
	case ReadFailed:
		c.reading = false
		c.reread = true
		c.reach(now, false)
	case Changed:
		c.lastRead = time.Time{}
		return c.ask(now)
	case Fetched:
		return c.fetched(now, e)
	case Listed:
		c.list(now, e)
	case Beaten:
		return c.beaten(now, e.Beat)
	case Acked:
		return c.acked(now, e)
	case Missed:
		c.missed(e.Router)
	case Loaded:
		return c.loaded(now, e)
	case LoadFailed:
		c.loadFailed(now, e.Endpoint)
	case Attempted:
		return c.attempted(now, e)
	case Rated:
		c.rated(now, e)
	case Exposed:
		c.exposed(now, e)
	case Withdraw:
		return c.withdraw(now, e.Withdrawal)
	case Ordered:
		return c.ordered(now, e.Endpoint, e.Event)
	case Wrote:
		return c.wrote(e)
	case Leased, LeaseRead, LeaseUnread, AskPermit, GiveBack:
		return c.stewardship(now, e)
	case AskClaim:
		return []Action{AnswerClaim{Ticket: e.Ticket, Answer: c.home.Claim(now, e.Claim)}}
	case EndClaim:
		return c.endClaim(now, e.Ended)
	case Stop:
		return c.stop(now)
	}
	return nil
}

// Interval gives the time between ticks. A larger fleet, in which each tick
// costs more, has longer ones.
func (c *Control) Interval() time.Duration {
	if c.allPairs() {
		return tickSmall
	}
	return tickLarge
}

// tick does what is due by time.
func (c *Control) tick(now time.Time) []Action {
	var actions []Action
	actions = append(actions, c.ask(now)...)
	c.age(now)
	actions = append(actions, c.decide(now)...)
	actions = append(actions, c.steer(now)...)
	actions = append(actions, c.beat(now)...)
	c.changed = c.changed || now.Sub(c.lastView) >= 2*c.Interval()
	return actions
}

// ask reads what is due from the platform. One router of each availability
// zone reads for all; the others do so when they hear nothing new, have
// written themselves, or have a roll-out to follow.
func (c *Control) ask(now time.Time) []Action {
	var actions []Action
	stale := now.Sub(c.confirmed) > c.settings.Stale
	since := now.Sub(c.lastRead)
	if !c.reading && since >= c.settings.Read && (c.relay(now) || stale || c.reread || c.follows(since)) {
		c.reading = true
		c.reread = false
		c.lastRead = now
		actions = append(actions, ReadPlatform{})
	}
	interval := c.settings.List * time.Duration(1+len(c.routers)/routersPerList)
	if now.Sub(c.lastList) >= interval {
		c.lastList = now
		actions = append(actions, List{})
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
	routersPerList = 16
	// longestFollow is the longest time between a router's reads of the roll-outs
	// under way.
	longestFollow = 5 * time.Second
	// tickSmall and tickLarge are the times between ticks.
	tickSmall = 50 * time.Millisecond
	tickLarge = 100 * time.Millisecond
	// announceInterval is the time between renewals in the list of instances.
	announceInterval = 5 * time.Second
)

// follows tells whether a roll-out's object is due to be read. Heartbeats do
// not carry it, so each router reads it, less often in a larger fleet.
func (c *Control) follows(since time.Duration) bool {
	if c.config == nil || len(c.config.Rollouts) == 0 {
		return false
	}
	interval := c.settings.Read * time.Duration(1+len(c.routers)/routersPerList)
	return since >= min(interval, longestFollow)
}

// stop begins a graceful shutdown and tells the peers at once.
func (c *Control) stop(now time.Time) []Action {
	c.stopping = true
	c.self.Leaving = true
	c.changed = true
	actions := []Action{Announce{Router: c.self}}
	actions = append(actions, c.stepStewards(now, permit.Stop{})...)
	return append(actions, c.beatAll(now)...)
}

func (c *Control) reach(now time.Time, reachable bool) {
	if c.platform.reachable != reachable {
		c.platform = reach{reachable: reachable, since: now}
	}
}
