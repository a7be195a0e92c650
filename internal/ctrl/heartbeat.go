package ctrl

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/casc"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// probeInterval is the time between heartbeats to a silent router.
const silentPeerInterval = 2 * time.Second

// beat sends the heartbeats that are due.
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

// beatAll sends a heartbeat to every peer at once.
func (c *Control) broadcastHeartbeat(now time.Time) []Action {
	var actions []Action
	for _, r := range c.membership(now).peers {
		actions = append(actions, c.sendHeartbeat(now, r))
	}
	return actions
}

// urgent makes heartbeats due at once: to every peer, or in a larger fleet to a
// few that pass the word on.
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
	beat, marks := c.newHeartbeat(now, r)
	told := make(map[ident.Release]bool, len(beat.Withdrawals))
	for _, w := range beat.Withdrawals {
		told[w.Release] = true
	}
	return SendHeartbeat{To: r.info, Heartbeat: beat, Cursors: marks, Withdrawals: told}
}

// newBeat makes the heartbeat for a peer, with what changed since it last
// answered. Only this router's own counters go, and those of routers that the
// peer may no longer hear.
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
	known := r.cursors
	if known.relayEpoch != c.relayEpoch {
		known.Evidence, known.Estimates = 0, 0
	}
	marks := Cursors{relayEpoch: c.relayEpoch}
	var evidence []roll.Entry
	evidence, marks.Evidence = c.evidence.Delta(known.Evidence)
	b.Evidence = filterBySource(evidence, func(e roll.Entry) ident.RouterID { return e.Source.Router }, c.relaysCounters(now))
	if !c.allPairs() {
		b.Evidence = c.filterForCollector(now, r.info.ID, b.Evidence)
		b.PeerAges = c.peerAges(now)
	}
	var estimates []casc.Entry
	estimates, marks.Estimates = c.estimates.Delta(known.Estimates)
	b.Estimates = filterBySource(estimates, func(e casc.Entry) ident.RouterID { return e.Source.Router }, c.relaysCounters(now))
	b.Deaths, marks.Deaths = c.deaths.Delta(now, known.Deaths)
	return b, marks
}

// relayed tells whether a router's counters are passed on by this one: its own
// are, and those of routers that no longer speak for themselves.
func (c *Control) relaysCounters(now time.Time) func(ident.RouterID) bool {
	return func(id ident.RouterID) bool {
		if id == c.self.ID {
			return true
		}
		r, ok := c.peers[id]
		return !ok || !c.isLive(now, r)
	}
}

func filterBySource[T any](entries []T, source func(T) ident.RouterID, keep func(ident.RouterID) bool) []T {
	kept := entries[:0]
	for _, e := range entries {
		if keep(source(e)) {
			kept = append(kept, e)
		}
	}
	return kept
}

// beaten takes in a peer's heartbeat.
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
	c.deaths.Merge(now, b.Deaths)
	c.applyColdMarks(now, b.ColdMarks)
	c.mergePeerAges(now, b.PeerAges)
	actions := c.fetchIfNewer(now, b.Router, b.Generation)
	for _, w := range b.Withdrawals {
		actions = append(actions, c.withdraw(now, w)...)
	}
	return actions
}

// acked takes in the answer to a heartbeat. The peer's confirmation is counted
// from when the heartbeat was sent, so that a delayed answer never looks fresh.
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
		c.fetchingGeneration = 0 // the peer that told of it may be the one that is gone
	}
}
