package ctrl

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/casc"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// probeInterval is the time between heartbeats to a silent router.
const probeInterval = 2 * time.Second

// beat sends the heartbeats that are due.
func (c *Control) beat(now time.Time) []Action {
	if !c.allPairs() {
		return c.gossip(now)
	}
	var actions []Action
	for _, r := range c.roster(now).peers {
		interval := c.settings.Heartbeat
		if !c.live(now, r) {
			interval = probeInterval
		}
		if !r.sending && now.Sub(r.sent) >= interval {
			actions = append(actions, c.send(now, r))
		}
	}
	return actions
}

// beatAll sends a heartbeat to every peer at once.
func (c *Control) beatAll(now time.Time) []Action {
	var actions []Action
	for _, r := range c.roster(now).peers {
		actions = append(actions, c.send(now, r))
	}
	return actions
}

// urgent makes heartbeats due at once: to every peer, or in a larger fleet to a
// few that pass the word on.
func (c *Control) urgent() []Action {
	c.rumour = true
	for _, r := range c.routers {
		r.sent = time.Time{}
		r.sending = false
	}
	return nil
}

func (c *Control) send(now time.Time, r *router) Action {
	r.sent = now
	r.sending = true
	beat, marks := c.newBeat(now, r)
	told := make(map[ident.Release]bool, len(beat.Withdrawals))
	for _, w := range beat.Withdrawals {
		told[w.Release] = true
	}
	return SendBeat{To: r.router, Beat: beat, Marks: marks, Told: told}
}

// newBeat makes the heartbeat for a peer, with what changed since it last
// answered. Only this router's own counters go, and those of routers that the
// peer may no longer hear.
func (c *Control) newBeat(now time.Time, r *router) (Beat, Marks) {
	b := Beat{
		Router:     c.self,
		Generation: c.generation(),
		Platform:   c.platform.reachable,
		Serving:    c.serving(now),
		Stopping:   c.stopping,
		Stewards:   c.held(now),
		Colds:      c.colds(now),
	}
	if !c.confirmed.IsZero() {
		b.Age = now.Sub(c.confirmed)
	}
	for _, w := range c.withdrawn {
		b.Withdrawals = append(b.Withdrawals, w)
	}
	known := r.marks
	if known.relays != c.relays {
		known.Evidence, known.Estimates = 0, 0
	}
	marks := Marks{relays: c.relays}
	var evidence []roll.Entry
	evidence, marks.Evidence = c.evidence.Delta(known.Evidence)
	b.Evidence = own(evidence, func(e roll.Entry) ident.RouterID { return e.Source.Router }, c.relayed(now))
	if !c.allPairs() {
		b.Evidence = c.collected(now, r.router.ID, b.Evidence)
		b.Hearsay = c.hearsay(now)
	}
	var estimates []casc.Entry
	estimates, marks.Estimates = c.estimates.Delta(known.Estimates)
	b.Estimates = own(estimates, func(e casc.Entry) ident.RouterID { return e.Source.Router }, c.relayed(now))
	b.Deaths, marks.Deaths = c.deaths.Delta(now, known.Deaths)
	return b, marks
}

// relayed tells whether a router's counters are passed on by this one: its own
// are, and those of routers that no longer speak for themselves.
func (c *Control) relayed(now time.Time) func(ident.RouterID) bool {
	return func(id ident.RouterID) bool {
		if id == c.self.ID {
			return true
		}
		r, ok := c.routers[id]
		return !ok || !c.live(now, r)
	}
}

func own[T any](entries []T, source func(T) ident.RouterID, keep func(ident.RouterID) bool) []T {
	kept := entries[:0]
	for _, e := range entries {
		if keep(source(e)) {
			kept = append(kept, e)
		}
	}
	return kept
}

// beaten takes in a peer's heartbeat.
func (c *Control) beaten(now time.Time, b Beat) []Action {
	if b.Router.ID == c.self.ID {
		return nil
	}
	r := c.meet(now, b.Router)
	r.router = b.Router
	r.heard = now
	r.generation = max(r.generation, b.Generation)
	r.platform = b.Platform
	r.serving = b.Serving
	r.stopping = b.Stopping
	r.stewards = b.Stewards
	c.evidence.Merge(b.Evidence)
	c.estimates.Merge(b.Estimates)
	c.deaths.Merge(now, b.Deaths)
	c.heedColds(now, b.Colds)
	c.listen(now, b.Hearsay)
	actions := c.hear(now, b.Router, b.Generation)
	for _, w := range b.Withdrawals {
		actions = append(actions, c.withdraw(now, w)...)
	}
	return actions
}

// acked takes in the answer to a heartbeat. The peer's confirmation is counted
// from when the heartbeat was sent, so that a delayed answer never looks fresh.
func (c *Control) acked(now time.Time, e Acked) []Action {
	r := c.meet(now, e.Router)
	if r.router.ID != e.Router.ID {
		return nil
	}
	r.router = e.Router
	r.sending = false
	r.heard = now
	r.answered = later(r.answered, e.Asked)
	r.marks = e.Marks
	r.told = e.Told
	r.generation = max(r.generation, e.Generation)
	r.confirmed = e.Asked.Add(-e.Age)
	if e.Generation == c.generation() && e.Generation > 0 && e.Age >= 0 {
		c.confirm(r.confirmed)
	}
	return c.hear(now, e.Router, e.Generation)
}

func (c *Control) missed(id ident.RouterID) {
	if r, ok := c.routers[id]; ok {
		r.sending = false
	}
	if c.fetching > c.generation() {
		c.fetching = 0 // the peer that told of it may be the one that is gone
	}
}
