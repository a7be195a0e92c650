// Package load generates open-loop load: it sends chat requests at scheduled
// times, whether or not earlier ones have been answered, and measures latency
// from the scheduled times.
package load

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	maxPlanRequests    = 10_000_000
	maxPlanDuration    = 24 * time.Hour
	defaultMaxInFlight = 20_000
)

// ArrivalProcess is the distribution of the intervals between arrivals.
type ArrivalProcess string

// Arrival processes.
const (
	ArrivalsPoisson ArrivalProcess = "poisson"
	ArrivalsFixed   ArrivalProcess = "fixed"
)

// Plan describes a load. It ends after Count requests or after Duration,
// whichever comes first.
type Plan struct {
	Targets     []string // base URLs, used round robin
	Rate        float64  // requests per second
	Process     ArrivalProcess
	Count       int
	Duration    time.Duration
	MaxInFlight int // requests beyond this limit are counted as dropped and not sent; 0 for the default
	Seed        uint64
	Teams       []Team
	Mix         []RequestKind
}

// Team is a caller in a plan.
type Team struct {
	ID       ident.TeamID
	Key      string
	Weight   float64 // share of the arrivals
	Sessions int     // number of sessions that the requests are spread over, 0 for none
}

// RequestKind describes one kind of request in a plan.
type RequestKind struct {
	Name              string
	Model             string
	Class             ident.ClassID
	Weight            float64       // share of the arrivals
	PromptBytes       int           // length of the prompt
	SharedPrefixBytes int           // length of the prefix that all prompts of the kind share
	MaxTokens         int           // 0 for the engine's default
	Difficulty        float64       // read by the simulated engine, 0 to omit it
	Deadline          time.Duration // 0 for the team's default
}

// ShortPrompt returns a kind with a short prompt and a short answer.
func ShortPrompt(model string) RequestKind {
	return RequestKind{Name: "quick", Model: model, Class: "quick", Weight: 0.8, PromptBytes: 200, MaxTokens: 24}
}

// LongPrompt returns a kind with a long prompt, half of it a shared prefix, and
// a long answer.
func LongPrompt(model string) RequestKind {
	return RequestKind{Name: "long", Model: model, Class: "long", Weight: 0.2, PromptBytes: 16 << 10, SharedPrefixBytes: 8 << 10, MaxTokens: 200}
}

// Validate returns an error if the plan cannot be run.
func (p Plan) Validate() error {
	switch {
	case len(p.Targets) == 0:
		return errors.New("plan has no targets: give at least one base URL")
	case len(p.Teams) == 0 || len(p.Mix) == 0:
		return errors.New("plan has no teams or no kinds of requests: give at least one of each")
	case p.Rate <= 0:
		return fmt.Errorf("rate must be above 0 requests per second, got %g", p.Rate)
	case p.Count <= 0 && p.Duration <= 0:
		return errors.New("plan has no end: set a count or a length")
	case p.Count > maxPlanRequests:
		return fmt.Errorf("count %d exceeds the maximum of %d", p.Count, maxPlanRequests)
	case p.Duration > maxPlanDuration:
		return fmt.Errorf("length %v exceeds the maximum of %v", p.Duration, maxPlanDuration)
	}
	return p.validateWeights()
}

func (p Plan) validateWeights() error {
	for _, t := range p.Teams {
		if t.Weight <= 0 {
			return fmt.Errorf("weight of team %q must be above 0, got %g", t.ID, t.Weight)
		}
	}
	for _, k := range p.Mix {
		if k.Weight <= 0 {
			return fmt.Errorf("weight of request kind %q must be above 0, got %g", k.Name, k.Weight)
		}
	}
	return nil
}

// maxInFlight returns MaxInFlight, or the default if it is not set.
func (p Plan) maxInFlight() int {
	if p.MaxInFlight > 0 {
		return p.MaxInFlight
	}
	return defaultMaxInFlight
}
