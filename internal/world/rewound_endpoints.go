package world

import "time"

const (
	// goneMemory is how long an endpoint that has left is remembered. It exceeds the
	// age of the copies from which a store comes back.
	goneMemory = time.Minute
	// holdBack is how long an endpoint that has left stays unused when it appears
	// again in an older copy of the store. The entry of one that is not running
	// expires within that time.
	holdBack = 5 * time.Second
)

// goneEndpoint is an endpoint that has left.
type goneEndpoint struct {
	startedMillis int64
	at            time.Time
}

// heldEndpoint is the entry of an endpoint that has left, in an older copy of the
// store.
type heldEndpoint struct {
	entry Announcement
	until time.Time
}

// sameIncarnation reports whether two entries are of the same run of an endpoint.
func (e *Endpoint) sameIncarnation(other *Endpoint) bool {
	return e.StartedMillis != 0 && e.StartedMillis == other.StartedMillis
}

// holdBackGone returns the entries of an older copy of the store without those of
// endpoints that this router knows to have left.
func (s *State) holdBackGone(now time.Time, entries []Announcement) []Announcement {
	for id, g := range s.gone {
		if now.Sub(g.at) >= goneMemory {
			delete(s.gone, id)
		}
	}
	var list []Announcement
	for _, a := range entries {
		g, gone := s.gone[a.Endpoint.ID]
		if gone && g.startedMillis != 0 && g.startedMillis == a.Endpoint.StartedMillis {
			s.heldBack[a.Endpoint.ID] = heldEndpoint{entry: a, until: now.Add(holdBack)}
			s.record("endpoint held back", string(a.Endpoint.ID), "it has left, and an older copy of the store has it")
			continue
		}
		list = append(list, a)
	}
	return list
}

// admitHeldBack uses endpoints again whose entries have not expired, and reports
// whether the view changes.
func (s *State) admitHeldBack(now time.Time) bool {
	changed := false
	for _, held := range s.heldBack {
		if !now.Before(held.until) {
			changed = s.applyAnnouncement(now, &held.entry) || changed
		}
	}
	return changed
}
