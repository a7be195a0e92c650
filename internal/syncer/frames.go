package syncer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/feed"
	"github.com/marigoldscale/marigoldscale/internal/plat"
)

func (c *Controller) receiveFrames(ctx context.Context, l *parentLink) error {
	stream, err := feed.Follow(ctx, c.settings.FeedDialer, l.peer, linkOpenTimeout)
	if err != nil {
		return err
	}
	defer stream.Close()
	go c.sendEvidence(ctx, l, stream)
	go c.reportLoad(ctx, l, stream)
	for {
		f, err := stream.Receive()
		if err != nil {
			return err
		}
		now := c.clock()
		if !l.adopted.Load() && f.Load != nil {
			// The load counts in the feed that is followed. Prefixes are told once, and
			// would be missed if this one is followed next.
			c.prefixes.receive(now, originParent, f.Load.Prefixes)
			f.Load = nil
		}
		confirmed := c.applyParentFrame(now, f)
		c.confirmStart(now)
		l.lock.Lock()
		first := l.lastFrame.IsZero()
		if first {
			c.log.Info("feed opened", zap.String("router", string(l.peer.Router)))
		}
		l.lastFrame = now
		if f.Ages != nil {
			l.confirmed, l.origin = confirmed, f.Origin
		}
		l.lock.Unlock()
		if first {
			c.wakeManager()
		}
	}
}

// applyParentFrame applies a frame from the parent router, and returns when the store
// confirmed the parent's data of each kind.
func (c *Controller) applyParentFrame(now time.Time, f feed.Frame) map[plat.Key]time.Time {
	if f.Ages != nil {
		c.hearStoreReport(now, f.Store)
	}
	for _, u := range f.Updates {
		c.applyUpdate(now, u)
	}
	confirmed := make(map[plat.Key]time.Time, len(f.Ages))
	c.cacheLock.Lock()
	for kind, age := range f.Ages {
		if oc := c.caches[kind]; oc != nil {
			confirmed[kind] = oc.confirmed.hear(now, f.Confirmed[kind], age)
		}
	}
	c.updateStalenessLocked(now)
	c.cacheLock.Unlock()
	c.mergeEvidence(f.Evidence)
	c.mergeCrashes(now, f.Crashes)
	c.limits.Merge(now, f.Limits)
	c.pinned.receive(now, f.Pinned)
	c.prefixes.receive(now, originParent, f.Prefixes)
	if f.Load != nil {
		if !c.loads.inCycle(now) {
			c.loads.setTotal(now, decodeLoad(f.Load))
			c.speeds.setTotal(decodeSpeeds(f.Load))
			c.repeats.setDebts(now, decodeDebts(f.Load.Debts))
		}
		c.prefixes.receive(now, originParent, f.Load.Prefixes)
	}
	return confirmed
}

// sendEvidence sends evidence, crashes, limits and pinned sessions to the parent
// router, once that is followed and until ctx ends.
func (c *Controller) sendEvidence(ctx context.Context, l *parentLink, stream *feed.Stream) {
	var cursor evidenceCursor
	var crashes crashCursor
	var limitCursor, pinCursor uint64
	for ctx.Err() == nil {
		sleep(ctx, evidenceInterval)
		if !l.adopted.Load() {
			continue
		}
		now := c.clock()
		f := feed.Frame{
			From: c.settings.Router, Evidence: c.evidenceSince(&cursor),
			Crashes: c.crashesSince(now, &crashes), Limits: c.limitsSince(&limitCursor), Pinned: c.pinned.since(now, &pinCursor),
			Answered: !c.isFresh(now, l) && c.status.answeredWithin(now, staleAfter),
		}
		if (len(f.Evidence)+len(f.Limits)+len(f.Pinned) > 0 || f.Crashes != nil || f.Answered) && stream.Send(f) != nil {
			return // receiveFrames reports the broken link
		}
	}
}

// applyUpdate merges an update into the cache and forwards it to followers.
func (c *Controller) applyUpdate(now time.Time, u feed.Update) {
	c.cacheLock.Lock()
	defer c.cacheLock.Unlock()
	c.applyUpdateLocked(now, u)
}

// applyUpdateLocked is applyUpdate for callers that hold c.cacheLock.
func (c *Controller) applyUpdateLocked(now time.Time, u feed.Update) {
	oc := c.caches[u.Kind]
	if oc == nil {
		return
	}
	if before := oc.revision; before != 0 && u.Full && u.Revision.Era() > before.Era() {
		c.log.Warn("store rewound", zap.String("kind", string(u.Kind)), zap.Stringer("revision", u.Revision), zap.Stringer("before", before))
	}
	forward, ok := oc.apply(now, u)
	if ok {
		if err := c.hub.Publish(c.stampFrame(now, feed.Frame{Updates: []feed.Update{forward}})); err != nil {
			c.log.Error("followers not told", zap.Error(err))
		}
	}
}

// applyStoreUpdate applies an update that this router read from the store. What the update
// confirms and what it changes become known together.
func (c *Controller) applyStoreUpdate(now time.Time, u feed.Update) {
	c.cacheLock.Lock()
	c.caches[u.Kind].confirmed.confirm(now, c.settings.Router)
	c.updateStalenessLocked(now)
	c.applyUpdateLocked(now, u)
	c.cacheLock.Unlock()
	c.confirmStart(now)
}

// stampFrame adds to a frame when the store last confirmed each kind, and by whom. The caller must
// hold c.cacheLock.
func (c *Controller) stampFrame(now time.Time, f feed.Frame) feed.Frame {
	f.Ages = make(map[plat.Key]time.Duration, len(c.caches))
	f.Confirmed = make(map[plat.Key]feed.Confirmation, len(c.caches))
	c.lock.Lock()
	f.Store = c.outages.Report(now)
	c.lock.Unlock()
	f.Origin = c.origin.Load()
	for kind, oc := range c.caches {
		if oc.confirmed.at.IsZero() {
			continue
		}
		f.Ages[kind] = now.Sub(oc.confirmed.at)
		if oc.confirmed.latest.Router != "" {
			f.Confirmed[kind] = oc.confirmed.latest
		}
	}
	return f
}

// Snapshot returns all cached objects, evidence, crashes, limits and pinned sessions,
// for a new follower.
func (c *Controller) Snapshot() feed.Frame {
	c.cacheLock.Lock()
	defer c.cacheLock.Unlock()
	f := c.stampFrame(c.clock(), feed.Frame{From: c.settings.Router})
	for _, oc := range c.caches {
		if oc.listed {
			f.Updates = append(f.Updates, oc.snapshot())
		}
	}
	var cursor evidenceCursor
	f.Evidence = c.evidenceSince(&cursor)
	var crashes crashCursor
	f.Crashes = c.crashesSince(c.clock(), &crashes)
	var limitCursor, pinCursor uint64
	f.Limits = c.limitsSince(&limitCursor)
	f.Pinned = c.pinned.since(c.clock(), &pinCursor)
	return f
}

// Backlog returns the prompt prefixes that are forwarded at present, for a new follower.
func (c *Controller) Backlog() (feed.Frame, bool) {
	var cursor uint64
	prefixes := c.prefixes.since(c.clock(), false, &cursor)
	return feed.Frame{Prefixes: prefixes}, len(prefixes) > 0
}

// Heartbeat returns the ages of all kinds and the evidence, crashes, limits and
// pinned sessions that changed since the last heartbeat.
func (c *Controller) Heartbeat() feed.Frame {
	c.cacheLock.Lock()
	defer c.cacheLock.Unlock()
	now := c.clock()
	return c.stampFrame(now, feed.Frame{Evidence: c.evidenceSince(&c.evidenceSent), Crashes: c.crashesSince(now, &c.crashesSent), Limits: c.limitsSince(&c.limitsSent), Pinned: c.pinned.since(now, &c.pinnedSent)})
}

// HandleFrame applies a frame from a follower.
func (c *Controller) HandleFrame(f feed.Frame) {
	c.mergeEvidence(f.Evidence)
	now := c.clock()
	c.mergeCrashes(now, f.Crashes)
	c.limits.Merge(now, f.Limits)
	c.pinned.receive(now, f.Pinned)
	if f.Answered {
		c.hearAnswered(now, f.From)
	}
	if f.Load != nil {
		c.loads.setFollowerLoad(now, f.From, f.Load)
		c.speeds.setFollowerSpeeds(now, f.From, decodeSpeeds(f.Load))
		c.repeats.receive(now, f.Load)
		c.prefixes.receive(now, originSubtree, f.Load.Prefixes)
	}
}
