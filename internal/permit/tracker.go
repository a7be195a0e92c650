package permit

import (
	"sort"
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Tracker tracks a router's permit requests and permits. It is safe for concurrent
// use.
type Tracker struct {
	lock    sync.Mutex
	self    ident.RouterID
	margin  time.Duration
	entries map[ident.AttemptID]*trackedPermit
}

// trackedPermit is the state of one attempt's permit.
type trackedPermit struct {
	endpoint   ident.EndpointID
	requested  time.Time // when the newest request was sent
	granted    bool
	sendBy     time.Time // deadline for sending the attempt
	endBy      time.Time // deadline for the end of the attempt, once sent
	sent       bool
	runTimeout time.Duration
}

// NewTracker returns a tracker without permits. The margin shortens each run, to
// leave time for its cancellation on the endpoint.
func NewTracker(self ident.RouterID, margin time.Duration) *Tracker {
	return &Tracker{self: self, margin: margin, entries: make(map[ident.AttemptID]*trackedPermit)}
}

// Request records and returns a permit request that is about to be sent. For an
// attempt that is already sent, it requests an extension.
func (t *Tracker) Request(now time.Time, attempt ident.AttemptID, endpoint ident.EndpointID) Request {
	t.lock.Lock()
	defer t.lock.Unlock()
	x := t.entries[attempt]
	if x == nil {
		x = &trackedPermit{endpoint: endpoint}
		t.entries[attempt] = x
	}
	x.requested = now
	return Request{Router: t.self, Attempt: attempt, Endpoint: endpoint}
}

// ApplyPermit records a permit and reports whether it is usable. An unusable one
// should be released at once.
func (t *Tracker) ApplyPermit(now time.Time, p Permit) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	x := t.entries[p.Attempt]
	if x == nil || x.endpoint != p.Endpoint || p.Router != t.self {
		return false
	}
	if x.sent {
		x.endBy = x.requested.Add(p.StartTimeout + p.RunTimeout - t.margin)
		return true
	}
	x.sendBy = x.requested.Add(p.StartTimeout)
	x.runTimeout = p.RunTimeout
	x.granted = now.Before(x.sendBy)
	return x.granted
}

// MarkSent reports whether the attempt may still be sent, and marks it as sent if
// so. It must be called immediately before sending.
func (t *Tracker) MarkSent(now time.Time, attempt ident.AttemptID) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	x := t.entries[attempt]
	if x == nil || !x.granted || x.sent || !now.Before(x.sendBy) {
		return false
	}
	x.sent = true
	x.endBy = now.Add(x.runTimeout - t.margin)
	return true
}

// Expiring returns the sent attempts that must end within lead, sorted by id.
// Their permits must be extended or the attempts cancelled.
func (t *Tracker) Expiring(now time.Time, lead time.Duration) []ident.AttemptID {
	t.lock.Lock()
	defer t.lock.Unlock()
	var expiring []ident.AttemptID
	for id, x := range t.entries {
		if x.sent && !now.Add(lead).Before(x.endBy) {
			expiring = append(expiring, id)
		}
	}
	sort.Slice(expiring, func(i, j int) bool { return expiring[i] < expiring[j] })
	return expiring
}

// Release removes an attempt that has ended or will not be sent, and returns the
// release for the steward, or false if the attempt is unknown.
func (t *Tracker) Release(attempt ident.AttemptID) (Release, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	x := t.entries[attempt]
	if x == nil {
		return Release{}, false
	}
	delete(t.entries, attempt)
	return Release{Endpoint: x.endpoint, Attempt: attempt}, true
}
