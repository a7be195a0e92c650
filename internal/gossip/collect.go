package gossip

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// collectors is the number of routers that gather the evidence on one subject
// in a larger fleet.
const collectors = 3

// Collectors gives the routers that gather the evidence on a subject, such as a
// model's roll-out: all of a small fleet, else the best few by rendezvous
// hashing, in different availability zones as far as there are. Any of them may
// act on it; what they do is a conditional write or a withdrawal, which may be
// done twice.
func Collectors(subject string, routers []fleet.Router) []ident.RouterID {
	count := collectors
	if len(routers) <= maxAllPairs {
		count = len(routers)
	}
	chosen := make([]ident.RouterID, 0, count)
	zones := make([]ident.ZoneID, 0, count)
	for range count {
		best, ok := next(subject, routers, chosen, zones)
		if !ok {
			break
		}
		chosen, zones = append(chosen, best.ID), append(zones, best.Zone)
	}
	return chosen
}

// next gives the best router not yet chosen, one of another zone before one of
// the same.
func next(subject string, routers []fleet.Router, chosen []ident.RouterID, zones []ident.ZoneID) (fleet.Router, bool) {
	var best fleet.Router
	var top uint64
	found, foreign := false, false
	for _, r := range routers {
		if r.Leaving || slices.Contains(chosen, r.ID) {
			continue
		}
		other := !slices.Contains(zones, r.Zone)
		score := xxhash.Sum64String(subject + "/" + string(r.ID))
		better := other && !foreign || other == foreign && score > top
		if !found || better {
			best, top, found, foreign = r, score, true, other
		}
	}
	return best, found
}
