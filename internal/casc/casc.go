// Package casc decides which models try a request and in which order, so that
// the answer meets the team's quality target at the lowest expected cost.
package casc

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Rung is one model of a ladder.
type Stage struct {
	Model ident.ModelID
	// Rated means that the answer must be rated before it is passed on, and is
	// passed on only if its quality is at least Threshold.
	Rated     bool
	Threshold ident.Quality
	// Patience is how long the answer may be held for the rater.
	RatingTimeout time.Duration
	// Trusted means that the lower bound of the model's quality meets the
	// target, so that an answer that could not be rated may be passed on.
	Trusted bool
	// Next is the expected time of the next rung's whole answer.
	NextLatency time.Duration
}

// Ladder is the models to try, the cheapest first. Only the last rung's answer
// is passed on unrated.
type Cascade struct {
	Stages      []Stage
	Quality     ident.Quality // expected
	Cost        ident.Micros  // expected, per 1,000 tokens
	Exploratory bool          // chosen to learn about a class, not for its cost
	SampleFinal bool          // rate the final answer after it is passed on
	Reason      string
}

// Rater is the condition of the rating service.
type Rater struct {
	Available bool
	Timeout   time.Duration // longest time to hold an answer for it
}

// Request is what a ladder is planned for.
type Request struct {
	Team     *fleet.Team
	Class    ident.ClassID
	Wanted   ident.ModelID
	Seed     uint64 // hash of the request, decides on exploration and sampling
	Deadline time.Time
	Rater    Rater
	// Usable tells whether any release of the model that the team allows has a
	// pool that takes work.
	Usable func(ident.ModelID) bool
	// Need gives the expected time of a model's whole answer; nil for unknown.
	Latency func(ident.ModelID) time.Duration
}

// Rating is what the rater said of an answer. It is sealed: Rated or Unrated.
type Rating interface{ rating() }

// Rated is a rating that came in time.
type Rated struct{ Quality ident.Quality }

// Unrated means that the rater failed or did not answer within the patience.
type Unrated struct{}

func (Rated) rating()   {}
func (Unrated) rating() {}

// Verdict is what to do with a rung's answer. It is sealed: Accept, Escalate
// or AcceptUnrated.
type Decision interface{ verdict() }

// Accept passes the answer on.
type Accept struct{}

// Escalate drops the answer and runs the next rung.
type Escalate struct{ Next int }

// AcceptUnrated passes on an answer that did not prove itself, because there
// is nothing better to be had in time.
type AcceptUnrated struct{ Reason string }

func (Accept) verdict()        {}
func (Escalate) verdict()      {}
func (AcceptUnrated) verdict() {}

// Judge decides on the answer of the rung at index. The caller waits for the
// rater at most for the rung's patience, and then passes Unrated.
func Decide(now time.Time, ladder Cascade, index int, rating Rating, deadline time.Time) Decision {
	rung := &ladder.Stages[index]
	if !rung.Rated {
		return Accept{}
	}
	switch r := rating.(type) {
	case Rated:
		if r.Quality >= rung.Threshold {
			return Accept{}
		}
	case Unrated:
		if rung.Trusted {
			return AcceptUnrated{Reason: "the rater did not answer in time and the model is trusted in this class"}
		}
	}
	if index+1 >= len(ladder.Stages) || now.Add(rung.NextLatency).After(deadline) {
		return AcceptUnrated{Reason: "no time is left for another model"}
	}
	return Escalate{Next: index + 1}
}
