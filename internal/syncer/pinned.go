package syncer

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/feed"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// sessionTTLMargin is added to the time for which a session counts as in
	// use: the caller measures that time from the end of the response, and pins
	// take a moment to reach all routers.
	sessionTTLMargin = 1500 * time.Millisecond
	// minPinExtension is the shortest extension of a pin that is recorded and
	// forwarded to other routers.
	minPinExtension = time.Second
)

// pinnedSessions holds the sessions whose hash assigns them to a version on
// trial, but that recently ran on the old version and stay there. Pins are
// shared with all routers, since a session's requests may reach any of them.
// Other sessions need no state, as every router computes the same hash.
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

// pin keeps a session on the old version until the given time.
func (p *pinnedSessions) pin(key uint64, until time.Time) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if old, ok := p.entries[key]; ok && until.Sub(old.until) < minPinExtension {
		return
	}
	p.seq++
	p.entries[key] = pinEntry{until: until, seq: p.seq}
}

// contains reports whether a session is pinned.
func (p *pinnedSessions) contains(now time.Time, key uint64) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	x, ok := p.entries[key]
	return ok && now.Before(x.until)
}

// since returns the pins recorded after cursor, and advances cursor. It also
// removes expired pins.
func (p *pinnedSessions) since(now time.Time, cursor *uint64) []feed.PinnedSession {
	p.lock.Lock()
	defer p.lock.Unlock()
	var out []feed.PinnedSession
	for key, x := range p.entries {
		switch {
		case !now.Before(x.until):
			delete(p.entries, key)
		case x.seq > *cursor:
			out = append(out, feed.PinnedSession{Hash: key, Remaining: x.until.Sub(now)})
		}
	}
	*cursor = p.seq
	return out
}

// receive records pins sent by another router.
func (p *pinnedSessions) receive(now time.Time, list []feed.PinnedSession) {
	for _, x := range list {
		p.pin(x.Hash, now.Add(x.Remaining))
	}
}

// rolloutHash returns a session's hash for a roll-out. The share of the roll-out
// decides which hashes are assigned to its target.
func rolloutHash(r world.Rollout, session ident.SessionKey) uint64 {
	return xxhash.Sum64String(session.String() + "/" + string(r.Service) + "/" + r.OrderID)
}

// withinShare reports whether a hash falls within a share.
func withinShare(key uint64, share ident.Share) bool {
	return float64(key>>11)/(1<<53) < float64(share)
}

// pinSession pins a session to the old version if its hash assigns it to the
// target of the roll-out.
func (c *Controller) pinSession(r world.Rollout, session ident.SessionKey, last time.Time) {
	if key := rolloutHash(r, session); withinShare(key, r.TrialShare(c.settings.TrialShare)) {
		c.pinned.pin(key, last.Add(c.settings.SessionTTL+sessionTTLMargin))
	}
}

// pinActiveSessions pins the sessions in use when a roll-out is ordered.
func (c *Controller) pinActiveSessions(now time.Time) {
	for _, r := range c.View().Rollouts {
		if r.Stage == world.StageOrdered {
			c.recent.forEach(now, r.Service, c.settings.SessionTTL+sessionTTLMargin, func(session ident.SessionKey, last time.Time) {
				c.pinSession(r, session, last)
			})
		}
	}
}
