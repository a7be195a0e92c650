package poison

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// maxRunCrashes is the number of crashes from which a request is not run again.
// Without isolated runs a request is suspected of each crash that it shared an
// endpoint with, so one more is needed than for an Owner.
const maxRunCrashes = 3

// Cause is what of a request crashes endpoints.
type Cause int

// The causes.
const (
	CauseNone    Cause = iota
	CauseRequest       // the request as a whole
	CausePart          // a part of its prompt
)

// Subject is what of a request may crash the endpoints that run it: the request as a
// whole, or a part of its prompt.
type Subject struct {
	Fingerprint ident.Fingerprint // see RequestFingerprint
	Service     ident.ServiceID
	Parts       []string // ids of the parts of its prompt that other requests may share
}

// partFingerprints returns the fingerprints of the parts.
func (s Subject) partFingerprints() []ident.Fingerprint {
	list := make([]ident.Fingerprint, len(s.Parts))
	for i, part := range s.Parts {
		list[i] = PartFingerprint(s.Service, part)
	}
	return list
}

// RunEnd is the end of a run of a request at an endpoint.
type RunEnd struct {
	Subject
	Incarnation Incarnation
	Started     time.Time
	Began       time.Time // when its answer began, zero if it did not
	Broke       bool      // the connection ended before the answer did
	Complete    bool      // the answer came whole, and is no error of the endpoint
	Withdrawn   bool      // the router stopped waiting for the answer, see WithdrawnRuns
}

// RunTable decides which requests are not run again since endpoints ended while
// they ran. It serves routers that do not ask an owner before each run: a run that
// breaks counts as a crash at once, and is cleared when the endpoint turns out to be
// alive or when the request completes elsewhere. It answers requests that come again
// and again, at any router. It is not safe for concurrent use.
type RunTable struct{ crashes *CrashTable }

// NewRunTable returns an empty table that keeps crashes for lifetime.
func NewRunTable(lifetime time.Duration) *RunTable {
	return &RunTable{crashes: NewCrashTable(lifetime)}
}

// Observe records the end of a run. One that was withdrawn tells nothing. It reports
// whether the end clears any request of a crash.
func (t *RunTable) Observe(now time.Time, r RunEnd) (cleared bool) {
	if r.Withdrawn {
		return false
	}
	if r.Broke {
		t.crashes.Record(now, r.Incarnation, []ident.Fingerprint{r.Fingerprint})
		return false
	}
	cleared = t.crashes.RecordLife(now, r.Incarnation, r.Started)
	if r.Complete {
		cleared = t.crashes.Clear(now, r.Fingerprint, t.crashes.UnclearedCrashes(now, r.Fingerprint)) || cleared
	}
	return cleared
}

// RecordEnd records that an incarnation has ended, whatever it ran.
func (t *RunTable) RecordEnd(now time.Time, i Incarnation) { t.crashes.Record(now, i, nil) }

// RecordEntries records which incarnations are announced, see PartTable.RecordEntries. It
// returns those whose crash was none and counted against a request.
func (t *RunTable) RecordEntries(now, lived time.Time, announced func(Incarnation) bool) []Incarnation {
	return t.crashes.RecordEntries(now, lived, announced)
}

// CrashTime returns when an incarnation crashed, as far as this router knows, or false if
// it does not count as crashed.
func (t *RunTable) CrashTime(i Incarnation) (time.Time, bool) { return t.crashes.CrashTime(i) }

// CrashCount returns the number of endpoints that count as crashed by a request: those
// whose crash no other cause explains.
func (t *RunTable) CrashCount(now time.Time, f ident.Fingerprint, explained func(Incarnation) bool) int {
	n := 0
	for _, i := range t.crashes.UnclearedCrashes(now, f) {
		if !explained(i) {
			n++
		}
	}
	return n
}

// Refused reports whether a request is not run again, given the crashes that another
// cause explains.
func (t *RunTable) Refused(now time.Time, f ident.Fingerprint, explained func(Incarnation) bool) bool {
	return t.CrashCount(now, f, explained) >= maxRunCrashes
}

// Delta returns the changes after a revision, and the current revision.
func (t *RunTable) Delta(now time.Time, since Revision) (Delta, Revision) {
	return t.crashes.Delta(now, since)
}

// Merge merges another router's changes.
func (t *RunTable) Merge(now time.Time, d Delta) { t.crashes.Merge(now, d) }

// RequestFingerprint returns the hash of a request: the same caller, target and body
// give the same one.
func RequestFingerprint(team ident.TeamID, method, host, target string, body ...[]byte) ident.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{string(team), method, host, target} {
		_, _ = h.WriteString(part) // never fails
		_, _ = h.Write([]byte{0})
	}
	for _, part := range body {
		_, _ = h.Write(part)
	}
	return ident.Fingerprint(h.Sum64())
}
