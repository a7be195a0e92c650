package poison

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	claimRetryDelay = 50 * time.Millisecond // before a delayed claim is repeated
	// crashPropagationDelay is the time after a crash in which its suspects wait.
	// Otherwise a suspect could be sent to the crashed endpoint by a router that
	// does not know of the crash yet, and be suspected of it.
	crashPropagationDelay = 250 * time.Millisecond
	maxHarmless           = 65536 // bodies recorded as harmless
)

// Claim asks the owner of a body, before each run, whether the body may run. The
// owner is the live router selected by rendezvous hashing of the fingerprint.
type Claim struct {
	Fingerprint ident.Fingerprint `json:"fingerprint"`
	Router      ident.RouterID    `json:"router"`
	Attempt     ident.AttemptID   `json:"attempt"`
}

// ClaimEnd reports to the owner of a body that a claimed run has ended.
type ClaimEnd struct {
	Fingerprint ident.Fingerprint `json:"fingerprint"`
	Attempt     ident.AttemptID   `json:"attempt"`
	Complete    bool              `json:"whole"` // the final frame was received
	Crashed     *Incarnation      `json:"died"`  // the incarnation of the endpoint that crashed during the run, if any
}

// Answer is the owner's answer to a claim: Run, Wait or Refuse.
type Answer interface{ answer() }

// Run allows the run. If Isolated is set, the endpoint must run nothing else.
type Run struct{ Isolated bool }

// Wait defers the run: the claim is to be repeated when other runs of the body have
// ended or a recent crash is known to all routers.
type Wait struct{ RetryAfter time.Duration }

// Refuse forbids the run: the body is suspected of two crashes.
type Refuse struct{}

func (Run) answer()    {}
func (Wait) answer()   {}
func (Refuse) answer() {}

// Owner answers the claims for the bodies that this router owns. It limits the
// crashes of a body to two, however many routers receive it at once: a body that
// has never completed a run has at most as many open runs as it has crashes left.
// It is not safe for concurrent use; only the control loop uses it.
type Owner struct {
	table    *CrashTable
	expiry   time.Duration // after which an open claim counts as ended
	open     map[ident.Fingerprint]map[ident.AttemptID]run
	harmless map[ident.Fingerprint]time.Time
}

// run is a claim that was answered with Run.
type run struct {
	started  time.Time
	expires  time.Time
	isolated bool
	crashes  []Incarnation // that counted against the body when the run started
}

// NewOwner returns an Owner that uses and updates a router's crash table. Claims
// expire after expiry, which must be longer than the deadline of any request.
func NewOwner(table *CrashTable, expiry time.Duration) *Owner {
	return &Owner{
		table:    table,
		expiry:   expiry,
		open:     make(map[ident.Fingerprint]map[ident.AttemptID]run),
		harmless: make(map[ident.Fingerprint]time.Time),
	}
}

// Claim returns the answer to a claim. A repeated claim of an open run gets the
// same answer again.
func (o *Owner) Claim(now time.Time, c Claim) Answer {
	o.expire(now, c.Fingerprint)
	runs := o.open[c.Fingerprint]
	if r, again := runs[c.Attempt]; again {
		return Run{Isolated: r.isolated}
	}
	suspicion := o.table.Suspicion(now, c.Fingerprint)
	if suspicion != fleet.SuspicionNone {
		delete(o.harmless, c.Fingerprint)
	}
	switch suspicion {
	case fleet.SuspicionRefused:
		return Refuse{}
	case fleet.SuspicionIsolated:
		if len(runs) > 0 {
			return Wait{RetryAfter: claimRetryDelay}
		}
		if remaining := crashPropagationDelay - now.Sub(o.table.latestCrash(c.Fingerprint)); remaining > 0 {
			return Wait{RetryAfter: remaining}
		}
		o.startRun(now, c, true)
		return Run{Isolated: true}
	case fleet.SuspicionNone:
	}
	if _, harmless := o.harmless[c.Fingerprint]; !harmless && len(runs) >= refusalCrashes {
		return Wait{RetryAfter: claimRetryDelay}
	}
	o.startRun(now, c, false)
	return Run{}
}

// End records the end of a claimed run.
func (o *Owner) End(now time.Time, e ClaimEnd) {
	if e.Crashed != nil && !o.startedAfterCrash(e) {
		o.table.Record(now, *e.Crashed, []ident.Fingerprint{e.Fingerprint})
	}
	if r, ok := o.open[e.Fingerprint][e.Attempt]; ok && e.Complete {
		o.markHarmless(now, e.Fingerprint, r)
	}
	delete(o.open[e.Fingerprint], e.Attempt)
	if len(o.open[e.Fingerprint]) == 0 {
		delete(o.open, e.Fingerprint)
	}
}

// startedAfterCrash reports whether the run started after the crash was known,
// so that it cannot have caused the crash.
func (o *Owner) startedAfterCrash(e ClaimEnd) bool {
	r, open := o.open[e.Fingerprint][e.Attempt]
	crashedAt, known := o.table.CrashTime(*e.Crashed)
	return open && known && r.started.After(crashedAt)
}

func (o *Owner) startRun(now time.Time, c Claim, isolated bool) {
	if o.open[c.Fingerprint] == nil {
		o.open[c.Fingerprint] = make(map[ident.AttemptID]run, 1)
	}
	o.open[c.Fingerprint][c.Attempt] = run{
		started:  now,
		expires:  now.Add(o.expiry),
		isolated: isolated,
		crashes:  o.table.UnclearedCrashes(now, c.Fingerprint),
	}
}

// markHarmless records that a run of the body was completed. If it ran alone,
// the crashes known when it started are cleared.
func (o *Owner) markHarmless(now time.Time, body ident.Fingerprint, r run) {
	if r.isolated {
		o.table.Clear(now, body, r.crashes)
	}
	if len(o.harmless) >= maxHarmless {
		clear(o.harmless) // only delays some bodies that run often
	}
	o.harmless[body] = now
}

// expire ends the claims of a body that are past their expiry.
func (o *Owner) expire(now time.Time, body ident.Fingerprint) {
	for id, r := range o.open[body] {
		if !now.Before(r.expires) {
			delete(o.open[body], id)
		}
	}
}
