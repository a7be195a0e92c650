package shard

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Result answers a proposed record.
type Result interface {
	isResult()
}

// Granted means that the claim is durable and its proposer alone may send the
// request.
type Granted struct{}

// Taken means that the key is claimed by another nonce. Without an outcome it
// is not known whether the request ran.
type Taken struct {
	By      Claim    `json:"by"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Released means that the claim's own nonce was released before; the claim
// has no effect and the request must not be sent.
type Released struct{}

// Durable means that an outcome, bill or release is in the journal.
type Durable struct{}

// Bound gives the version that the session is tied to, which may differ from
// the one proposed.
type Bound struct {
	Version ident.VersionID `json:"version"`
}

// Unavailable means that the record was not taken in, and After is the time
// to come back in. With Written a claim may be in the journal all the same,
// and its proposer must release it. It does not say that no other claim of the
// key exists. With Full the queue was full, and no other router should try.
type Unavailable struct {
	After   time.Duration `json:"after"`
	Full    bool          `json:"full,omitempty"`
	Written bool          `json:"written,omitempty"`
}

// Queued means that the record waits in memory until the platform is back.
type Queued struct{}

func (Granted) isResult()     {}
func (Taken) isResult()       {}
func (Released) isResult()    {}
func (Durable) isResult()     {}
func (Bound) isResult()       {}
func (Unavailable) isResult() {}
func (Queued) isResult()      {}
