package permit

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// slotTable tracks the use of the cold slots of a zone's endpoints.
type slotTable struct {
	settings  Settings
	termStart time.Time // permits of earlier terms have expired by then
	endpoints map[ident.EndpointID]endpointSlots
}

// endpointSlots tracks the cold slots of one endpoint.
type endpointSlots struct {
	capacity      int
	phase         fleet.Phase
	countableFrom time.Time                     // from then on, the number of requests without a permit only falls
	counted       bool                          // whether unpermitted is known
	unpermitted   int                           // upper bound of the requests that run without a permit
	permits       map[ident.AttemptID]time.Time // expiry, by attempt
	suspect       suspectRun
}

// suspectRun is an attempt whose body is suspected of crashing endpoints. Only one
// runs on an endpoint at a time, so that a crash identifies the body.
type suspectRun struct {
	attempt ident.AttemptID
	until   time.Time
}

// startTerm starts a term, in which all requests that already run count as
// unpermitted.
func (s *slotTable) startTerm(since time.Time) {
	s.termStart = since
	for id, x := range s.endpoints {
		clear(x.permits)
		x.suspect = suspectRun{}
		s.endpoints[id] = x.invalidateCount(since)
	}
}

// observe applies the state of an endpoint. Requests that run without a permit were
// sent while the endpoint was warm, or outlived their permit. They are counted from
// reports that were requested when no more of them could arrive. The smallest count
// is kept, since their number only falls.
func (s *slotTable) observe(now time.Time, e EndpointObserved) {
	x, known := s.endpoints[e.Endpoint]
	if !known {
		x = endpointSlots{permits: make(map[ident.AttemptID]time.Time), phase: fleet.PhaseWarm}
	}
	x.capacity = e.ColdSlots
	if e.Phase == fleet.PhaseCold && x.phase != fleet.PhaseCold {
		x = x.invalidateCount(later(s.termStart, now.Add(s.settings.PropagationDelay)))
	}
	x.phase = e.Phase
	usable := x.phase == fleet.PhaseCold && !e.ReportRequested.Before(x.countableFrom.Add(s.settings.ReportLag))
	if usable && (!x.counted || e.Running < x.unpermitted) {
		x.counted, x.unpermitted = true, e.Running
	}
	s.endpoints[e.Endpoint] = x
}

// occupy assigns a slot to an attempt, or returns the reason for a denial.
func (s *slotTable) occupy(now time.Time, r Request) Reason {
	s.expirePermits(now)
	if r.Isolated {
		return s.occupyIsolated(now, r)
	}
	x := s.endpoints[r.Endpoint]
	if x.phase != fleet.PhaseCold || x.permits == nil {
		return ReasonNotCold
	}
	_, extension := x.permits[r.Attempt]
	switch {
	case extension:
	case !x.counted:
		return ReasonUncounted
	case len(x.permits)+x.unpermitted >= x.capacity:
		return ReasonFull
	}
	x.permits[r.Attempt] = now.Add(s.settings.PermitLifetime())
	return ""
}

// occupyIsolated makes an attempt the endpoint's only suspect, or returns the
// reason for a denial.
func (s *slotTable) occupyIsolated(now time.Time, r Request) Reason {
	x, known := s.endpoints[r.Endpoint]
	switch {
	case !known || x.phase == fleet.PhaseDown:
		return ReasonNotCold
	case x.suspect.attempt != r.Attempt && now.Before(x.suspect.until):
		return ReasonFull
	case x.phase == fleet.PhaseCold:
		r.Isolated = false
		if reason := s.occupy(now, r); reason != "" {
			return reason
		}
		x = s.endpoints[r.Endpoint]
	}
	x.suspect = suspectRun{attempt: r.Attempt, until: now.Add(s.settings.PermitLifetime())}
	s.endpoints[r.Endpoint] = x
	return ""
}

// release frees the slot of an attempt.
func (s *slotTable) release(r Release) {
	x, known := s.endpoints[r.Endpoint]
	if !known {
		return
	}
	delete(x.permits, r.Attempt)
	if x.suspect.attempt == r.Attempt {
		x.suspect = suspectRun{}
	}
	s.endpoints[r.Endpoint] = x
}

// expirePermits removes expired permits. Their router may be paused and its request
// still running, so the requests without a permit are counted again.
func (s *slotTable) expirePermits(now time.Time) {
	for id, x := range s.endpoints {
		if !now.Before(x.suspect.until) {
			x.suspect = suspectRun{}
		}
		for attempt, until := range x.permits {
			if !now.Before(until) {
				delete(x.permits, attempt)
				x = x.invalidateCount(now)
			}
		}
		s.endpoints[id] = x
	}
}

// empty reports whether no permit is outstanding.
func (s *slotTable) empty() bool {
	for _, x := range s.endpoints {
		if len(x.permits) > 0 || x.suspect.attempt != "" {
			return false
		}
	}
	return true
}

// invalidateCount marks the number of requests without a permit as unknown until a
// report covers a time after countableFrom.
func (x endpointSlots) invalidateCount(countableFrom time.Time) endpointSlots {
	x.countableFrom = later(x.countableFrom, countableFrom)
	x.counted = false
	return x
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
