// Package sess keeps a session on the model version that it started with, and
// reports when a withdrawal moves it to another one.
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
	Moves      uint32           `json:"moves"` // number of withdrawals that have moved the session
	Generation ident.Generation `json:"generation"`
	Issued     time.Time        `json:"issued"`
}

// Resolution is the binding to use for a request.
type Resolution struct {
	Binding Binding
	Moved   bool            // a withdrawal moved the session, which the answer must report
	From    ident.VersionID // the version that the session was moved from
	Renew   bool            // the binding must be sent to the caller and the home routers
}

// Inputs are the inputs of Resolve for one request of a session.
type Inputs struct {
	Session ident.SessionKey
	Model   ident.ModelID
	Team    *fleet.Team
	Token   *Binding        // binding in the caller's token, or nil
	Cached  *Binding        // binding cached by the home routers, or nil
	Chosen  ident.VersionID // version that a new session would get now
}

// Resolve returns the version for a session's request: the one that the session is
// bound to, or the chosen one if it is not bound or its version was withdrawn. The
// progress, pause or abort of a roll-out moves no session.
func Resolve(now time.Time, snapshot *fleet.Snapshot, inputs Inputs) Resolution {
	bound := latest(inputs.matching(inputs.Token), inputs.matching(inputs.Cached))
	if bound != nil && inputs.allows(snapshot, bound) {
		known := inputs.Token != nil && *inputs.Token == *bound
		return Resolution{Binding: *bound, Renew: !known}
	}
	fresh := Binding{
		Session:    inputs.Session,
		Model:      inputs.Model,
		Version:    inputs.Chosen,
		Generation: snapshot.Config.Generation,
		Issued:     now,
	}
	if bound == nil {
		return Resolution{Binding: fresh, Renew: true}
	}
	fresh.Moves = bound.Moves + 1
	return Resolution{Binding: fresh, Moved: true, From: bound.Version, Renew: true}
}

// allows reports whether a bound version may still run the session's requests.
func (i *Inputs) allows(snapshot *fleet.Snapshot, bound *Binding) bool {
	release := ident.Release{Model: i.Model, Version: bound.Version}
	return snapshot.Allowed(release) && i.Team.Allows(release)
}

// matching returns the binding, or nil if it is of another session or model.
func (i *Inputs) matching(b *Binding) *Binding {
	if b == nil || b.Session != i.Session || b.Model != i.Model {
		return nil
	}
	return b
}

// latest returns the binding with more moves. Of two bindings that two routers
// created concurrently it returns the one issued first, then the one with the
// lesser version, so that all routers agree.
func latest(a, b *Binding) *Binding {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.Moves != b.Moves:
		return choose(a.Moves > b.Moves, a, b)
	case !a.Issued.Equal(b.Issued):
		return choose(a.Issued.Before(b.Issued), a, b)
	}
	return choose(a.Version <= b.Version, a, b)
}

func choose(first bool, a, b *Binding) *Binding {
	if first {
		return a
	}
	return b
}
