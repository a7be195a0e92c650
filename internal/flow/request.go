package flow

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Request is a caller's request after authentication and decoding.
// Exactly one of Model and Service is set.
type Request struct {
	Key          ident.RequestKey
	Team         *fleet.Team
	Class        ident.ClassID
	Session      ident.SessionID // empty for none
	SessionToken string          // as sent by the caller
	Model        ident.ModelID
	Version      ident.VersionID // empty unless the caller requires one
	Service      ident.ServiceID
	Path         string // relative to the service
	Idempotency  string // idempotency key of the caller; empty for none
	Body         []byte
	Prompt       string // text of the prompt, for prefix routing and rating
	PromptTokens ident.Tokens
	Idempotent   bool // may run more than once
	ShortAnswer  bool // expects a short answer, shed last under load
	Stream       bool
	Fingerprint  ident.Fingerprint
	Parts        []string // ids of the parts of the prompt that other requests may share
	Deadline     time.Time
	Trace        string // W3C traceparent
	Memory       Memory // that the request uses; nil if it is not counted
}

// Memory is memory that is given back once all of its users have released it.
type Memory interface {
	Retain()
	Release()
}

// Subject returns what of the request may crash the endpoints that run it. A part that
// does so for one model need not for another.
func (r Request) Subject() poison.Subject {
	service := r.Service
	if r.Model != "" {
		service = ident.ServiceID(r.Model)
	}
	return poison.Subject{Fingerprint: r.Fingerprint, Service: service, Parts: r.Parts}
}

// Meta holds what is known of an answer before its first text is forwarded.
type Meta struct {
	Release      ident.Release
	SessionToken string // sealed, for the caller
	SessionMoved bool   // the session was moved from a withdrawn version
}

// Result is the final result of a request.
type Result struct {
	Meta
	Refusal      *Refusal // nil if the request was answered
	Usage        engine.Usage
	FinishReason string
	Cost         ident.Micros
	Answer       engine.Answer // of a service that is not a model
	Replayed     bool          // the stored outcome of an earlier request
}

// RunState says whether a refused request was executed.
type RunState string

// Run states.
const (
	RanNo      RunState = "no"
	RanUnknown RunState = "unknown"
	RanYes     RunState = "yes"
)

// Code is the stable reason code of a refusal.
type Code string

// Codes sent to callers.
const (
	CodeInvalid             Code = "invalid_request"
	CodeUnauthorized        Code = "unauthorized"
	CodeForbidden           Code = "not_allowed"
	CodeNotFound            Code = "not_found"
	CodeDeadline            Code = "deadline_exceeded"
	CodeRateLimited         Code = "rate_limited"
	CodeOverloaded          Code = "overloaded"
	CodeNoCapacity          Code = "no_capacity"
	CodeWithdrawn           Code = "version_withdrawn"
	CodeOutcomeUnknown      Code = "outcome_unknown"
	CodeStillRunning        Code = "still_running"
	CodeCrashesEndpoints    Code = "request_crashes_endpoints"
	CodeNotReady            Code = "not_ready"
	CodePlatformUnavailable Code = "platform_unavailable"
	CodeEndpointFailed      Code = "endpoint_failed"
	CodeTooLarge            Code = "too_large"
	CodeCallerGone          Code = "caller_gone"
)

// Refusal is a final response without an answer.
type Refusal struct {
	Code       Code
	Message    string
	Ran        RunState
	RetryAfter time.Duration // 0 if a retry cannot succeed
}

// Error returns the code and message.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}
