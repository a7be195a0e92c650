package flow

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Request is one caller's request, after it was authenticated and decoded.
// Exactly one of Model and Service is set.
type Request struct {
	Key          ident.RequestKey
	Team         *fleet.Team
	Class        ident.ClassID
	Session      ident.SessionID // empty for none
	SessionToken string          // session token that the caller sent
	Model        ident.ModelID
	Version      ident.VersionID // empty unless the caller asked for one
	Service      ident.ServiceID
	Path         string // below the service
	Idempotency  string // key of the caller; empty for none
	Body         []byte
	Prompt       string // text of the prompt, for routing by prefix and rating
	PromptTokens ident.Tokens
	Idempotent   bool // whether it may run more than once
	ShortAnswer  bool // a short answer, shed last
	Stream       bool
	Fingerprint  ident.Fingerprint
	Deadline     time.Time
	Trace        string // W3C traceparent
}

// Meta is what is known of an answer when its first piece is passed on.
type Meta struct {
	Release      ident.Release
	SessionToken string // sealed session token for the caller
	SessionMoved bool   // the session was moved off a withdrawn version
}

// Result is the final answer of a request.
type Result struct {
	Meta
	Refusal      *Refusal // nil when the request was answered
	Usage        engine.Usage
	FinishReason string
	Cost         ident.Micros
	Answer       engine.Answer // of a plain service
	Replayed     bool          // the recorded outcome of an earlier run
}

// Ran says whether a refused request was run.
type RunState string

// The truth about a refused request.
const (
	RanNo      RunState = "no"
	RanUnknown RunState = "unknown"
	RanYes     RunState = "yes"
)

// Code is a stable reason of a refusal.
type Code string

// The codes that callers see.
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

// Refusal is a final answer that carries no result.
type Refusal struct {
	Code       Code
	Message    string
	Ran        RunState
	RetryAfter time.Duration // when to come back; 0 if coming back makes no sense
}

// Error gives the refusal's code and message.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}
