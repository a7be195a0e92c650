// Package sess keeps a session on the version of the model that it began with,
// and says so when a withdrawal moves it.
package sess

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Binding is the version that a session is bound to for one model.
type Binding struct {
	Session    ident.SessionKey `json:"session"`
	Model      ident.ModelID    `json:"model"`
	Version    ident.VersionID  `json:"version"`
	Moves      uint32           `json:"moves"` // withdrawals that moved the session so far
	Generation ident.Generation `json:"generation"`
	Issued     time.Time        `json:"issued"`
}

// Resolution is the binding to use for a request.
type Resolution struct {
	Binding Binding
	Moved   bool            // a withdrawal moved the session; the answer must say so
	From    ident.VersionID // the version it moved from
	Renew   bool            // the caller and the home routers must get the new binding
}

// Facts are what is known about a session when one of its requests comes.
type Inputs struct {
	Session    ident.SessionKey
	Model      ident.ModelID
	Team       *fleet.Team
	Token      *Binding        // what the caller's token says, or nil
	Remembered *Binding        // what the home routers remember, or nil
	Chosen     ident.VersionID // what a new session would get now
}

// Resolve gives the version to run a session's request on: the one that the
// session is bound to, or, if it has none or that was withdrawn, the chosen
// one. A roll-out that steps on, is paused or is aborted moves no session.
func Resolve(now time.Time, snapshot *fleet.Snapshot, facts Inputs) Resolution {
	bound := newer(facts.matching(facts.Token), facts.matching(facts.Remembered))
	if bound != nil && facts.keeps(snapshot, bound) {
		known := facts.Token != nil && *facts.Token == *bound
		return Resolution{Binding: *bound, Renew: !known}
	}
	fresh := Binding{
		Session:    facts.Session,
		Model:      facts.Model,
		Version:    facts.Chosen,
		Generation: snapshot.Config.Generation,
		Issued:     now,
	}
	if bound == nil {
		return Resolution{Binding: fresh, Renew: true}
	}
	fresh.Moves = bound.Moves + 1
	return Resolution{Binding: fresh, Moved: true, From: bound.Version, Renew: true}
}

// keeps tells whether a bound version may still run the session's requests.
func (f *Inputs) keeps(snapshot *fleet.Snapshot, bound *Binding) bool {
	release := ident.Release{Model: f.Model, Version: bound.Version}
	return snapshot.Allowed(release) && f.Team.Allows(release)
}

// matching gives the binding unless it is of another session or model.
func (f *Inputs) matching(b *Binding) *Binding {
	if b == nil || b.Session != f.Session || b.Model != f.Model {
		return nil
	}
	return b
}

// newer gives the binding that more withdrawals have led to. Of two that were
// made at once by two routers it gives the one first issued, then the one with
// the lesser version, so that all routers settle on the same.
func newer(a, b *Binding) *Binding {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.Moves != b.Moves:
		return pick(a.Moves > b.Moves, a, b)
	case !a.Issued.Equal(b.Issued):
		return pick(a.Issued.Before(b.Issued), a, b)
	}
	return pick(a.Version <= b.Version, a, b)
}

func pick(first bool, a, b *Binding) *Binding {
	if first {
		return a
	}
	return b
}
