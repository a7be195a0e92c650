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

// Resolve gives the version to run a session's request on: the one that the
// session is bound to, by the caller's token or the routers' memory, or, for a
// new or moved session, the one chosen by hash. token and remembered may be
// nil.
func Resolve(now time.Time, snapshot *fleet.Snapshot, session ident.SessionKey, model ident.ModelID, token, remembered *Binding, chosen ident.VersionID) Resolution {
	bound := newer(matching(token, session, model), matching(remembered, session, model))
	if bound != nil && snapshot.Allowed(ident.Release{Model: model, Version: bound.Version}) {
		return Resolution{Binding: *bound, Renew: bound != token && token == nil}
	}
	fresh := Binding{Session: session, Model: model, Version: chosen, Generation: snapshot.Config.Generation, Issued: now}
	if bound == nil {
		return Resolution{Binding: fresh, Renew: true}
	}
	fresh.Moves = bound.Moves + 1
	return Resolution{Binding: fresh, Moved: true, From: bound.Version, Renew: true}
}

// matching gives the binding unless it is of another session or model.
func matching(b *Binding, session ident.SessionKey, model ident.ModelID) *Binding {
	if b == nil || b.Session != session || b.Model != model {
		return nil
	}
	return b
}

// newer gives the binding that more withdrawals have led to; of two that
// differ otherwise, the one first issued, which every router chooses alike.
func newer(a, b *Binding) *Binding {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.Moves != b.Moves:
		if a.Moves > b.Moves {
			return a
		}
		return b
	case b.Issued.Before(a.Issued):
		return b
	}
	return a
}
