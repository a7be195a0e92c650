package world

import (
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// View is an immutable snapshot of a State. Each request uses one.
type View struct {
	Config         *paths.Config // nil until the first one is known
	ConfigRevision plat.Version  // at which Config was stored
	Ready          bool          // whether all kinds of data are known, and were current once
	Rollouts       map[ident.ServiceID]Rollout
	OutZones       map[ident.ZoneID]bool // zones taken out of service
	EndpointCount  int                   // all endpoints, including those that get no new requests
	endpoints      map[ident.ServiceID][]*Endpoint
	stable         map[ident.ServiceID]ident.VersionID
	byID           map[ident.EndpointID]*Endpoint
	started        map[ident.EndpointID]int64 // as Endpoint.StartedMillis, of all endpoints
}

// Endpoints returns a service's endpoints that may get new requests, sorted by
// id.
func (v *View) Endpoints(service ident.ServiceID) []*Endpoint { return v.endpoints[service] }

// IsRolloutTarget reports whether a version is the target of an active roll-out.
func (v *View) IsRolloutTarget(service ident.ServiceID, version ident.VersionID) bool {
	r, ok := v.Rollouts[service]
	return ok && r.Active() && r.Target == version
}

// Candidates returns the endpoints of a version, "" for any, that may get a
// request. A version on trial uses only a fraction of its endpoints, so that its
// small share of the requests loads each of them normally and its performance
// under normal load is known before it gets all requests.
func (v *View) Candidates(now time.Time, service ident.ServiceID, version ident.VersionID) []*Endpoint {
	var list []*Endpoint
	for _, e := range v.endpoints[service] {
		if version == "" || e.Version == version {
			list = append(list, e)
		}
	}
	r, ok := v.Rollouts[service]
	if !ok || r.Stage != StageTrial || version != r.Target {
		return list
	}
	var warm []*Endpoint
	for _, e := range list {
		if !e.Cold(now) {
			warm = append(warm, e)
		}
	}
	if limit := max(1, len(list)/trialEndpointRatio); len(warm) > limit {
		return warm[:limit]
	}
	return list
}

// trialEndpointRatio is the number of a version's endpoints for each one that is
// used on trial.
const trialEndpointRatio = 6

// Endpoint returns an endpoint that may get new requests.
func (v *View) Endpoint(id ident.EndpointID) (*Endpoint, bool) {
	e, ok := v.byID[id]
	return e, ok
}

// Started returns when an endpoint's incarnation has started, in Unix milliseconds, 0 if it
// does not tell, and whether there is such an endpoint. It may be one that gets no new
// requests.
func (v *View) Started(id ident.EndpointID) (millis int64, known bool) {
	millis, known = v.started[id]
	return millis, known
}

// StableVersion returns the version of a service that is used without roll-outs.
func (v *View) StableVersion(service ident.ServiceID) ident.VersionID { return v.stable[service] }

// build returns the view of the state.
func (s *State) build() *View {
	v := &View{
		Config: s.config, ConfigRevision: s.configRevision,
		Ready:         s.config != nil && s.endpointsKnown && s.rolloutsKnown && s.zonesKnown && (s.confirmed || !s.settings.AwaitConfirmation),
		Rollouts:      make(map[ident.ServiceID]Rollout, len(s.rollouts)),
		OutZones:      make(map[ident.ZoneID]bool, len(s.outZones)),
		EndpointCount: len(s.endpoints),
		endpoints:     map[ident.ServiceID][]*Endpoint{},
		stable:        map[ident.ServiceID]ident.VersionID{},
		byID:          make(map[ident.EndpointID]*Endpoint, len(s.endpoints)),
		started:       make(map[ident.EndpointID]int64, len(s.endpoints)),
	}
	for id, r := range s.rollouts {
		v.Rollouts[id] = r
	}
	for id := range s.outZones {
		v.OutZones[id] = true
	}
	s.updateStable()
	for id, version := range s.stable {
		v.stable[id] = version
	}
	for _, e := range s.endpoints {
		v.started[e.ID] = e.StartedMillis
		if e.Leaving || s.outZones[e.Zone] || !s.allowed(e) {
			continue
		}
		v.endpoints[e.Service] = append(v.endpoints[e.Service], e)
		v.byID[e.ID] = e
	}
	for _, l := range v.endpoints {
		sort.Slice(l, func(i, j int) bool { return l[i].ID < l[j].ID })
	}
	return v
}

// allowed reports whether an endpoint's version may get requests at all.
func (s *State) allowed(e *Endpoint) bool {
	r, ordered := s.rollouts[e.Service]
	if !ordered {
		return e.Version == s.stable[e.Service]
	}
	switch r.Stage {
	case StageFinished:
		return e.Version == r.Target
	case StageRolledBack:
		return e.Version != r.Target
	default:
		return e.Version == r.Target || e.Version == s.stable[e.Service]
	}
}

// updateStable updates the stable version of each service: the current one if any
// endpoint still runs it, otherwise the one that most endpoints run, without the
// target of a roll-out.
func (s *State) updateStable() {
	counts := map[ident.ServiceID]map[ident.VersionID]int{}
	for _, e := range s.endpoints {
		r, ordered := s.rollouts[e.Service]
		if ordered && r.Stage != StageFinished && e.Version == r.Target {
			continue
		}
		if counts[e.Service] == nil {
			counts[e.Service] = map[ident.VersionID]int{}
		}
		counts[e.Service][e.Version]++
	}
	for service, versions := range counts {
		if kept, ok := s.stable[service]; ok && versions[kept] > 0 {
			continue
		}
		best := ident.VersionID("")
		for version, n := range versions {
			if best == "" || n > versions[best] || n == versions[best] && version < best {
				best = version
			}
		}
		s.stable[service] = best
	}
}
