package world

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// coldChange is the least change of an announced cold start that is worth a
// new view; smaller ones are the lag of the announcements.
const coldChange = 200 * time.Millisecond

// announced takes in endpoints' entries, and tells whether the view changes.
func (w *State) announced(now time.Time, x EndpointsChanged) bool {
	changed := !w.listed
	named := make(map[ident.EndpointID]bool, len(x.Present))
	for i := range x.Present {
		named[x.Present[i].Endpoint.ID] = true
		changed = w.present(now, &x.Present[i]) || changed
	}
	for _, id := range x.Removed {
		changed = w.gone(now, id) || changed
	}
	if x.Full {
		for id := range w.endpoints {
			if !named[id] {
				changed = w.gone(now, id) || changed
			}
		}
		w.listed = true
	}
	return changed
}

// present takes in one entry.
func (w *State) present(now time.Time, a *Announcement) bool {
	e := a.Endpoint
	if a.ColdFor > 0 {
		e.ColdUntil = now.Add(a.ColdFor)
	}
	delete(w.lapsed, e.ID)
	old, known := w.endpoints[e.ID]
	if known && old.StartedMillis == e.StartedMillis && old.ColdUntil.After(e.ColdUntil) && a.ColdFor > 0 {
		e.ColdUntil = old.ColdUntil
	}
	if known && same(old, &e) {
		return false
	}
	w.endpoints[e.ID] = &e
	switch {
	case !known:
		w.note("endpoint up", string(e.ID), "service %s, version %s, zone %s, cold for %v", e.Service, e.Version, e.Zone, a.ColdFor)
	case e.Leaving && !old.Leaving:
		w.note("endpoint leaving", string(e.ID), "")
	case e.StartedMillis != old.StartedMillis:
		w.note("endpoint restarted", string(e.ID), "cold for %v", a.ColdFor)
	case e.Address != old.Address || e.Service != old.Service || e.Version != old.Version:
		w.note("endpoint changed", string(e.ID), "service %s, version %s, address %s", e.Service, e.Version, e.Address)
	}
	return true
}

func same(a, b *Endpoint) bool {
	x, y := *a, *b
	drift := x.ColdUntil.Sub(y.ColdUntil)
	x.ColdUntil, y.ColdUntil = time.Time{}, time.Time{}
	return x == y && drift <= coldChange && drift >= -coldChange
}

// gone takes in that an entry was removed. While the store is away, and just
// after, it may have lapsed although the endpoint lives.
func (w *State) gone(now time.Time, id ident.EndpointID) bool {
	e, known := w.endpoints[id]
	if !known {
		return false
	}
	if w.away || !w.returned.IsZero() && now.Sub(w.returned) < w.settings.RemovalGrace && !e.Leaving {
		if _, waiting := w.lapsed[id]; !waiting {
			w.lapsed[id] = now
			w.note("endpoint lapsed", string(id), "kept for %v after the store's return", w.settings.RemovalGrace)
		}
		return false
	}
	delete(w.lapsed, id)
	delete(w.endpoints, id)
	w.note("endpoint gone", string(id), "")
	return true
}

// expire gives up lapsed entries whose time has passed.
func (w *State) expire(now time.Time) bool {
	if w.away || len(w.lapsed) == 0 || now.Sub(w.returned) < w.settings.RemovalGrace {
		return false
	}
	for id := range w.lapsed {
		delete(w.endpoints, id)
		w.note("endpoint gone", string(id), "its entry stayed away")
	}
	clear(w.lapsed)
	return true
}
