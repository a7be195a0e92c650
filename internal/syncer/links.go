package syncer

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/feed"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// maxTrials bounds the links that a router opens at once to find a parent.
	maxTrials = 4
	// raceWait is how long a link may take until it is heard before others are tried
	// beside it. Many followers come to a new parent at once when theirs is lost.
	raceWait = 500 * time.Millisecond
	// staleTrialTimeout is how long a router that is tried may be heard without current
	// data. One that can read the store does so once it is followed, and tells it with its
	// next heartbeat.
	staleTrialTimeout = time.Second
)

// parentLink is the state of the stream from a router that is followed, or may be.
type parentLink struct {
	probe     bool        // to a router that was found down
	adopted   atomic.Bool // whether the router is followed
	lock      sync.Mutex
	peer      feed.Peer
	cancel    context.CancelFunc
	opened    time.Time
	lastFrame time.Time
	confirmed map[plat.Key]time.Time // when the store confirmed the parent's data
	origin    *feed.Origin           // of the parent's data, nil if it tells none
	failed    bool
}

// parentLinks holds the link to the router that is followed, and those on trial beside
// it. A router is followed once it has been heard, so that a follower does not leave a
// feed for a router that is gone.
type parentLinks struct {
	current    *parentLink // nil for none
	trials     map[ident.RouterID]*parentLink
	staleSince time.Time   // since when no feed is fresh, the zero time if one is
	search     feed.Search // for a fresh feed
}

// follow makes the link on trial to a router the current one.
func (s *parentLinks) follow(id ident.RouterID) {
	if s.current != nil {
		s.current.cancel()
	}
	s.current = s.trials[id]
	s.current.adopted.Store(true)
	delete(s.trials, id)
}

func (s *parentLinks) closeTrial(id ident.RouterID) {
	s.trials[id].cancel()
	delete(s.trials, id)
}

// parent returns the router that is followed, "" for none.
func (s *parentLinks) parent() ident.RouterID {
	if s.current == nil {
		return ""
	}
	return s.current.peer.Router
}

// judgeLinks drops links that are lost, and records which routers are down or up. The
// caller must hold c.membershipLock.
func (c *Controller) judgeLinks(now time.Time, s *parentLinks) {
	fresh := false
	if l := s.current; l != nil {
		fresh = c.isFresh(now, l)
		switch {
		case fresh:
			c.membership.MarkUp(l.peer.Router)
		case c.shouldDrop(now, l):
			c.membership.MarkDown(now, l.peer.Router)
			c.log.Warn("feed lost", zap.String("router", string(l.peer.Router)))
			c.repeats.loseParent(now)
			l.cancel()
			s.current = nil
		}
	}
	for id, l := range s.trials {
		// A feed that stays stale while this router has a fresh one is of no use.
		useless := fresh && now.Sub(l.opened) > linkFreshTimeout
		switch {
		case c.isBetter(now, l, s), c.isFresh(now, l) && !c.membership.WouldRead(id),
			l.heard() && !fresh && !c.status.answeredWithin(now, linkFreshTimeout) && !l.broken():
			c.membership.MarkUp(id)
		case useless || c.shouldDrop(now, l):
			if !l.heard() {
				s.search.RecordSilent()
			}
			c.membership.MarkDown(now, id)
			c.log.Info("router passed over", zap.String("router", string(id)), zap.Bool("heard", l.heard()), zap.Int("hops", l.hops()))
			s.closeTrial(id)
		}
	}
}

// chooseLink follows the planned parent once that has been heard, and until then any
// other router whose feed is fresh. It opens the links on trial that this needs: while no
// feed is fresh some more, and beside a fresh feed one to a router that was down. The caller
// must hold c.membershipLock.
func (c *Controller) chooseLink(ctx context.Context, now time.Time, s *parentLinks, plan feed.Plan) {
	target := plan.Parent.Router
	fresh := target == "" || c.adoptLink(now, s, target)
	if target == "" && s.current != nil {
		s.current.cancel()
		s.current = nil
	}
	s.recordFreshness(now, fresh)
	c.closeTrials(now, s, target, fresh)
	switch {
	case target == "":
	case s.parent() != target && s.trials[target] == nil:
		c.openTrial(ctx, now, s, plan.Parent, false)
	case !fresh && c.tryAnswered(ctx, now, s):
	case c.maySearch(now, s, target):
		others := slices.DeleteFunc(c.membership.Others(), func(p feed.Peer) bool { return s.trials[p.Router] != nil || p.Router == s.parent() })
		if p, ok := s.search.Next(now, others); ok && c.openTrial(ctx, now, s, p, false) {
			s.search.RecordTry(now)
		}
	}
	for _, l := range s.trials {
		if l.probe {
			return
		}
	}
	if target != "" && fresh || plan.Elected {
		c.openTrial(ctx, now, s, c.membership.Probe(now), true)
	}
}

// adoptLink follows the planned parent if its feed is on trial and may replace the current
// one, and else the highest ranked router whose feed is fresh, if the current one is not. It
// reports whether a fresh feed is followed.
func (c *Controller) adoptLink(now time.Time, s *parentLinks, target ident.RouterID) bool {
	fresh := s.current != nil && c.isFresh(now, s.current)
	if l := s.trials[target]; l != nil && (c.isBetter(now, l, s) || !fresh && l.heard()) {
		s.follow(target)
		fresh = c.isFresh(now, s.current)
	}
	for _, p := range c.membership.Others() {
		if l := s.trials[p.Router]; !fresh && l != nil && c.isFresh(now, l) {
			c.leaveStale(now, s)
			s.follow(p.Router)
			fresh = true
		}
	}
	return fresh
}

// closeTrials closes the links on trial that are of no use any more, but for that to the
// planned parent.
func (c *Controller) closeTrials(now time.Time, s *parentLinks, target ident.RouterID, fresh bool) {
	for id, l := range s.trials {
		switch {
		case id == target:
		case c.isBetter(now, l, s) || c.isFresh(now, l) && !c.membership.WouldRead(id) || !l.probe && fresh:
			s.closeTrial(id) // not needed
		case !l.probe && l.heard() && now.Sub(l.opened) >= staleTrialTimeout && !c.isFresh(now, l):
			s.search.RecordStale(id)
			s.closeTrial(id)
		}
	}
}

// openTrial opens a link on trial to a router, if there is room for it, and reports whether
// it did.
func (c *Controller) openTrial(ctx context.Context, now time.Time, s *parentLinks, p feed.Peer, probe bool) bool {
	if p.Router == "" || s.trials[p.Router] != nil || len(s.trials) >= maxTrials {
		return false
	}
	s.trials[p.Router] = c.openLink(ctx, now, p, probe)
	return true
}

// answeredFollower is the last router that told this one, whose data it follows, that the
// store answers it.
type answeredFollower struct {
	router ident.RouterID
	at     time.Time
}

// hearAnswered records that the store answers a follower. Many followers may tell so at once;
// the next look at the links takes the last of them.
func (c *Controller) hearAnswered(now time.Time, id ident.RouterID) {
	c.membershipLock.Lock()
	defer c.membershipLock.Unlock()
	c.answered = answeredFollower{router: id, at: now}
}

// tryAnswered opens a link on trial to a follower that the store answers, and reports whether it
// did. It answers the load of a store that comes back from an outage for some routers only: by
// then a search for a current feed pauses for seconds between its tries. The caller must hold
// c.membershipLock.
func (c *Controller) tryAnswered(ctx context.Context, now time.Time, s *parentLinks) bool {
	if now.Sub(c.answered.at) >= staleAfter {
		return false
	}
	others := c.membership.Others()
	i := slices.IndexFunc(others, func(p feed.Peer) bool { return p.Router == c.answered.router })
	return i >= 0 && s.parent() != c.answered.router && c.openTrial(ctx, now, s, others[i], false)
}

// leaveStale ranks the router that is followed, if any, behind others until it has current
// data: another one has, so that it is not the store that is away. The caller must hold
// c.membershipLock.
func (c *Controller) leaveStale(now time.Time, s *parentLinks) {
	if s.current == nil {
		return
	}
	c.membership.MarkDown(now, s.parent())
	c.log.Warn("feed stale", zap.String("router", string(s.parent())), zap.Duration("for", now.Sub(s.staleSince)))
}

// recordFreshness records whether the feed is fresh, or none is needed.
func (s *parentLinks) recordFreshness(now time.Time, fresh bool) {
	switch {
	case fresh:
		s.staleSince = time.Time{}
		s.search.Reset()
	case s.staleSince.IsZero():
		s.staleSince = now
	}
}

// maySearch reports whether further routers may be tried: beside a feed that is not fresh, or
// beside the planned parent's, which has not been heard.
func (c *Controller) maySearch(now time.Time, s *parentLinks, target ident.RouterID) bool {
	if s.current == nil {
		return c.mayRace(now, s.trials[target])
	}
	return !s.staleSince.IsZero() && now.Sub(s.staleSince) >= raceWait && c.View().Ready
}

// mayRace reports whether further routers may be tried beside a link that has not been
// heard. While a router starts, others may start too, and the first one is only busy.
func (c *Controller) mayRace(now time.Time, l *parentLink) bool {
	wait := raceWait
	if !c.View().Ready {
		wait = c.startupWait()
	}
	return l != nil && now.Sub(l.opened) >= wait
}

// shouldDrop reports whether a stale link should be closed. While the store
// does not answer this router either, a link that still delivers frames is
// kept, as the parent is likely to have new data first.
func (c *Controller) shouldDrop(now time.Time, l *parentLink) bool {
	if l.broken() {
		return true
	}
	l.lock.Lock()
	sinceLastFrame, limit := now.Sub(l.opened), linkFreshTimeout
	if l.lastFrame.After(l.opened) {
		sinceLastFrame, limit = now.Sub(l.lastFrame), linkSilentTimeout
	}
	l.lock.Unlock()
	return sinceLastFrame > limit || now.Sub(l.opened) > linkFreshTimeout && c.status.answeredWithin(now, linkFreshTimeout)
}

func (c *Controller) startupWait() time.Duration {
	if c.settings.Bootstrap {
		return bootstrapLinkWait
	}
	return startupLinkWait
}

// heard reports whether a frame has arrived on the link.
func (l *parentLink) heard() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return !l.lastFrame.IsZero()
}

func (l *parentLink) broken() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.failed
}

// isBetter reports whether a feed may replace the one that is followed: it is fresh, and its
// data comes over no more routers. Else a router that is cut off from the store would be
// followed as long as it follows another.
func (c *Controller) isBetter(now time.Time, l *parentLink, s *parentLinks) bool {
	if !c.isFresh(now, l) {
		return false
	}
	return s.current == nil || !c.isFresh(now, s.current) || l.hops() <= s.current.hops()
}

// path returns the routers over which the link's data comes, none if the parent tells no
// origin.
func (l *parentLink) path() []ident.RouterID {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.origin == nil {
		return nil
	}
	return l.origin.Path
}

func (l *parentLink) hops() int { return len(l.path()) }

// hasOrigin reports whether newer data will come over the link: its parent has an origin, and
// that is not this router. The caller must hold l.lock.
func (c *Controller) hasOrigin(l *parentLink) bool {
	return l.origin == nil || len(l.origin.Path) > 0 && !slices.Contains(l.origin.Path, c.settings.Router)
}

// ownOrigin returns where this router's data comes from.
func (c *Controller) ownOrigin(now time.Time, current *parentLink) *feed.Origin {
	self := c.settings.Router
	if c.readGate.isOpen() && c.status.answers(now, c.caches[c.status.probe].maxAge()) {
		return &feed.Origin{Path: []ident.RouterID{self}}
	}
	if current == nil || !c.isFresh(now, current) {
		return &feed.Origin{}
	}
	path := current.path()
	if len(path) == 0 {
		path = []ident.RouterID{current.peer.Router} // of an earlier build
	}
	return &feed.Origin{Path: append(slices.Clone(path), self)}
}

// isFresh reports whether the link delivers current data for all kinds, and goes on to.
func (c *Controller) isFresh(now time.Time, l *parentLink) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if !c.hasOrigin(l) {
		return false
	}
	if l.failed || l.lastFrame.IsZero() || now.Sub(l.lastFrame) > heartbeatTimeout {
		return false
	}
	for kind, oc := range c.caches {
		at, known := l.confirmed[kind]
		if !known || now.Sub(at) > oc.maxAge() {
			return false
		}
	}
	return true
}

// hasFreshData reports whether the store has confirmed this router's data of all kinds
// lately, whatever way the confirmation came. While it has, a router that loses its
// parent has time to follow another before it reads the store itself.
func (c *Controller) hasFreshData(now time.Time) bool { return c.freshTime(now) > 0 }

// freshTime returns for how long this router's data will be fresh unless it is confirmed
// again, 0 if it is not.
func (c *Controller) freshTime(now time.Time) time.Duration {
	c.cacheLock.Lock()
	defer c.cacheLock.Unlock()
	left := time.Duration(math.MaxInt64)
	for _, oc := range c.caches {
		if !oc.listed || oc.confirmed.at.IsZero() {
			return 0
		}
		left = min(left, oc.maxAge()-now.Sub(oc.confirmed.at))
	}
	return max(0, left)
}

// openLink opens a link to a router and applies the frames it sends.
func (c *Controller) openLink(ctx context.Context, now time.Time, peer feed.Peer, probe bool) *parentLink {
	ctx, cancel := context.WithCancel(ctx)
	l := &parentLink{peer: peer, probe: probe, cancel: cancel, opened: now}
	go func() {
		defer cancel()
		if err := c.receiveFrames(ctx, l); err != nil && ctx.Err() == nil {
			c.log.Info("feed broke", zap.String("router", string(peer.Router)), zap.Error(err))
		}
		l.lock.Lock()
		l.failed = true
		l.lock.Unlock()
		c.wakeManager()
	}()
	return l
}

// askOthers asks some routers for all objects that they know, if this one is to read the store
// while others went on: a configuration that was executed late may have replaced a newer one
// there. A router that follows another hears of it in the feed.
func (c *Controller) askOthers(ctx context.Context) {
	c.membershipLock.Lock()
	elected := c.membership.Plan(feed.PlanInput{}).Elected
	others := c.membership.Others()
	c.membershipLock.Unlock()
	if !elected || c.settings.Bootstrap {
		return
	}
	for _, p := range others[:min(startupAsks, len(others))] {
		go c.askPeer(ctx, p)
	}
}

// askPeer applies the objects that another router knows.
func (c *Controller) askPeer(ctx context.Context, p feed.Peer) {
	ctx, cancel := context.WithTimeout(ctx, linkFreshTimeout)
	defer cancel()
	stream, err := feed.Follow(ctx, c.settings.FeedDialer, p, linkOpenTimeout)
	if err != nil {
		c.log.Info("router not asked", zap.String("router", string(p.Router)), zap.Error(err))
		return
	}
	defer stream.Close()
	f, err := stream.Receive()
	if err != nil {
		c.log.Info("router not asked", zap.String("router", string(p.Router)), zap.Error(err))
		return
	}
	for _, u := range f.Updates {
		c.applyUpdate(c.clock(), u)
	}
}
