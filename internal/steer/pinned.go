package steer

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/feed"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// sessionSlack is added to the time for which a session counts as in use:
	// its caller's clock begins at the end of the answer, and news of it take a
	// moment to reach all routers.
	sessionTTLMargin = 1500 * time.Millisecond
	// keptStep is the least prolongation that is passed on.
	minPinExtension = time.Second
)

// kept are the sessions that a version on trial would get by the draw, but that
// ran on the old version a moment ago and stay there. A session's requests come
// to any router, so all of them are told. The other sessions need no memory:
// the draw is the same everywhere.
type pinnedSessions struct {
	lock    sync.Mutex
	seq     uint64
	entries map[uint64]pinEntry
}

type pinEntry struct {
	until time.Time
	seq   uint64
}

func newPinnedSessions() *pinnedSessions { return &pinnedSessions{entries: map[uint64]pinEntry{}} }

// keep holds a session on the old version until a time.
func (p *pinnedSessions) pin(key uint64, until time.Time) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if old, ok := p.entries[key]; ok && until.Sub(old.until) < minPinExtension {
		return
	}
	p.seq++
	p.entries[key] = pinEntry{until: until, seq: p.seq}
}

// has tells whether a session is held.
func (p *pinnedSessions) contains(now time.Time, key uint64) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	x, ok := p.entries[key]
	return ok && now.Before(x.until)
}

// since gives the sessions that changed after a mark, and moves the mark on.
func (p *pinnedSessions) since(now time.Time, mark *uint64) []feed.PinnedSession {
	p.lock.Lock()
	defer p.lock.Unlock()
	var out []feed.PinnedSession
	for key, x := range p.entries {
		switch {
		case !now.Before(x.until):
			delete(p.entries, key)
		case x.seq > *mark:
			out = append(out, feed.PinnedSession{Hash: key, Remaining: x.until.Sub(now)})
		}
	}
	*mark = p.seq
	return out
}

// take takes in what another router tells.
func (p *pinnedSessions) receive(now time.Time, list []feed.PinnedSession) {
	for _, x := range list {
		p.pin(x.Hash, now.Add(x.Remaining))
	}
}

// draw places a session on the scale on which shares of a roll-out are drawn.
func rolloutHash(r world.Rollout, session ident.SessionKey) uint64 {
	return xxhash.Sum64String(session.String() + "/" + string(r.Service) + "/" + r.Order)
}

// below tells whether a draw falls within a share.
func withinShare(key uint64, share ident.Share) bool {
	return float64(key>>11)/(1<<53) < float64(share)
}

// hold keeps a session on the old version if the draw would move it.
func (c *Controller) pinSession(r world.Rollout, session ident.SessionKey, last time.Time) {
	if key := rolloutHash(r, session); withinShare(key, r.TrialShare(c.settings.TrialShare)) {
		c.pinned.pin(key, last.Add(c.settings.SessionTTL+sessionTTLMargin))
	}
}

// holdAll keeps the sessions that were in use when a roll-out was ordered.
func (c *Controller) pinActiveSessions(now time.Time) {
	for _, r := range c.View().Rollouts {
		if r.Stage == world.StageOrdered {
			c.recent.forEach(now, r.Service, c.settings.SessionTTL+sessionTTLMargin, func(session ident.SessionKey, last time.Time) {
				c.pinSession(r, session, last)
			})
		}
	}
}
