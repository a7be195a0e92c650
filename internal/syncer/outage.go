package syncer

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/feed"
	"github.com/marigoldscale/marigoldscale/internal/world"
)

const (
	// staleAfter is the time without an answer from the store after which it counts as
	// unavailable if its calls fail. Entries do not expire in shorter gaps.
	staleAfter = 1800 * time.Millisecond
	// outageMemory is how long feeds report an outage that is over. It exceeds the time
	// for which a router that serves is without any feed.
	outageMemory = time.Minute
	// maxFeedDelay is by how much later than a router's feed tells it the last answer of
	// the store may have come to another: half of the shortest outage, more than a watch
	// and a heartbeat take.
	maxFeedDelay = staleAfter / 2
	// minReturnCorrection is the least difference by which the time of the store's return
	// is corrected. Smaller ones come from the delays of feeds.
	minReturnCorrection = 200 * time.Millisecond
)

// outageMonitor tells a store that was unavailable from data of this router that grew
// old for another reason, such as a parent that left. It addresses endpoints that leave
// while a router hears nothing: their entries have not expired, so they are not kept.
//
// An outage needs evidence: a call of this router, or of one whose feed it hears, has
// failed since the store last answered anybody. It is dropped once a feed tells that the
// store answered all the while.
type outageMonitor struct {
	answered    time.Time // when the store last answered anybody, as far as is known
	failed      time.Time // when a call was last known to fail
	steadySince time.Time // no gap in the answers is known since, the zero time for none
	down        bool
	last        outage // the last one that is over
}

// outage is a time in which the store answered nobody.
type outage struct{ since, until time.Time }

// Fail records that a call of this router to the store failed.
func (m *outageMonitor) Fail(now time.Time) { m.failed = now }

// Answer records that the store answered somebody at a given time.
func (m *outageMonitor) Answer(at time.Time) []world.Event {
	if !at.After(m.answered) {
		return nil
	}
	before := m.answered
	m.answered = at
	if m.steadySince.IsZero() || !before.IsZero() && at.Sub(before) >= staleAfter {
		m.steadySince = at
	}
	switch {
	case before.IsZero():
	case at.Sub(before) >= staleAfter && m.failed.After(before):
		return m.end(outage{since: before, until: at})
	case m.down:
		return m.dismiss()
	}
	return nil
}

// Check returns the event due as time passes.
func (m *outageMonitor) Check(now time.Time) []world.Event {
	if m.down || m.answered.IsZero() || now.Sub(m.answered) < staleAfter || !m.failed.After(m.answered) {
		return nil
	}
	m.down = true
	return []world.Event{world.StoreDown{}}
}

// Hear applies what a feed reports of the store. A feed of a router that reports nothing
// of it may conceal an outage.
func (m *outageMonitor) Hear(now time.Time, r *feed.StoreReport) []world.Event {
	if r == nil {
		m.failed = now
		return m.Check(now)
	}
	var events []world.Event
	for _, o := range r.Outages {
		events = append(events, m.hearOutage(now, outage{since: now.Add(-o.Since), until: now.Add(-o.Until)}, o.Over)...)
	}
	if r.Steady > 0 {
		events = append(events, m.hearSteady(now.Add(-r.Steady))...)
	}
	return events
}

// hearOutage applies an outage that a feed reports. The router that found it may be cut
// off alone: that is so if this one knows a later answer than the one before the outage,
// by more than the delay of feeds.
func (m *outageMonitor) hearOutage(now time.Time, o outage, over bool) []world.Event {
	if !over {
		o.until = now
	}
	switch {
	case over && m.last.since.Before(o.until) && m.last.until.Sub(o.until) >= minReturnCorrection:
		return m.end(outage{since: m.last.since, until: o.until}) // this router noticed the end late
	case m.answered.Sub(o.since) > maxFeedDelay || m.answered.IsZero():
		return nil
	case !over:
		m.failed = now
		return m.Check(now)
	}
	o.since = m.answered
	m.answered, m.steadySince = o.until, o.until
	return m.end(o)
}

// hearSteady applies a report that the store has answered without a gap for some time.
func (m *outageMonitor) hearSteady(since time.Time) []world.Event {
	if since.Before(m.steadySince) {
		m.steadySince = since
	}
	if !since.After(m.answered) {
		m.failed = time.Time{}
	}
	if m.down && !since.After(m.answered) || !m.last.until.IsZero() && !since.After(m.last.since) {
		return m.dismiss()
	}
	return nil
}

func (m *outageMonitor) end(o outage) []world.Event {
	m.down, m.last = false, o
	return []world.Event{world.StoreUp{At: o.until}}
}

func (m *outageMonitor) dismiss() []world.Event {
	m.down, m.last = false, outage{}
	return []world.Event{world.OutageDismissed{}}
}

// Report returns what followers are told of the store.
func (m *outageMonitor) Report(now time.Time) *feed.StoreReport {
	r := &feed.StoreReport{}
	if !m.steadySince.IsZero() && now.Sub(m.answered) < staleAfter {
		r.Steady = now.Sub(m.steadySince)
	}
	if !m.last.until.IsZero() && now.Sub(m.last.until) < outageMemory {
		r.Outages = append(r.Outages, feed.Outage{Since: now.Sub(m.last.since), Until: now.Sub(m.last.until), Over: true})
	}
	if !m.answered.IsZero() && m.failed.After(m.answered) {
		r.Outages = append(r.Outages, feed.Outage{Since: now.Sub(m.answered)})
	}
	return r
}
