package route

import (
	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// RoomShare returns the number of requests that a router may have in progress at a
// brittle endpoint. It answers a load under which an endpoint falls over by turning
// requests away: the slots are divided among the routers, and those left over go to the
// routers that rendezvous hashing ranks first, so that all routers together never send
// more than the endpoint runs, without messages.
func RoomShare(endpoint ident.EndpointID, slots int, self ident.RouterID, routers []ident.RouterID) int {
	slots = max(1, slots)
	if len(routers) == 0 {
		return slots // alone, as far as is known
	}
	share, left := slots/len(routers), slots%len(routers)
	own, before := roomWeight(endpoint, self), 0
	for _, r := range routers {
		if w := roomWeight(endpoint, r); w > own || w == own && r < self {
			before++
		}
	}
	if before < left {
		share++
	}
	return share
}

func roomWeight(endpoint ident.EndpointID, router ident.RouterID) uint64 {
	return mixHash(xxhash.Sum64String(string(router)), endpoint)
}
