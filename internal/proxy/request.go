// Package proxy implements the state machine of one pass-through request: endpoint
// selection, retries, escalation to a larger model, and what the caller receives.
// Machine is free of side effects; the relay performs its input and output.
package proxy

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// AnyModel is the model name with which a caller leaves the choice to the router.
const AnyModel ident.ModelID = "*"

// NoEvent is the id that precedes a stream's first event, and that of events
// without an id.
const NoEvent int64 = -1

// Request is one caller's request, as decoded from its head.
type Request struct {
	ID              ident.RequestID
	Route           *paths.Route
	Service         ident.ServiceID
	Team            ident.TeamID // "" on an anonymous route
	Arrived         time.Time
	Deadline        time.Time // for the complete response
	Model           ident.ModelID
	PromptTokens    ident.Tokens
	MaxOutputTokens ident.Tokens // upper bound
	Parts           []route.PromptPart
	Session         ident.SessionID
	LastEventID     int64 // of the last event that the caller received, NoEvent for none
	Priority        int   // 0 is the most urgent
	Seed            uint64
	Worth           float64       // of the answer against the mean of its route, see Sizes
	MeanObjective   time.Duration // over the requests of its service, see Objectives
}

// Attempt is the number of a dispatch of one request, from 0.
type Attempt int

// ResponseHead holds the decoded head of an endpoint's response.
type ResponseHead struct {
	Status        int
	NotRun        bool          // the endpoint guarantees that it did not run the request
	Unreached     bool          // a router that it was handed over to reaches no endpoint either
	Used          int           // endpoints that turned the request away at the router that it was handed over to
	WrongEndpoint bool          // the responder is not the addressed endpoint
	Signed        bool          // the response carries the endpoint's signature
	Encoded       bool          // the body was re-encoded on the way
	Confidence    int           // reported by the model, from 0 to 100; -1 if missing
	RetryAfter    time.Duration // 0 if missing
	Leaving       bool          // the endpoint takes no new requests from now on
	Brittle       bool          // the endpoint falls over if it has to turn many requests away
	Limited       bool          // the endpoint limits its rate
	Limit         float64       // requests a second that it accepts from all routers together, if Limited
}
