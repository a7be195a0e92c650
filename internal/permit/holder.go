package permit

import (
	"sort"
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Holder keeps a router's questions and permits. It is safe for use by many
// goroutines.
type Tracker struct {
	lock   sync.Mutex
	self   ident.RouterID
	margin time.Duration
	held   map[ident.AttemptID]*held
}

type held struct {
	endpoint ident.EndpointID
	asked    time.Time // when the newest question was sent
	granted  bool
	start    time.Time // it must be sent before then
	end      time.Time // it must have ended before then, once it is sent
	sent     bool
	run      time.Duration
}

// NewHolder gives a router's holder without permits. The margin shortens each
// run, to leave time for cancelling it on the endpoint.
func NewTracker(self ident.RouterID, margin time.Duration) *Tracker {
	return &Tracker{self: self, margin: margin, held: make(map[ident.AttemptID]*held)}
}

// Ask notes a question that is about to be sent, and gives it. Asked again for
// an attempt that was sent, it prolongs the run.
func (h *Tracker) Request(now time.Time, attempt ident.AttemptID, endpoint ident.EndpointID) Request {
	h.lock.Lock()
	defer h.lock.Unlock()
	x := h.held[attempt]
	if x == nil {
		x = &held{endpoint: endpoint}
		h.held[attempt] = x
	}
	x.asked = now
	return Request{Router: h.self, Attempt: attempt, Endpoint: endpoint}
}

// Granted takes in a permit, and tells whether it is of use. One that is not
// should be released at once.
func (h *Tracker) ApplyPermit(now time.Time, p Permit) bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	x := h.held[p.Attempt]
	if x == nil || x.endpoint != p.Endpoint || p.Router != h.self {
		return false
	}
	if x.sent {
		x.end = x.asked.Add(p.StartTimeout + p.RunTimeout - h.margin)
		return true
	}
	x.start = x.asked.Add(p.StartTimeout)
	x.run = p.RunTimeout
	x.granted = now.Before(x.start)
	return x.granted
}

// Check tells, right before sending, whether the attempt may still be sent,
// and notes it as sent if so.
func (h *Tracker) MarkSent(now time.Time, attempt ident.AttemptID) bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	x := h.held[attempt]
	if x == nil || !x.granted || x.sent || !now.Before(x.start) {
		return false
	}
	x.sent = true
	x.end = now.Add(x.run - h.margin)
	return true
}

// Ending gives the attempts that are sent and must end within lead, sorted, so
// that their permits are prolonged, or else the attempts cancelled.
func (h *Tracker) Expiring(now time.Time, lead time.Duration) []ident.AttemptID {
	h.lock.Lock()
	defer h.lock.Unlock()
	var ending []ident.AttemptID
	for id, x := range h.held {
		if x.sent && !now.Add(lead).Before(x.end) {
			ending = append(ending, id)
		}
	}
	sort.Slice(ending, func(i, j int) bool { return ending[i] < ending[j] })
	return ending
}

// Done forgets an attempt that has ended or will not be sent, and gives the
// release for the steward.
func (h *Tracker) Release(attempt ident.AttemptID) (Release, bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	x := h.held[attempt]
	if x == nil {
		return Release{}, false
	}
	delete(h.held, attempt)
	return Release{Endpoint: x.endpoint, Attempt: attempt}, true
}
