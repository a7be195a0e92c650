package status

import "github.com/marigoldscale/marigoldscale/pkg/ident"

// ExplainRequest asks how a request would be routed: the body of
// POST /v1/explain.
type ExplainRequest struct {
	Team    ident.TeamID    `json:"team"`
	Model   ident.ModelID   `json:"model,omitempty"`
	Class   ident.ClassID   `json:"class,omitempty"`
	Session ident.SessionID `json:"session,omitempty"`
	Service ident.ServiceID `json:"service,omitempty"`
}

// Explanation is the response to an ExplainRequest: the routing decision and the
// reason for each candidate.
type Explanation struct {
	Chosen  *Choice  `json:"chosen,omitempty"`  // nil if the request would be refused
	Refusal string   `json:"refusal,omitempty"` // reason if the request would be refused
	Choices []Choice `json:"choices"`           // every candidate, the chosen one first
}

// Choice is a routing candidate with the verdict on it.
type Choice struct {
	Release  string           `json:"release,omitempty"` // model@version
	Service  ident.ServiceID  `json:"service,omitempty"`
	Endpoint ident.EndpointID `json:"endpoint,omitempty"`
	Zone     ident.ZoneID     `json:"zone,omitempty"`
	Verdict  Verdict          `json:"verdict"`
	Reason   string           `json:"reason"`
}

// Verdict is the outcome for a candidate.
type Verdict string

// The verdicts.
const (
	VerdictChosen   Verdict = "chosen"
	VerdictPossible Verdict = "possible" // allowed, but another is better
	VerdictRefused  Verdict = "refused"  // not allowed or not available
)

// WithdrawRequest withdraws a release immediately: the body of POST /v1/withdraw.
type WithdrawRequest struct {
	Release ident.Release `json:"release"`
	Reason  string        `json:"reason"`
	By      string        `json:"by"`
}

// WithdrawReply is the response to a WithdrawRequest: how far the withdrawal has
// propagated by then.
type WithdrawReply struct {
	Routers []ident.RouterID `json:"routers"` // routers that have acknowledged it
	Durable bool             `json:"durable"` // whether the platform has stored it
}
