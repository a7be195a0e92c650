// Package casc decides which models try a request and in which order, so that
// the answer meets the team's quality target at the lowest expected cost.
package casc

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Rung is one model of a ladder.
type Rung struct {
	Model ident.ModelID
	// Rated means that the answer must be rated before it is passed on, and is
	// passed on only if its quality is at least Threshold.
	Rated     bool
	Threshold ident.Quality
	// Patience is how long the answer may be held for the rater.
	Patience time.Duration
	// Trusted means that the lower bound of the model's quality meets the
	// target, so that an answer that could not be rated may be passed on.
	Trusted bool
	// Need is the expected time of the next rung's whole answer.
	Need time.Duration
}

// Ladder is the models to try, the cheapest first. Only the last rung's answer
// is passed on unrated.
type Ladder struct {
	Rungs   []Rung
	Quality ident.Quality // expected
	Cost    ident.Micros  // expected, per 1,000 tokens
	Explore bool          // chosen to learn about a class, not for its cost
	Sample  bool          // rate the final answer after it is passed on
	Reason  string
}

// Rater is the condition of the rating service.
type Rater struct {
	Up       bool
	Patience time.Duration // longest time to hold an answer for it
}

// Request is what a ladder is planned for.
type Request struct {
	Team     *fleet.Team
	Class    ident.ClassID
	Wanted   ident.ModelID
	Seed     uint64 // hash of the request, decides on exploration and sampling
	Deadline time.Time
	Rater    Rater
	// Usable tells whether any allowed release of the model has a pool that
	// takes work. It is asked only about models that the team allows.
	Usable func(ident.ModelID) bool
	// Need gives the expected time of a model's whole answer; nil for unknown.
	Need func(ident.ModelID) time.Duration
}

// Plan chooses the ladder of the lowest expected cost whose expected quality
// meets the team's target. The ladder has no rung if no model that the team
// allows is usable.
func Plan(now time.Time, config *fleet.Config, request Request, estimates *Estimates) Ladder {
	_ = now
	_ = estimates
	m, ok := config.Models[request.Wanted]
	if !ok || !request.Usable(request.Wanted) {
		return Ladder{Reason: "the wanted model has no pool that takes work"}
	}
	return Ladder{Rungs: []Rung{{Model: m.ID}}, Quality: m.Quality, Cost: m.Price, Reason: "the wanted model"}
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
type Verdict interface{ verdict() }

// Accept passes the answer on.
type Accept struct{}

// Escalate drops the answer and runs the next rung.
type Escalate struct{ Next int }

// AcceptUnrated passes on an answer of unknown quality, or the best there is.
type AcceptUnrated struct{ Reason string }

func (Accept) verdict()        {}
func (Escalate) verdict()      {}
func (AcceptUnrated) verdict() {}

// Judge decides on the answer of the rung at index.
func Judge(now time.Time, ladder Ladder, index int, rating Rating, deadline time.Time) Verdict {
	rung := ladder.Rungs[index]
	if !rung.Rated {
		return Accept{}
	}
	rated, known := rating.(Rated)
	if known && rated.Quality >= rung.Threshold {
		return Accept{}
	}
	if index+1 >= len(ladder.Rungs) || now.Add(rung.Need).After(deadline) {
		return AcceptUnrated{Reason: "no time or rung is left for another model"}
	}
	if !known && rung.Trusted {
		return AcceptUnrated{Reason: "the rater did not answer in time and the model is trusted"}
	}
	return Escalate{Next: index + 1}
}
