package world

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// lostZoneGrace is how long a zone stays out of service although the store lost the
// order. The operator writes it again within that time if it still holds.
const lostZoneGrace = 10 * time.Second

// applyZones applies changes of zones and reports that the view changes.
func (s *State) applyZones(now time.Time, z ZonesChanged) bool {
	s.zonesKnown = true
	next := map[ident.ZoneID]bool{}
	for id := range s.outZones {
		if _, lost := s.lostZones[id]; lost || !z.Full || z.Rewound {
			next[id] = true
		}
	}
	if z.Rewound {
		for id := range s.outZones {
			s.lostZones[id] = now
		}
	}
	for _, id := range z.Out {
		next[id] = true
		delete(s.lostZones, id)
	}
	for _, id := range z.Restored {
		delete(next, id)
		delete(s.lostZones, id)
	}
	for id := range next {
		if !s.outZones[id] {
			s.record("zone out", string(id), "")
		}
	}
	for id := range s.outZones {
		if !next[id] {
			s.restoreZone(now, id, "")
		}
	}
	s.outZones = next
	return true
}

// restoreLostZones restores zones whose order the store lost and the operator has
// not written again, and reports whether the view changes.
func (s *State) restoreLostZones(now time.Time) bool {
	changed := false
	for id, lost := range s.lostZones {
		if now.Sub(lost) < lostZoneGrace {
			continue
		}
		delete(s.lostZones, id)
		delete(s.outZones, id)
		s.restoreZone(now, id, "not ordered again after the store was rewound")
		changed = true
	}
	return changed
}

func (s *State) restoreZone(now time.Time, id ident.ZoneID, reason string) {
	s.record("zone back", string(id), "%s", reason)
	s.markCold(now, id)
}

// markCold marks the endpoints of a restored zone as cold: they had no requests,
// and their own announcements come late.
func (s *State) markCold(now time.Time, zone ident.ZoneID) {
	for id, e := range s.endpoints {
		service := s.service(e.Service)
		if e.Zone != zone || service == nil || service.ColdStart <= 0 {
			continue
		}
		fresh := *e
		if until := now.Add(service.ColdStart); until.After(fresh.ColdUntil) {
			fresh.ColdUntil = until
		}
		s.endpoints[id] = &fresh
	}
}
