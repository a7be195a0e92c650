package permit

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// slots counts what occupies the cold slots of a zone's endpoints.
type slots struct {
	settings  Settings
	since     time.Time // permits of earlier terms have lapsed by then
	endpoints map[ident.EndpointID]endpoint
}

// endpoint counts one endpoint's cold slots.
type endpoint struct {
	cold    int
	phase   fleet.Phase
	settled time.Time // from then on, what runs without a permit only becomes less
	counted bool      // whether stray is known
	stray   int       // at most this many requests run without a permit
	permits map[ident.AttemptID]time.Time
	suspect suspect
}

// suspect is the run of a body that is suspected of crashing endpoints. There
// is one at a time, so that a crash tells which body did it.
type suspect struct {
	attempt ident.AttemptID
	until   time.Time
}

// reset begins a term, in which all that runs already is stray.
func (s *slots) reset(since time.Time) {
	s.since = since
	for id, x := range s.endpoints {
		clear(x.permits)
		x.suspect = suspect{}
		s.endpoints[id] = x.recount(since)
	}
}

// see takes in an endpoint's condition. Requests that run without a permit were
// sent while the endpoint was warm, or outlived their permit. They are counted
// by reports that were asked for once no more of them could come; the least
// count is kept, since they only become fewer.
func (s *slots) see(now time.Time, e EndpointObserved) {
	x, known := s.endpoints[e.Endpoint]
	if !known {
		x = endpoint{permits: make(map[ident.AttemptID]time.Time), phase: fleet.PhaseWarm}
	}
	x.cold = e.ColdSlots
	if e.Phase == fleet.PhaseCold && x.phase != fleet.PhaseCold {
		x = x.recount(later(s.since, now.Add(s.settings.PropagationDelay)))
	}
	x.phase = e.Phase
	usable := x.phase == fleet.PhaseCold && !e.ReportRequested.Before(x.settled.Add(s.settings.ReportLag))
	if usable && (!x.counted || e.Running < x.stray) {
		x.counted, x.stray = true, e.Running
	}
	s.endpoints[e.Endpoint] = x
}

// take occupies a slot, or gives the reason why not.
func (s *slots) take(now time.Time, a Request) Reason {
	s.lapse(now)
	if a.Isolated {
		return s.takeAlone(now, a)
	}
	x := s.endpoints[a.Endpoint]
	if x.phase != fleet.PhaseCold || x.permits == nil {
		return ReasonNotCold
	}
	_, prolong := x.permits[a.Attempt]
	switch {
	case prolong:
	case !x.counted:
		return ReasonUncounted
	case len(x.permits)+x.stray >= x.cold:
		return ReasonFull
	}
	x.permits[a.Attempt] = now.Add(s.settings.PermitLifetime())
	return ""
}

// takeAlone makes an attempt the endpoint's only suspect.
func (s *slots) takeAlone(now time.Time, a Request) Reason {
	x, known := s.endpoints[a.Endpoint]
	switch {
	case !known || x.phase == fleet.PhaseDown:
		return ReasonNotCold
	case x.suspect.attempt != a.Attempt && now.Before(x.suspect.until):
		return ReasonFull
	case x.phase == fleet.PhaseCold:
		a.Isolated = false
		if reason := s.take(now, a); reason != "" {
			return reason
		}
		x = s.endpoints[a.Endpoint]
	}
	x.suspect = suspect{attempt: a.Attempt, until: now.Add(s.settings.PermitLifetime())}
	s.endpoints[a.Endpoint] = x
	return ""
}

func (s *slots) release(r Release) {
	x, known := s.endpoints[r.Endpoint]
	if !known {
		return
	}
	delete(x.permits, r.Attempt)
	if x.suspect.attempt == r.Attempt {
		x.suspect = suspect{}
	}
	s.endpoints[r.Endpoint] = x
}

// lapse ends permits that are over. Their holder may be paused and its request
// still running, so what runs is counted anew.
func (s *slots) lapse(now time.Time) {
	for id, x := range s.endpoints {
		if !now.Before(x.suspect.until) {
			x.suspect = suspect{}
		}
		for attempt, until := range x.permits {
			if !now.Before(until) {
				delete(x.permits, attempt)
				x = x.recount(now)
			}
		}
		s.endpoints[id] = x
	}
}

func (s *slots) empty() bool {
	for _, x := range s.endpoints {
		if len(x.permits) > 0 || x.suspect.attempt != "" {
			return false
		}
	}
	return true
}

// recount takes the endpoint's stray requests for unknown until a report tells
// of a time after settled.
func (x endpoint) recount(settled time.Time) endpoint {
	x.settled = later(x.settled, settled)
	x.counted = false
	return x
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
