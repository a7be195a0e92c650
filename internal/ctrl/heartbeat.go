package ctrl

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/casc"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// silentPeerInterval is the time between heartbeats to a peer that is not live.
const silentPeerInterval = 2 * time.Second

// sendHeartbeats returns the heartbeats that are due.
func (c *Control) sendHeartbeats(now time.Time) []Action {
	if !c.allPairs() {
		return c.gossipHeartbeats(now)
	}
	var actions []Action
	for _, r := range c.membership(now).peers {
		interval := c.settings.HeartbeatInterval
		if !c.isLive(now, r) {
			interval = silentPeerInterval
		}
		if !r.sendPending && now.Sub(r.lastSent) >= interval {
			actions = append(actions, c.sendHeartbeat(now, r))
		}
	}
	return actions
}

// broadcastHeartbeat returns a heartbeat for every peer.
func (c *Control) broadcastHeartbeat(now time.Time) []Action {
	var actions []Action
	for _, r := range c.membership(now).peers {
		actions = append(actions, c.sendHeartbeat(now, r))
	}
	return actions
}

// scheduleUrgent makes heartbeats due on the next tick: to every peer in a small
// fleet, to a few peers that forward the change in a larger one.
func (c *Control) scheduleUrgent() []Action {
	c.urgentPending = true
	for _, r := range c.peers {
		r.lastSent = time.Time{}
		r.sendPending = false
	}
	return nil
}

func (c *Control) sendHeartbeat(now time.Time, r *peer) Action {
	r.lastSent = now
	r.sendPending = true
	heartbeat, cursors := c.newHeartbeat(now, r)
	withdrawals := make(map[ident.Release]bool, len(heartbeat.Withdrawals))
	for _, w := range heartbeat.Withdrawals {
		withdrawals[w.Release] = true
	}
	return SendHeartbeat{To: r.info, Heartbeat: heartbeat, Cursors: cursors, Withdrawals: withdrawals}
}

// newHeartbeat builds the heartbeat for a peer, with the changes since the
// peer's last acknowledgement and the cursors after them. Of the counters, it
// carries this router's own and those of routers that are not live, which no
// longer send theirs.
func (c *Control) newHeartbeat(now time.Time, r *peer) (Heartbeat, Cursors) {
	b := Heartbeat{
		Router:            c.self,
		Generation:        c.generation(),
		PlatformReachable: c.platform.reachable,
		Serving:           c.serving(now),
		Stopping:          c.stopping,
		StewardedZones:    c.stewardedZones(now),
		ColdMarks:         c.coldMarks(now),
	}
	if !c.confirmedAt.IsZero() {
		b.ConfirmationAge = now.Sub(c.confirmedAt)
	}
	for _, w := range c.withdrawn {
		b.Withdrawals = append(b.Withdrawals, w)
	}
	// When the set of routers whose counters are forwarded changes, all counters
	// are sent again.
	known := r.cursors
	if known.relayEpoch != c.relayEpoch {
		known.Evidence, known.Estimates = 0, 0
	}
	cursors := Cursors{relayEpoch: c.relayEpoch}
	var evidence []roll.Entry
	evidence, cursors.Evidence = c.evidence.Delta(known.Evidence)
	b.Evidence = filterBySource(evidence, func(e roll.Entry) ident.RouterID { return e.Source.Router }, c.relaysCounters(now))
	if !c.allPairs() {
		b.Evidence = c.filterForCollector(now, r.info.ID, b.Evidence)
		b.PeerAges = c.peerAges(now)
	}
	var estimates []casc.Entry
	estimates, cursors.Estimates = c.estimates.Delta(known.Estimates)
	b.Estimates = filterBySource(estimates, func(e casc.Entry) ident.RouterID { return e.Source.Router }, c.relaysCounters(now))
	b.CrashDelta, cursors.Crashes = c.crashes.Delta(now, known.Crashes)
	b.CrashDelta.Parts, cursors.Parts = c.parts.Delta(now, known.Parts)
	return b, cursors
}

// relaysCounters returns a predicate that reports whether this router forwards
// the counters of a given router: its own, and those of routers that are not
// live.
func (c *Control) relaysCounters(now time.Time) func(ident.RouterID) bool {
	return func(id ident.RouterID) bool {
		if id == c.self.ID {
			return true
		}
		r, ok := c.peers[id]
		return !ok || !c.isLive(now, r)
	}
}

// filterBySource keeps the entries whose source satisfies keep, in place.
func filterBySource[T any](entries []T, source func(T) ident.RouterID, keep func(ident.RouterID) bool) []T {
	kept := entries[:0]
	for _, e := range entries {
		if keep(source(e)) {
			kept = append(kept, e)
		}
	}
	return kept
}

// receiveHeartbeat merges a peer's heartbeat into the local state.
func (c *Control) receiveHeartbeat(now time.Time, b Heartbeat) []Action {
	if b.Router.ID == c.self.ID {
		return nil
	}
	r := c.ensurePeer(now, b.Router)
	r.info = b.Router
	r.lastHeard = now
	r.generation = max(r.generation, b.Generation)
	r.platformReachable = b.PlatformReachable
	r.serving = b.Serving
	r.stopping = b.Stopping
	r.stewardedZones = b.StewardedZones
	c.evidence.Merge(b.Evidence)
	c.estimates.Merge(b.Estimates)
	c.crashes.Merge(now, b.CrashDelta)
	c.parts.Merge(now, b.CrashDelta.Parts)
	c.applyColdMarks(now, b.ColdMarks)
	c.mergePeerAges(now, b.PeerAges)
	actions := c.fetchIfNewer(now, b.Router, b.Generation)
	for _, crash := range b.CrashDelta.Crashes {
		actions = append(actions, c.settleWithdrawnRuns(now, crash.Incarnation)...)
	}
	for _, w := range b.Withdrawals {
		actions = append(actions, c.withdraw(now, w)...)
	}
	return actions
}

// receiveAck records the answer to a heartbeat. The age of the peer's
// confirmation is subtracted from the time at which the heartbeat was sent, so
// that a delayed answer does not make the confirmation look newer than it is.
func (c *Control) receiveAck(now time.Time, e HeartbeatAcked) []Action {
	r := c.ensurePeer(now, e.Router)
	if r.info.ID != e.Router.ID {
		return nil
	}
	r.info = e.Router
	r.sendPending = false
	r.lastHeard = now
	r.lastAcked = latest(r.lastAcked, e.SentAt)
	r.cursors = e.Cursors
	r.ackedWithdrawals = e.Withdrawals
	r.generation = max(r.generation, e.Generation)
	r.confirmedAt = e.SentAt.Add(-e.ConfirmationAge)
	if e.Generation == c.generation() && e.Generation > 0 && e.ConfirmationAge >= 0 {
		c.confirm(r.confirmedAt)
	}
	return c.fetchIfNewer(now, e.Router, e.Generation)
}

func (c *Control) heartbeatFailed(id ident.RouterID) {
	if r, ok := c.peers[id]; ok {
		r.sendPending = false
	}
	if c.fetchingGeneration > c.generation() {
		c.fetchingGeneration = 0 // the fetch may have been from this peer
	}
}
