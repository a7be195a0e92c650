package permit

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// slots counts what occupies the cold slots of a zone's endpoints.
type slots struct {
	settings  Settings
	since     time.Time // what ran before then is known from reports only
	endpoints map[ident.EndpointID]*endpoint
}

// endpoint counts one endpoint's cold slots.
type endpoint struct {
	cold    int
	phase   fleet.Phase
	since   time.Time // when it was first seen cold
	counted bool      // whether earlier is known
	earlier int       // at most this many requests run that need no permit of this term
	permits map[ident.AttemptID]time.Time
}

// reset begins a term.
func (s *slots) reset(since time.Time) {
	s.since = since
	for _, e := range s.endpoints {
		e.counted = false
		e.since = later(e.since, since)
		clear(e.permits)
	}
}

// see takes in an endpoint's condition. Work that was sent while the endpoint
// was warm is counted by reports that were asked for after every router had
// stopped sending such work; the least of them bounds what is left of it.
func (s *slots) see(now time.Time, e Seen) {
	x := s.endpoints[e.Endpoint]
	if x == nil {
		x = &endpoint{permits: make(map[ident.AttemptID]time.Time), phase: fleet.PhaseWarm}
		s.endpoints[e.Endpoint] = x
	}
	x.cold = e.Cold
	if e.Phase == fleet.PhaseCold && x.phase != fleet.PhaseCold {
		x.since = later(now, s.since)
		x.counted = false
	}
	x.phase = e.Phase
	settled := x.since.Add(s.settings.Spread + s.settings.Lag)
	if x.phase != fleet.PhaseCold || e.Asked.Before(settled) {
		return
	}
	if !x.counted || e.Running < x.earlier {
		x.counted, x.earlier = true, e.Running
	}
}

// take occupies a slot, or gives the reason why not.
func (s *slots) take(now time.Time, a Asked) Reason {
	s.lapse(now)
	x := s.endpoints[a.Endpoint]
	if x == nil || x.phase != fleet.PhaseCold {
		return ReasonPhase
	}
	_, prolong := x.permits[a.Attempt]
	switch {
	case prolong:
	case !x.counted:
		return ReasonSettle
	case len(x.permits)+x.earlier >= x.cold:
		return ReasonFull
	}
	x.permits[a.Attempt] = now.Add(s.settings.Hold())
	return ""
}

func (s *slots) release(r Released) {
	if x := s.endpoints[r.Endpoint]; x != nil {
		delete(x.permits, r.Attempt)
	}
}

// lapse frees the slots of permits that can no longer be in use.
func (s *slots) lapse(now time.Time) {
	for _, x := range s.endpoints {
		for id, until := range x.permits {
			if !now.Before(until) {
				delete(x.permits, id)
			}
		}
	}
}

func (s *slots) empty() bool {
	for _, x := range s.endpoints {
		if len(x.permits) > 0 {
			return false
		}
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
