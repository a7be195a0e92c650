package status

import "github.com/marigoldscale/marigoldscale/pkg/ident"

// ExplainRequest asks what would happen to a request; POST /v1/explain.
type ExplainRequest struct {
	Team    ident.TeamID    `json:"team"`
	Model   ident.ModelID   `json:"model,omitempty"`
	Class   ident.ClassID   `json:"class,omitempty"`
	Session ident.SessionID `json:"session,omitempty"`
	Service ident.ServiceID `json:"service,omitempty"`
}

// Explanation is what would run where, and why nothing else would.
type Explanation struct {
	Chosen  *Choice  `json:"chosen,omitempty"`  // absent if the request would be refused
	Refusal string   `json:"refusal,omitempty"` // why, if it would be
	Choices []Choice `json:"choices"`           // every candidate, the chosen one first
}

// Choice is one candidate with the verdict on it.
type Choice struct {
	Release  string           `json:"release,omitempty"` // model@version
	Service  ident.ServiceID  `json:"service,omitempty"`
	Endpoint ident.EndpointID `json:"endpoint,omitempty"`
	Zone     ident.ZoneID     `json:"zone,omitempty"`
	Verdict  Verdict          `json:"verdict"`
	Reason   string           `json:"reason"`
}

// Verdict says what became of a candidate.
type Verdict string

// The verdicts.
const (
	VerdictChosen   Verdict = "chosen"
	VerdictPossible Verdict = "possible" // allowed, but another is better
	VerdictRefused  Verdict = "refused"  // not allowed, or not able
)

// WithdrawRequest withdraws a release at once; POST /v1/withdraw.
type WithdrawRequest struct {
	Release ident.Release `json:"release"`
	Reason  string        `json:"reason"`
	By      string        `json:"by"`
}

// WithdrawReply tells how far the withdrawal has got when it returns.
type WithdrawReply struct {
	Routers []ident.RouterID `json:"routers"` // that have confirmed it
	Durable bool             `json:"durable"` // whether the platform holds it
}
