// Package relay does the input and output of pass-through requests: callers'
// connections, connections to endpoints and the copying between them. What is
// done with a request is decided by package pass.
package relay

import (
	"net/http"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/pass"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Ask is what the head of a caller's request says.
type Ask struct {
	ID      ident.RequestID
	Key     string        // the team's secret
	Left    time.Duration // how long the caller will wait, 0 if not told
	Model   ident.ModelID
	Prompt  ident.Tokens
	Output  ident.Tokens       // at most
	Parts   []route.PromptPart // of the prompt, in order
	Session ident.SessionID
	After   int64 // id of the last event that the caller has, pass.NoEvent for none
}

// Send is what an attempt tells an endpoint beside the caller's own request.
type Send struct {
	Endpoint *world.Endpoint
	Team     ident.TeamID // "" if the caller has none
	Model    ident.ModelID
	Left     time.Duration // until the answer is of no use
	After    int64         // id of the last event that need not come again
	Urgency  int           // 0 is the most urgent; negative for no word on it
}

// Dialect translates heads between the wire and the router's types.
type Dialect interface {
	// Ask reads the head of a caller's request.
	Ask(h http.Header) (Ask, error)
	// Send sets an attempt's headers on a copy of the caller's.
	Send(h http.Header, s Send)
	// Head reads the head of an endpoint's answer.
	Head(status int, h http.Header) pass.Head
	// Answers tells whether an answer belongs to the request.
	Answers(h http.Header, id ident.RequestID) bool
	// Return sets when the caller of a refused request is to come back.
	Return(h http.Header, after time.Duration)
	// Identify names the request on an answer of the router's own.
	Identify(h http.Header, id ident.RequestID)
}
