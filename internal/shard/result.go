package shard

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Result is the result of a proposed record.
type Result interface {
	isResult()
}

// Granted means that the claim is durable and only its proposer may send the
// request.
type Granted struct{}

// Taken means that a claim with another nonce holds the key. Without an outcome
// it is unknown whether the request ran.
type Taken struct {
	By      Claim    `json:"by"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Released means that the claim's nonce has already been released: the claim has
// no effect and the request must not be sent.
type Released struct{}

// Durable means that an outcome, bill or release is stored in the journal.
type Durable struct{}

// Bound is the version that the session is bound to, which may differ from the
// one proposed.
type Bound struct {
	Version ident.VersionID `json:"version"`
}

// Unavailable means that the record was not accepted; After is the time to wait
// before a retry. With Written a claim may nevertheless be in the journal, and
// its proposer must release it. Another claim of the key may exist. With Full
// the queue was full, and the record should not be tried at another router.
type Unavailable struct {
	After   time.Duration `json:"after"`
	Full    bool          `json:"full,omitempty"`
	Written bool          `json:"written,omitempty"`
}

// Queued means that the record is held in memory until the platform is available
// again.
type Queued struct{}

func (Granted) isResult()     {}
func (Taken) isResult()       {}
func (Released) isResult()    {}
func (Durable) isResult()     {}
func (Bound) isResult()       {}
func (Unavailable) isResult() {}
func (Queued) isResult()      {}
