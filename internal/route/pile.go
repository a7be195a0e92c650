package route

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Pile is what waits at an endpoint for its first events, of one model.
type Backlog struct {
	Count int           // requests
	Work  time.Duration // that the endpoint needs for all of them
}

// Plus gives the sum of two piles.
func (p Backlog) Add(o Backlog) Backlog { return Backlog{Count: p.Count + o.Count, Work: p.Work + o.Work} }

// Minus takes away a part of a pile, or all of it.
func (p Backlog) Sub(o Backlog) Backlog {
	return Backlog{Count: max(0, p.Count-o.Count), Work: max(0, p.Work-o.Work)}
}

// Piles is what waits at an endpoint, by model.
type ModelBacklogs map[ident.ModelID]Backlog

// Work is the sum over all models.
func (p ModelBacklogs) Work() time.Duration {
	sum := time.Duration(0)
	for _, x := range p {
		sum += x.Work
	}
	return sum
}

// Waiting is what waits at each endpoint.
type EndpointBacklogs map[ident.EndpointID]ModelBacklogs

// Add adds a pile.
func (w EndpointBacklogs) Add(endpoint ident.EndpointID, model ident.ModelID, p Backlog) {
	piles := w[endpoint]
	if piles == nil {
		piles = ModelBacklogs{}
		w[endpoint] = piles
	}
	piles[model] = piles[model].Add(p)
}

// chunkTokens is the number of tokens that an engine reads of one prompt before
// it turns to the next, as is usual for engines that read in chunks.
const chunkTokens ident.Tokens = 2048

// delay is how long others' prompts hold up one of some tokens. Engines read in
// turns, a chunk of each prompt: a short one waits for a chunk of each that is
// there, and a long one for all of the shorter ones.
func (t *Estimator) delay(piles ModelBacklogs, tokens ident.Tokens) time.Duration {
	meanwhile := max(tokens, chunkTokens)
	sum := time.Duration(0)
	for model, p := range piles {
		each := t.reading(model, meanwhile)
		sum += min(p.Work, time.Duration(p.Count)*each)
	}
	return sum
}
