// Package casc plans model cascades: it chooses the models that try a request,
// and their order, so that the answer meets the team's quality target at the
// lowest expected cost.
package casc

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Stage is one model of a cascade.
type Stage struct {
	Model ident.ModelID
	// Rated means that the answer is rated before it is returned to the caller,
	// and returned only if its quality is at least Threshold.
	Rated     bool
	Threshold ident.Quality
	// RatingTimeout is the longest time for which the answer is held for the
	// rater.
	RatingTimeout time.Duration
	// Trusted means that the lower bound of the model's quality meets the
	// target, so that an answer may be returned if it could not be rated.
	Trusted bool
	// NextLatency is the expected time to the complete answer of the next stage.
	NextLatency time.Duration
}

// Cascade lists the models to try, the cheapest first. Only the answer of the
// last stage is returned without a rating.
type Cascade struct {
	Stages      []Stage
	Quality     ident.Quality // expected
	Cost        ident.Micros  // expected, per 1,000 tokens
	Exploratory bool          // chosen to gather ratings of a class, not for its cost
	SampleFinal bool          // rate the final answer after it is returned
	Reason      string
}

// Rater is the state of the rating service.
type Rater struct {
	Available bool
	Timeout   time.Duration // longest time for which an answer is held for a rating
}

// Request is a request for which a cascade is planned.
type Request struct {
	Team     *fleet.Team
	Class    ident.ClassID
	Wanted   ident.ModelID
	Seed     uint64 // hash of the request; determines exploration and sampling
	Deadline time.Time
	Rater    Rater
	// Usable reports whether any release of the model that the team may use has
	// a pool that accepts work.
	Usable func(ident.ModelID) bool
	// Latency returns the expected time to a model's complete answer. It is nil
	// if unknown.
	Latency func(ident.ModelID) time.Duration
}

// Rating is the rater's result for an answer. It is one of Rated and Unrated.
type Rating interface{ rating() }

// Rated is a rating that arrived in time.
type Rated struct{ Quality ident.Quality }

// Unrated means that the rater failed or did not answer within the time-out.
type Unrated struct{}

func (Rated) rating()   {}
func (Unrated) rating() {}

// Decision is the action on the answer of a stage. It is one of Accept, Escalate
// and AcceptUnrated.
type Decision interface{ decision() }

// Accept returns the answer to the caller.
type Accept struct{}

// Escalate discards the answer and runs the next stage.
type Escalate struct{ Next int }

// AcceptUnrated returns an answer that did not reach the threshold or was not
// rated, because the model is trusted or no time is left for another one.
type AcceptUnrated struct{ Reason string }

func (Accept) decision()        {}
func (Escalate) decision()      {}
func (AcceptUnrated) decision() {}

// Decide returns the action on the answer of the stage at index. The caller
// waits for the rater for at most the stage's RatingTimeout, and passes Unrated
// if no rating has arrived by then.
func Decide(now time.Time, cascade Cascade, index int, rating Rating, deadline time.Time) Decision {
	stage := &cascade.Stages[index]
	if !stage.Rated {
		return Accept{}
	}
	switch r := rating.(type) {
	case Rated:
		if r.Quality >= stage.Threshold {
			return Accept{}
		}
	case Unrated:
		if stage.Trusted {
			return AcceptUnrated{Reason: "the rater did not answer in time and the model is trusted in this class"}
		}
	}
	if index+1 >= len(cascade.Stages) || now.Add(stage.NextLatency).After(deadline) {
		return AcceptUnrated{Reason: "no time is left for another model"}
	}
	return Escalate{Next: index + 1}
}
