package permit

import (
	"fmt"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const denyRetryAfter = 100 * time.Millisecond // delay before a denied request is repeated

// Steward is a router's state machine for the steward lease of one availability
// zone. Each router has one; at most one of them grants at a time. It is not safe
// for concurrent use.
type Steward struct {
	self     ident.RouterID
	settings Settings
	rank     int // among the candidates for the lease

	version       plat.Version // of lease
	lease         Lease
	leaseKnown    bool      // whether the object has been read
	readRequested time.Time // when the first read was last requested
	versionSeen   time.Time // when this router first saw version

	writes     map[string]pendingWrite // unconfirmed, by nonce
	writeCount int                     // number of writes, for nonces
	lastWrite  time.Time               // when the last write was sent

	leaseEnd   time.Time // until then this router certainly holds the lease
	grantsFrom time.Time // earliest time of a grant
	stopping   bool
	slots      slotTable
}

// pendingWrite is a write of the lease without a confirmed result.
type pendingWrite struct {
	lease Lease
	sent  time.Time
}

// New returns the state machine of router self for one zone.
func New(self ident.RouterID, settings Settings) *Steward {
	return &Steward{
		self:     self,
		settings: settings,
		writes:   make(map[string]pendingWrite),
		slots:    slotTable{settings: settings, endpoints: make(map[ident.EndpointID]endpointSlots)},
	}
}

// Step applies an event and returns the resulting actions.
func (s *Steward) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case LeaseRead:
		return s.handleRead(now, e)
	case WriteCompleted:
		return s.handleWrite(now, e)
	case Request:
		return []Action{s.handleRequest(now, e)}
	case Release:
		s.slots.release(e)
		return s.tick(now)
	case EndpointObserved:
		s.slots.observe(now, e)
	case RankChanged:
		s.rank = e.Rank
	case Tick:
		return s.tick(now)
	case Stop:
		s.stopping = true
		return s.tick(now)
	}
	return nil
}

// HoldsLease reports whether this router certainly holds the lease.
func (s *Steward) HoldsLease(now time.Time) bool {
	return now.Before(s.leaseEnd)
}

// LeaseEnd returns the time until which this router certainly holds the lease, as
// the expiry of commands that carry the term.
func (s *Steward) LeaseEnd() time.Time { return s.leaseEnd }

// Term returns the term of the newest lease seen.
func (s *Steward) Term() ident.Term { return s.lease.Term }

// Holder returns the holder of the newest lease seen, which receives permit
// requests.
func (s *Steward) Holder() ident.RouterID { return s.lease.Holder }

func (s *Steward) handleRead(now time.Time, e LeaseRead) []Action {
	if s.leaseKnown && e.Version <= s.version {
		return nil
	}
	s.adopt(now, e.Lease, e.Version)
	return nil
}

func (s *Steward) handleWrite(now time.Time, e WriteCompleted) []Action {
	switch e.Result {
	case ResultDone:
		if w, ok := s.writes[e.Nonce]; ok && e.Version > s.version {
			s.adopt(now, w.lease, e.Version)
		}
		return nil
	case ResultFailed:
		delete(s.writes, e.Nonce)
		return nil
	case ResultConflict:
		delete(s.writes, e.Nonce)
	case ResultUncertain:
	}
	return []Action{ReadLease{}}
}

// adopt applies a newer version of the object. If this router wrote it, the lease is
// extended from when that write was sent. A lease that expired without a takeover
// is continued, since this router's count of slots is still complete.
func (s *Steward) adopt(now time.Time, l Lease, v plat.Version) {
	before := s.lease
	s.lease, s.version, s.versionSeen, s.leaseKnown = l, v, now, true
	w, own := s.writes[l.Nonce]
	if !own || l.Holder != s.self {
		s.dropLease()
		return
	}
	if l.Term != before.Term && before.Holder != s.self {
		s.startTerm(before, w.sent)
	}
	s.leaseEnd = w.sent.Add(s.settings.LeaseDuration - s.settings.SafetyMargin)
	clear(s.writes)
}

// startTerm starts a term. Permits of the previous holder may be in use until its
// longest permit has expired.
func (s *Steward) startTerm(before Lease, sent time.Time) {
	s.grantsFrom = sent
	if !before.Clean && before.Term > 0 {
		s.grantsFrom = sent.Add(max(before.PermitLifetime, s.settings.PermitLifetime()) + s.settings.SafetyMargin)
	}
	s.slots.startTerm(s.grantsFrom)
}

// dropLease records that this router does not hold the lease.
func (s *Steward) dropLease() {
	s.leaseEnd = time.Time{}
	clear(s.writes)
}

// tick renews the lease if this router holds it, or takes it over once possible.
func (s *Steward) tick(now time.Time) []Action {
	s.slots.expirePermits(now)
	switch {
	case s.leaseKnown && s.lease.Holder == s.self:
		return s.renew(now)
	case !s.leaseKnown:
		return s.requestRead(now)
	case s.stopping || !s.renewalDue(now) || now.Before(s.takeoverTime()):
		return nil
	}
	return []Action{s.newWrite(now, Lease{Holder: s.self, Term: s.lease.Term + 1, PermitLifetime: s.settings.PermitLifetime()})}
}

// requestRead requests the first read of the object, and repeats the request after
// a renewal interval without an answer.
func (s *Steward) requestRead(now time.Time) []Action {
	if now.Before(s.readRequested.Add(s.settings.RenewInterval)) {
		return nil
	}
	s.readRequested = now
	return []Action{ReadLease{}}
}

// renew renews this router's lease, or releases it when stopping.
func (s *Steward) renew(now time.Time) []Action {
	l := s.lease
	switch {
	case s.stopping && s.idle(now):
		l.Holder, l.Clean = "", true
		s.leaseEnd = time.Time{}
	case !s.renewalDue(now):
		return nil
	case !s.HoldsLease(now):
		l.Term++ // invalidates commands of the expired term
	}
	return []Action{s.newWrite(now, l)}
}

// idle reports whether no permit of this or an earlier term can be in use.
func (s *Steward) idle(now time.Time) bool {
	return s.HoldsLease(now) && !now.Before(s.grantsFrom) && s.slots.empty()
}

// renewalDue reports whether the renewal interval has passed since the last write.
func (s *Steward) renewalDue(now time.Time) bool {
	return !now.Before(s.lastWrite.Add(s.settings.RenewInterval))
}

// takeoverTime returns when this router may take over the lease: at once if it was
// released, else when it expires. Candidates of lower rank wait longer.
func (s *Steward) takeoverTime() time.Time {
	stagger := time.Duration(s.rank) * s.settings.RenewInterval
	if s.lease.Clean || s.version == 0 {
		return s.versionSeen.Add(stagger)
	}
	return s.versionSeen.Add(s.settings.LeaseDuration + stagger)
}

// newWrite records and returns a write of the lease.
func (s *Steward) newWrite(now time.Time, l Lease) WriteLease {
	s.writeCount++
	l.Nonce = fmt.Sprintf("%s.%d", s.self, s.writeCount)
	s.writes[l.Nonce] = pendingWrite{lease: l, sent: now}
	s.lastWrite = now
	return WriteLease{Lease: l, ExpectedVersion: s.version}
}

func (s *Steward) handleRequest(now time.Time, e Request) Action {
	deny := Deny{Router: e.Router, Attempt: e.Attempt, Endpoint: e.Endpoint, RetryAfter: denyRetryAfter}
	switch {
	case !s.HoldsLease(now) || s.stopping:
		deny.Reason = ReasonNotSteward
		return deny
	case now.Before(s.grantsFrom):
		deny.Reason, deny.RetryAfter = ReasonEarlierPermits, s.grantsFrom.Sub(now)
		return deny
	}
	if reason := s.slots.occupy(now, e); reason != "" {
		deny.Reason = reason
		return deny
	}
	return Grant{Permit: Permit{
		Endpoint:     e.Endpoint,
		Router:       e.Router,
		Attempt:      e.Attempt,
		Term:         s.lease.Term,
		StartTimeout: s.settings.StartTimeout,
		RunTimeout:   s.settings.RunTimeout,
	}}
}
