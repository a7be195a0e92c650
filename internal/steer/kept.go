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
	sessionSlack = 1500 * time.Millisecond
	// keptStep is the least prolongation that is passed on.
	keptStep = time.Second
)

// kept are the sessions that a version on trial would get by the draw, but that
// ran on the old version a moment ago and stay there. A session's requests come
// to any router, so all of them are told. The other sessions need no memory:
// the draw is the same everywhere.
type kept struct {
	lock  sync.Mutex
	count uint64
	until map[uint64]keptSession
}

type keptSession struct {
	until time.Time
	mark  uint64
}

func newKept() *kept { return &kept{until: map[uint64]keptSession{}} }

// keep holds a session on the old version until a time.
func (k *kept) keep(key uint64, until time.Time) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if old, ok := k.until[key]; ok && until.Sub(old.until) < keptStep {
		return
	}
	k.count++
	k.until[key] = keptSession{until: until, mark: k.count}
}

// has tells whether a session is held.
func (k *kept) has(now time.Time, key uint64) bool {
	k.lock.Lock()
	defer k.lock.Unlock()
	x, ok := k.until[key]
	return ok && now.Before(x.until)
}

// since gives the sessions that changed after a mark, and moves the mark on.
func (k *kept) since(now time.Time, mark *uint64) []feed.Kept {
	k.lock.Lock()
	defer k.lock.Unlock()
	var out []feed.Kept
	for key, x := range k.until {
		switch {
		case !now.Before(x.until):
			delete(k.until, key)
		case x.mark > *mark:
			out = append(out, feed.Kept{Session: key, Left: x.until.Sub(now)})
		}
	}
	*mark = k.count
	return out
}

// take takes in what another router tells.
func (k *kept) take(now time.Time, list []feed.Kept) {
	for _, x := range list {
		k.keep(x.Session, now.Add(x.Left))
	}
}

// draw places a session on the scale on which shares of a roll-out are drawn.
func draw(r world.Rollout, session ident.SessionKey) uint64 {
	return xxhash.Sum64String(session.String() + "/" + string(r.Service) + "/" + r.OrderID)
}

// below tells whether a draw falls within a share.
func below(key uint64, share ident.Share) bool {
	return float64(key>>11)/(1<<53) < float64(share)
}

// hold keeps a session on the old version if the draw would move it.
func (t *Steer) hold(r world.Rollout, session ident.SessionKey, last time.Time) {
	if key := draw(r, session); below(key, r.TrialShare(t.settings.Exposure)) {
		t.kept.keep(key, last.Add(t.settings.Session+sessionSlack))
	}
}

// holdAll keeps the sessions that were in use when a roll-out was ordered.
func (t *Steer) holdAll(now time.Time) {
	for _, r := range t.View().Rollouts {
		if r.Stage == world.StageOrdered {
			t.pins.each(now, r.Service, t.settings.Session+sessionSlack, func(session ident.SessionKey, last time.Time) {
				t.hold(r, session, last)
			})
		}
	}
}
