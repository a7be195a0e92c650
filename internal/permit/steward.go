package permit

import (
	"fmt"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const shortPause = 100 * time.Millisecond // before a denied question is asked again

// Steward is a router's part in the stewardship of one availability zone. Each
// router has one; at most one of them grants at a time. It is owned by the
// control thread.
type Steward struct {
	self     ident.RouterID
	settings Settings
	place    int

	version plat.Version // of lease
	lease   Lease
	known   bool      // whether the object was ever read
	reread  time.Time // when a first read was last asked for
	seen    time.Time // when version was first seen here

	writes map[string]write // unconfirmed, by nonce
	count  int              // of writes, for nonces
	last   time.Time        // when the last write was sent

	until    time.Time // the own lease is certain before then
	quiet    time.Time // no grants before then
	stopping bool
	slots    slots
}

type write struct {
	lease Lease
	sent  time.Time
}

// New gives the part of router self in a zone's stewardship.
func New(self ident.RouterID, settings Settings) *Steward {
	return &Steward{
		self:     self,
		settings: settings,
		writes:   make(map[string]write),
		slots:    slots{settings: settings, endpoints: make(map[ident.EndpointID]endpoint)},
	}
}

// Step takes in an event and gives the actions that follow from it.
func (s *Steward) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case LeaseRead:
		return s.read(now, e)
	case WriteCompleted:
		return s.wrote(now, e)
	case Request:
		return []Action{s.asked(now, e)}
	case Release:
		s.slots.release(e)
		return s.tick(now)
	case EndpointObserved:
		s.slots.see(now, e)
	case RankChanged:
		s.place = e.Rank
	case Tick:
		return s.tick(now)
	case Stop:
		s.stopping = true
		return s.tick(now)
	}
	return nil
}

// Holds tells whether this router is certain to be the steward.
func (s *Steward) HoldsLease(now time.Time) bool {
	return now.Before(s.until)
}

// Until gives the time before which the own lease is certain, as a bound for
// orders that carry the term.
func (s *Steward) LeaseEnd() time.Time { return s.until }

// Term gives the term of the newest lease seen.
func (s *Steward) Term() ident.Term { return s.lease.Term }

// Holder gives the router that the newest lease names, to which questions go.
func (s *Steward) Holder() ident.RouterID { return s.lease.Holder }

func (s *Steward) read(now time.Time, e LeaseRead) []Action {
	if s.known && e.Version <= s.version {
		return nil
	}
	s.adopt(now, e.Lease, e.Version)
	return nil
}

func (s *Steward) wrote(now time.Time, e WriteCompleted) []Action {
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

// adopt takes over a newer version of the object. If it is an own write, the
// lease is extended from when that write was sent. A lease that lapsed without
// anyone taking it is gone on with: the own count of slots is still whole.
func (s *Steward) adopt(now time.Time, l Lease, v plat.Version) {
	before := s.lease
	s.lease, s.version, s.seen, s.known = l, v, now, true
	w, own := s.writes[l.Nonce]
	if !own || l.Holder != s.self {
		s.lose()
		return
	}
	if l.Term != before.Term && before.Holder != s.self {
		s.begin(before, w.sent)
	}
	s.until = w.sent.Add(s.settings.LeaseDuration - s.settings.SafetyMargin)
	clear(s.writes)
}

// begin starts a term: permits of the holder before may be in use until its
// longest permit has lapsed.
func (s *Steward) begin(before Lease, sent time.Time) {
	s.quiet = sent
	if !before.Clean && before.Term > 0 {
		s.quiet = sent.Add(max(before.PermitLifetime, s.settings.PermitLifetime()) + s.settings.SafetyMargin)
	}
	s.slots.reset(s.quiet)
}

func (s *Steward) lose() {
	s.until = time.Time{}
	clear(s.writes)
}

func (s *Steward) tick(now time.Time) []Action {
	s.slots.lapse(now)
	switch {
	case s.known && s.lease.Holder == s.self:
		return s.keep(now)
	case !s.known:
		return s.learn(now)
	case s.stopping || !s.due(now) || now.Before(s.vacant()):
		return nil
	}
	return []Action{s.write(now, Lease{Holder: s.self, Term: s.lease.Term + 1, PermitLifetime: s.settings.PermitLifetime()})}
}

// learn asks for a first read, again after a while if none has come.
func (s *Steward) learn(now time.Time) []Action {
	if now.Before(s.reread.Add(s.settings.RenewInterval)) {
		return nil
	}
	s.reread = now
	return []Action{ReadLease{}}
}

// keep renews the own lease, or gives it up when stopping.
func (s *Steward) keep(now time.Time) []Action {
	l := s.lease
	switch {
	case s.stopping && s.idle(now):
		l.Holder, l.Clean = "", true
		s.until = time.Time{}
	case !s.due(now):
		return nil
	case !s.HoldsLease(now):
		l.Term++ // orders under the lapsed term must not count any more
	}
	return []Action{s.write(now, l)}
}

// idle tells whether no permit can be in use, of this term or an earlier one.
func (s *Steward) idle(now time.Time) bool {
	return s.HoldsLease(now) && !now.Before(s.quiet) && s.slots.empty()
}

// due tells whether the last write is long enough ago.
func (s *Steward) due(now time.Time) bool {
	return !now.Before(s.last.Add(s.settings.RenewInterval))
}

// vacant is when this router may take the lease: at once if it was given up,
// else when its holder has let it lapse, later for each place behind the first.
func (s *Steward) vacant() time.Time {
	stagger := time.Duration(s.place) * s.settings.RenewInterval
	if s.lease.Clean || s.version == 0 {
		return s.seen.Add(stagger)
	}
	return s.seen.Add(s.settings.LeaseDuration + stagger)
}

func (s *Steward) write(now time.Time, l Lease) WriteLease {
	s.count++
	l.Nonce = fmt.Sprintf("%s.%d", s.self, s.count)
	s.writes[l.Nonce] = write{lease: l, sent: now}
	s.last = now
	return WriteLease{Lease: l, ExpectedVersion: s.version}
}

func (s *Steward) asked(now time.Time, e Request) Action {
	deny := Deny{Router: e.Router, Attempt: e.Attempt, Endpoint: e.Endpoint, RetryAfter: shortPause}
	switch {
	case !s.HoldsLease(now) || s.stopping:
		deny.Reason = ReasonNotSteward
		return deny
	case now.Before(s.quiet):
		deny.Reason, deny.RetryAfter = ReasonEarlierPermits, s.quiet.Sub(now)
		return deny
	}
	if reason := s.slots.take(now, e); reason != "" {
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
