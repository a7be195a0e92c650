package shard

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Nonce identifies one proposal of a claim or one write, so that its sender can
// recognize it after the reply was lost. It must be unique across the fleet.
type Nonce string

// MaxBodyBytes is the maximum size of an outcome's body.
const MaxBodyBytes = 32 << 10

// Record is one entry of the journal.
type Record interface {
	isRecord()
}

// Claim requests the exclusive right to run a non-idempotent request. The first
// claim of a key wins.
type Claim struct {
	Key         ident.RequestKey  `json:"key"`
	Nonce       Nonce             `json:"nonce"`
	Router      ident.RouterID    `json:"router"`
	Fingerprint ident.Fingerprint `json:"print"`
	At          time.Time         `json:"at"`
}

// Outcome is the response to a claimed request, returned to the caller when it
// repeats the request.
type Outcome struct {
	Key    ident.RequestKey `json:"key"`
	Status int              `json:"status"` // HTTP status code
	Body   []byte           `json:"body,omitempty"`
	At     time.Time        `json:"at"`
}

// Release cancels a claim whose router has not sent the request and never will.
// A claim with the same nonce that is written later has no effect.
type Release struct {
	Key   ident.RequestKey `json:"key"`
	Nonce Nonce            `json:"nonce"`
	At    time.Time        `json:"at"`
}

// Bill charges a team for a request. Later bills of the same key are ignored.
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

// Binding binds a session to a version of a model. The first binding wins; a later
// one takes effect only if Previous is the version currently bound.
type Binding struct {
	Session  ident.SessionKey `json:"session"`
	Model    ident.ModelID    `json:"model"`
	Version  ident.VersionID  `json:"version"`
	Previous ident.VersionID  `json:"was,omitempty"` // withdrawn version that this binding replaces
	At       time.Time        `json:"at"`
}

func (Claim) isRecord()   {}
func (Outcome) isRecord() {}
func (Release) isRecord() {}
func (Bill) isRecord()    {}
func (Binding) isRecord() {}
