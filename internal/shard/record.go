package shard

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Nonce names one proposal of a claim, so that its proposer can recognise it
// after an answer was lost. It must be unique over the fleet.
type Nonce string

// MaxBody is the largest body of an outcome, in bytes.
const MaxBodyBytes = 32 << 10

// Record is one entry of the journal.
type Record interface {
	isRecord()
}

// Claim asks for the right to run a non-idempotent request. The first claim
// of a key wins.
type Claim struct {
	Key         ident.RequestKey  `json:"key"`
	Nonce       Nonce             `json:"nonce"`
	Router      ident.RouterID    `json:"router"`
	Fingerprint ident.Fingerprint `json:"print"`
	At          time.Time         `json:"at"`
}

// Outcome is the answer of a claimed request, kept for repeats by the caller.
type Outcome struct {
	Key    ident.RequestKey `json:"key"`
	Status int              `json:"status"` // HTTP status code
	Body   []byte           `json:"body,omitempty"`
	At     time.Time        `json:"at"`
}

// Release gives a claim back: its router never sent the request and never
// will. A claim with the same nonce that is written later has no effect.
type Release struct {
	Key   ident.RequestKey `json:"key"`
	Nonce Nonce            `json:"nonce"`
	At    time.Time        `json:"at"`
}

// Bill charges a team for a request. The first bill of a key counts.
type Bill struct {
	Key      ident.RequestKey `json:"key"`
	Release  ident.Release    `json:"release,omitzero"`
	Service  ident.ServiceID  `json:"service,omitempty"`
	Prompt   ident.Tokens     `json:"prompt,omitempty"`
	Answer   ident.Tokens     `json:"answer,omitempty"`
	Cost     ident.Micros     `json:"cost"`
	At       time.Time        `json:"at"`
	Attempts int              `json:"attempts"`
}

// Bind ties a session to a version of a model. The first bind wins; a later
// one moves the session only away from the version named by Was.
type Binding struct {
	Session  ident.SessionKey `json:"session"`
	Model    ident.ModelID    `json:"model"`
	Version  ident.VersionID  `json:"version"`
	Previous ident.VersionID  `json:"was,omitempty"` // withdrawn version to move away from
	At       time.Time        `json:"at"`
}

func (Claim) isRecord()   {}
func (Outcome) isRecord() {}
func (Release) isRecord() {}
func (Bill) isRecord()    {}
func (Binding) isRecord() {}
