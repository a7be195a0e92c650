// Package load sends chat requests at set times, whether or not earlier ones
// have been answered, and measures the answers from those times.
package load

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	maxCount     = 10_000_000
	maxLength    = 24 * time.Hour
	defaultLimit = 20_000
)

// Spacing is how arrivals are spread over time.
type Spacing string

// The spacings.
const (
	SpacingPoisson Spacing = "poisson"
	SpacingFixed   Spacing = "fixed"
)

// Plan describes a load. It ends after Count requests or Length, whichever
// comes first.
type Plan struct {
	Targets []string // base URLs, taken in turn
	Rate    float64  // requests a second
	Spacing Spacing
	Count   int
	Length  time.Duration
	Limit   int // requests in flight; one beyond it is counted as dropped, not sent
	Seed    uint64
	Teams   []Team
	Mix     []Kind
}

// Team is a caller in a plan.
type Team struct {
	ID       ident.TeamID
	Key      string
	Weight   float64 // share of the arrivals
	Sessions int     // number of sessions that requests are spread over, 0 for none
}

// Kind is one sort of request in a plan.
type Kind struct {
	Name       string
	Model      string
	Class      ident.ClassID
	Weight     float64       // share of the arrivals
	Prompt     int           // length in bytes
	Shared     int           // of them, bytes that all prompts of the kind begin with
	Answer     int           // tokens, 0 to leave it to the engine
	Difficulty float64       // for the engine stand-in, 0 to name none
	Deadline   time.Duration // 0 for the team's
}

// QuickQuestion gives a short prompt with a short answer.
func QuickQuestion(model string) Kind {
	return Kind{Name: "quick", Model: model, Class: "quick", Weight: 0.8, Prompt: 200, Answer: 24}
}

// LongPrompt gives a long prompt, half of it shared, with a long answer.
func LongPrompt(model string) Kind {
	return Kind{Name: "long", Model: model, Class: "long", Weight: 0.2, Prompt: 16 << 10, Shared: 8 << 10, Answer: 200}
}

// Check finds what makes the plan impossible to run.
func (p Plan) Check() error {
	switch {
	case len(p.Targets) == 0:
		return errors.New("plan has no targets: give at least one base URL")
	case len(p.Teams) == 0 || len(p.Mix) == 0:
		return errors.New("plan has no teams or no kinds of requests: give at least one of each")
	case p.Rate <= 0:
		return fmt.Errorf("rate %g is not above 0 requests a second", p.Rate)
	case p.Count <= 0 && p.Length <= 0:
		return errors.New("plan has no end: give a count or a length")
	case p.Count > maxCount:
		return fmt.Errorf("count %d is over %d", p.Count, maxCount)
	case p.Length > maxLength:
		return fmt.Errorf("length %v is over %v", p.Length, maxLength)
	}
	return p.checkWeights()
}

func (p Plan) checkWeights() error {
	for _, t := range p.Teams {
		if t.Weight <= 0 {
			return fmt.Errorf("weight %g of team %q is not above 0", t.Weight, t.ID)
		}
	}
	for _, k := range p.Mix {
		if k.Weight <= 0 {
			return fmt.Errorf("weight %g of kind %q is not above 0", k.Weight, k.Name)
		}
	}
	return nil
}

// limit gives the bound on requests in flight.
func (p Plan) limit() int {
	if p.Limit > 0 {
		return p.Limit
	}
	return defaultLimit
}
