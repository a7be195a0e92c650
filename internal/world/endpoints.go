package world

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// minColdChange is the smallest change of an announced cold start that leads to a
// new view. Smaller ones come from the delay of the announcements.
const minColdChange = 200 * time.Millisecond

// applyEndpoints applies changes of endpoint entries and reports whether the view
// changes.
func (s *State) applyEndpoints(now time.Time, x EndpointsChanged) bool {
	changed := !s.endpointsKnown
	if x.Rewound {
		s.rewoundAt = now // entries that the copy lacks may be of live endpoints
		x.Present = s.holdBackGone(now, x.Present)
	}
	listed := make(map[ident.EndpointID]bool, len(x.Present))
	for i := range x.Present {
		listed[x.Present[i].Endpoint.ID] = true
		changed = s.applyAnnouncement(now, &x.Present[i]) || changed
	}
	for _, id := range x.Removed {
		changed = s.applyRemoval(now, id) || changed
	}
	if x.Full {
		for id := range s.endpoints {
			if !listed[id] {
				changed = s.applyRemoval(now, id) || changed
			}
		}
		for id := range s.heldBack {
			if !listed[id] && !x.Rewound {
				delete(s.heldBack, id)
			}
		}
		s.endpointsKnown = true
	}
	return changed
}

// applyAnnouncement applies one entry and reports whether the view changes.
func (s *State) applyAnnouncement(now time.Time, a *Announcement) bool {
	e := a.Endpoint
	if a.ColdFor > 0 {
		e.ColdUntil = now.Add(a.ColdFor)
	}
	delete(s.removedAt, e.ID)
	delete(s.heldBack, e.ID)
	old, known := s.endpoints[e.ID]
	if known && old.StartedMillis == e.StartedMillis && old.ColdUntil.After(e.ColdUntil) && a.ColdFor > 0 {
		e.ColdUntil = old.ColdUntil
	}
	if known && old.Leaving && old.sameIncarnation(&e) {
		e.Leaving = true // the entry is an older copy; an endpoint that leaves does not return
	}
	if known && equivalent(old, &e) {
		return false
	}
	s.endpoints[e.ID] = &e
	switch {
	case !known:
		s.record("endpoint up", string(e.ID), "service %s, version %s, zone %s, cold for %v", e.Service, e.Version, e.Zone, a.ColdFor)
	case e.Leaving && !old.Leaving:
		s.record("endpoint leaving", string(e.ID), "")
	case e.StartedMillis != old.StartedMillis:
		s.record("endpoint restarted", string(e.ID), "cold for %v", a.ColdFor)
	case e.Address != old.Address || e.Service != old.Service || e.Version != old.Version:
		s.record("endpoint changed", string(e.ID), "service %s, version %s, address %s", e.Service, e.Version, e.Address)
	}
	return true
}

// applyLeaving marks an endpoint as leaving and reports whether the view changes.
func (s *State) applyLeaving(x EndpointLeaving) bool {
	e, known := s.endpoints[x.Endpoint]
	if !known || e.Leaving || e.StartedMillis != x.StartedMillis {
		return false
	}
	leaving := *e
	leaving.Leaving = true
	s.endpoints[x.Endpoint] = &leaving
	s.record("endpoint leaving", string(x.Endpoint), "it said so in an answer")
	return true
}

// equivalent reports whether two entries differ at most by a small change of the
// cold start.
func equivalent(a, b *Endpoint) bool {
	x, y := *a, *b
	drift := x.ColdUntil.Sub(y.ColdUntil)
	x.ColdUntil, y.ColdUntil = time.Time{}, time.Time{}
	return x == y && drift <= minColdChange && drift >= -minColdChange
}

// applyRemoval applies the removal of an entry and reports whether the view
// changes. While the store is unavailable, and shortly after, the entry may have
// expired although the endpoint is alive, so it is kept for the time being unless the
// endpoint was known to be leaving.
func (s *State) applyRemoval(now time.Time, id ident.EndpointID) bool {
	delete(s.heldBack, id)
	e, known := s.endpoints[id]
	if !known {
		return false
	}
	if (s.storeDown || s.inGrace(now)) && !e.Leaving {
		if _, waiting := s.removedAt[id]; !waiting {
			s.removedAt[id] = now
			s.record("endpoint lapsed", string(id), "kept for %v after the store's return", s.settings.RemovalGrace)
		}
		return false
	}
	delete(s.removedAt, id)
	s.removeEndpoint(now, id, "")
	return true
}

// inGrace reports whether the store has returned, or has been rewound, so lately that
// live endpoints may not have announced themselves again.
func (s *State) inGrace(now time.Time) bool {
	recent := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) < s.settings.RemovalGrace }
	return recent(s.storeUpAt) || recent(s.rewoundAt)
}

// KeepsEntries reports whether endpoints may be known that have ended: while the store is
// unavailable, and shortly after, entries are kept that have lapsed.
func (s *State) KeepsEntries(now time.Time) bool {
	return s.storeDown || s.inGrace(now) || len(s.removedAt) > 0
}

// removeEndpoint removes an endpoint that has left.
func (s *State) removeEndpoint(now time.Time, id ident.EndpointID, reason string) {
	if e, known := s.endpoints[id]; known {
		s.gone[id] = goneEndpoint{startedMillis: e.StartedMillis, at: now}
	}
	delete(s.endpoints, id)
	s.record("endpoint gone", string(id), "%s", reason)
}

// expireRemoved removes entries that were kept after their removal and have not
// been announced again within the grace period. It reports whether the view
// changes.
func (s *State) expireRemoved(now time.Time) bool {
	if s.storeDown || len(s.removedAt) == 0 || s.inGrace(now) {
		return false
	}
	for id := range s.removedAt {
		s.removeEndpoint(now, id, "not announced again after the store's return")
	}
	clear(s.removedAt)
	return true
}
