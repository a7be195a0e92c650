package gossip

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// collectorCount is the number of routers that collect the evidence on one
// subject in a larger fleet.
const collectorCount = 3

// Collectors returns the routers that collect the evidence on a subject, such as
// a model's roll-out: all routers of a small fleet, otherwise the first few by
// rendezvous hashing, in different availability zones where possible. Any of them
// may act on the evidence, since they only make conditional writes or
// withdrawals, which are safe to repeat.
func Collectors(subject string, routers []fleet.Router) []ident.RouterID {
	count := collectorCount
	if len(routers) <= maxAllPairsRouters {
		count = len(routers)
	}
	chosen := make([]ident.RouterID, 0, count)
	zones := make([]ident.ZoneID, 0, count)
	for range count {
		best, ok := nextCollector(subject, routers, chosen, zones)
		if !ok {
			break
		}
		chosen, zones = append(chosen, best.ID), append(zones, best.Zone)
	}
	return chosen
}

// nextCollector returns the router with the highest score that is not yet chosen,
// preferring zones not yet chosen.
func nextCollector(subject string, routers []fleet.Router, chosen []ident.RouterID, zones []ident.ZoneID) (fleet.Router, bool) {
	var best fleet.Router
	var top uint64
	found, newZone := false, false
	for _, r := range routers {
		if r.Leaving || slices.Contains(chosen, r.ID) {
			continue
		}
		other := !slices.Contains(zones, r.Zone)
		score := xxhash.Sum64String(subject + "/" + string(r.ID))
		better := other && !newZone || other == newZone && score > top
		if !found || better {
			best, top, found, newZone = r, score, true, other
		}
	}
	return best, found
}
