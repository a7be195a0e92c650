package poison

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	claimPause = 50 * time.Millisecond // before a claim that must wait is made again
	// settlePause is the time after a death in which its suspects wait, so that
	// none is sent to an endpoint whose death has not been heard of everywhere,
	// and blamed for it.
	settlePause = 250 * time.Millisecond
	maxProven   = 65536 // bodies remembered as harmless
)

// Claim asks a body's home, before each run, whether the body may run. The home
// is the live router that rendezvous hashing of the fingerprint names.
type Claim struct {
	Fingerprint ident.Fingerprint `json:"fingerprint"`
	Router      ident.RouterID    `json:"router"`
	Attempt     ident.AttemptID   `json:"attempt"`
}

// Ended tells a body's home that a claimed run has ended.
type Ended struct {
	Fingerprint ident.Fingerprint `json:"fingerprint"`
	Attempt     ident.AttemptID   `json:"attempt"`
	Whole       bool              `json:"whole"` // with its final frame
	Died        *Boot             `json:"died"`  // the endpoint's life that ended with it, if one did
}

// Answer is the home's answer to a claim: Run, Wait or Refuse.
type Answer interface{ answer() }

// Run allows the run; Alone only on an endpoint with nothing else.
type Run struct{ Alone bool }

// Wait means to claim again later: other runs of the body must end first.
type Wait struct{ RetryAfter time.Duration }

// Refuse means that the body has crashed two endpoints and must not run.
type Refuse struct{}

func (Run) answer()    {}
func (Wait) answer()   {}
func (Refuse) answer() {}

// Home decides for the bodies whose home this router is. It keeps the crashes
// of a body at two or fewer, however many routers get it at once: a body that
// has never run to its end has at most as many runs open as it has crashes left.
// It is owned by the control thread.
type Home struct {
	table  *Table
	expiry time.Duration // a claim not ended by then is taken for ended
	open   map[ident.Fingerprint]map[ident.AttemptID]run
	proven map[ident.Fingerprint]time.Time
}

// run is a claim that was answered with Run.
type run struct {
	began  time.Time
	until  time.Time
	alone  bool
	deaths []Boot // that counted against the body when the run began
}

// NewHome gives a home over a router's table. A claim lives for expiry, which
// must be longer than any request's deadline.
func NewHome(table *Table, expiry time.Duration) *Home {
	return &Home{
		table:  table,
		expiry: expiry,
		open:   make(map[ident.Fingerprint]map[ident.AttemptID]run),
		proven: make(map[ident.Fingerprint]time.Time),
	}
}

// Claim answers a claim.
func (h *Home) Claim(now time.Time, c Claim) Answer {
	h.expire(now, c.Fingerprint)
	runs := h.open[c.Fingerprint]
	if r, again := runs[c.Attempt]; again {
		return Run{Alone: r.alone}
	}
	suspicion := h.table.Suspicion(now, c.Fingerprint)
	if suspicion != fleet.SuspicionNone {
		delete(h.proven, c.Fingerprint)
	}
	switch suspicion {
	case fleet.SuspicionRefused:
		return Refuse{}
	case fleet.SuspicionIsolated:
		if len(runs) > 0 {
			return Wait{RetryAfter: claimPause}
		}
		if rest := settlePause - now.Sub(h.table.newest(c.Fingerprint)); rest > 0 {
			return Wait{RetryAfter: rest}
		}
		h.begin(now, c, true)
		return Run{Alone: true}
	case fleet.SuspicionNone:
	}
	if _, harmless := h.proven[c.Fingerprint]; !harmless && len(runs) >= refusedDeaths {
		return Wait{RetryAfter: claimPause}
	}
	h.begin(now, c, false)
	return Run{}
}

// End takes in the end of a claimed run.
func (h *Home) End(now time.Time, e Ended) {
	if e.Died != nil && !h.after(e) {
		h.table.Record(now, *e.Died, []ident.Fingerprint{e.Fingerprint})
	}
	if r, ok := h.open[e.Fingerprint][e.Attempt]; ok && e.Whole {
		h.prove(now, e.Fingerprint, r)
	}
	delete(h.open[e.Fingerprint], e.Attempt)
	if len(h.open[e.Fingerprint]) == 0 {
		delete(h.open, e.Fingerprint)
	}
}

// after tells whether the run began when the endpoint's life was known to be
// over, so that it cannot have ended that life.
func (h *Home) after(e Ended) bool {
	r, open := h.open[e.Fingerprint][e.Attempt]
	died, known := h.table.died(*e.Died)
	return open && known && r.began.After(died)
}

func (h *Home) begin(now time.Time, c Claim, alone bool) {
	if h.open[c.Fingerprint] == nil {
		h.open[c.Fingerprint] = make(map[ident.AttemptID]run, 1)
	}
	h.open[c.Fingerprint][c.Attempt] = run{
		began:  now,
		until:  now.Add(h.expiry),
		alone:  alone,
		deaths: h.table.Known(now, c.Fingerprint),
	}
}

// prove remembers that a run of the body came to its end. If it ran alone, the
// deaths known when it began were not its doing.
func (h *Home) prove(now time.Time, body ident.Fingerprint, r run) {
	if r.alone {
		h.table.Clear(now, body, r.deaths)
	}
	if len(h.proven) >= maxProven {
		clear(h.proven) // costs a wait for some bodies that run often, and nothing else
	}
	h.proven[body] = now
}

func (h *Home) expire(now time.Time, body ident.Fingerprint) {
	for id, r := range h.open[body] {
		if !now.Before(r.until) {
			delete(h.open[body], id)
		}
	}
}
