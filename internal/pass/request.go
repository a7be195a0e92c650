// Package pass decides the course of one pass-through request: where it is
// sent, what is sent on to the caller, what is tried again and what is refused.
// A Course is a pure state machine; the relay does its input and output.
package pass

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// AnyModel is the model that a caller names to leave the choice to the router.
const AnyModel ident.ModelID = "*"

// NoEvent is the id before a stream's first event.
const NoEvent int64 = -1

// Request is one caller's request, as decoded from its head.
type Request struct {
	ID       ident.RequestID
	Route    *paths.Route
	Service  ident.ServiceID
	Team     ident.TeamID // "" on an anonymous route
	Arrived  time.Time
	Limit    time.Time // when a final answer is due
	Model    ident.ModelID
	Prompt   ident.Tokens
	Output   ident.Tokens // at most
	Parts    []route.PromptPart
	Session  ident.SessionID
	After    int64 // id of the last event that the caller has, NoEvent for none
	Priority int   // 0 is the most urgent
	Seed     uint64
}

// Attempt numbers the sends of one request, from 0.
type Attempt int

// Head is what an endpoint's response head says.
type Head struct {
	Status     int
	NotRun     bool          // the endpoint says that it did not run the request
	Foreign    bool          // another endpoint than the one meant has answered
	Signed     bool          // the response bears the endpoint's proof
	Encoded    bool          // the body is not as the endpoint made it
	Confidence int           // the model's own opinion of its answer, from 0 to 100; -1 if not told
	After      time.Duration // when to come back, 0 if not told
}
