package route

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Backlog is the requests of one model at an endpoint that have not had their
// first event yet.
type Backlog struct {
	Count int           // number of requests
	Work  time.Duration // total time that the endpoint needs for them
}

// Add returns the sum of two backlogs.
func (b Backlog) Add(o Backlog) Backlog {
	return Backlog{Count: b.Count + o.Count, Work: b.Work + o.Work}
}

// Sub returns the backlog less o, with negative fields set to 0.
func (b Backlog) Sub(o Backlog) Backlog {
	return Backlog{Count: max(0, b.Count-o.Count), Work: max(0, b.Work-o.Work)}
}

// ModelBacklogs is an endpoint's backlog by model.
type ModelBacklogs map[ident.ModelID]Backlog

// Work returns the total work over all models.
func (b ModelBacklogs) Work() time.Duration {
	sum := time.Duration(0)
	for _, x := range b {
		sum += x.Work
	}
	return sum
}

// EndpointBacklogs is the backlog of each endpoint.
type EndpointBacklogs map[ident.EndpointID]ModelBacklogs

// Add adds a to the endpoint's backlog for the model.
func (b EndpointBacklogs) Add(endpoint ident.EndpointID, model ident.ModelID, a Backlog) {
	backlogs := b[endpoint]
	if backlogs == nil {
		backlogs = ModelBacklogs{}
		b[endpoint] = backlogs
	}
	backlogs[model] = backlogs[model].Add(a)
}

// chunkTokens is the usual size of a prefill chunk. An engine with chunked prefill
// processes one chunk of a prompt before it switches to the next prompt.
const chunkTokens ident.Tokens = 2048

// queueDelay returns how long a backlog delays the prefill of a prompt of the
// given length. Engines interleave prefill in chunks: a short prompt waits for
// one chunk of each prompt in the backlog, a long one for all of the shorter
// prompts.
func (e *Estimator) queueDelay(backlogs ModelBacklogs, tokens ident.Tokens) time.Duration {
	interleaved := max(tokens, chunkTokens)
	sum := time.Duration(0)
	for model, b := range backlogs {
		each := e.prefillTime(model, interleaved)
		sum += min(b.Work, time.Duration(b.Count)*each)
	}
	return sum
}
