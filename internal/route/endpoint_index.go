package route

import (
	"sort"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// endpointIndex maps what endpoints serve to the endpoints of a snapshot, sorted
// by endpoint id so that the same inputs always give the same choice.
type endpointIndex struct {
	snapshot *fleet.Snapshot
	releases map[ident.Release][]*fleet.Endpoint
	services map[ident.ServiceID][]*fleet.Endpoint
}

func newEndpointIndex(s *fleet.Snapshot) *endpointIndex {
	x := &endpointIndex{
		snapshot: s,
		releases: make(map[ident.Release][]*fleet.Endpoint),
		services: make(map[ident.ServiceID][]*fleet.Endpoint),
	}
	for _, e := range s.Endpoints {
		if e.Spec.Service != "" {
			x.services[e.Spec.Service] = append(x.services[e.Spec.Service], e)
			continue
		}
		x.releases[e.Spec.Release] = append(x.releases[e.Spec.Release], e)
	}
	for _, l := range x.releases {
		sortEndpoints(l)
	}
	for _, l := range x.services {
		sortEndpoints(l)
	}
	return x
}

func (x *endpointIndex) endpoints(r Request) []*fleet.Endpoint {
	if r.Service != "" {
		return x.services[r.Service]
	}
	return x.releases[r.Release]
}

func sortEndpoints(l []*fleet.Endpoint) {
	sort.Slice(l, func(i, j int) bool { return l[i].Spec.ID < l[j].Spec.ID })
}
