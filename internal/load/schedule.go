package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Arrival is one request and its intended send time.
type Arrival struct {
	Sequence int
	Offset   time.Duration // intended send time, since the start of the run
	Target   string
	Team     Team
	Kind     RequestKind
	Request  ident.RequestID
	Session  ident.SessionID // empty for none
	Deadline time.Duration
	Body     []byte
}

// Schedule generates the arrivals of a plan one by one. The same plan, seed
// included, generates the same arrivals.
type Schedule struct {
	plan     Plan
	random   *rand.Rand
	sequence int
	offset   time.Duration
}

type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// NewSchedule returns the schedule of a plan that has passed Validate.
func NewSchedule(plan Plan) *Schedule {
	return &Schedule{plan: plan, random: rand.New(rand.NewPCG(plan.Seed, 1))}
}

// Next returns the next arrival, or false after the last one.
func (s *Schedule) Next() (Arrival, bool) {
	s.offset += s.nextInterval()
	if s.plan.Count > 0 && s.sequence >= s.plan.Count {
		return Arrival{}, false
	}
	if s.plan.Duration > 0 && s.offset > s.plan.Duration {
		return Arrival{}, false
	}
	team := weightedChoice(s.random, s.plan.Teams, func(t Team) float64 { return t.Weight })
	kind := weightedChoice(s.random, s.plan.Mix, func(k RequestKind) float64 { return k.Weight })
	a := Arrival{
		Sequence: s.sequence,
		Offset:   s.offset,
		Target:   s.plan.Targets[s.sequence%len(s.plan.Targets)],
		Team:     team,
		Kind:     kind,
		Request:  ident.RequestID(fmt.Sprintf("load-%d-%d", s.plan.Seed, s.sequence)),
		Deadline: kind.Deadline,
		Body:     s.requestBody(kind),
	}
	if team.Sessions > 0 {
		a.Session = ident.SessionID(fmt.Sprintf("session-%d", s.random.IntN(team.Sessions)))
	}
	s.sequence++
	return a, true
}

func (s *Schedule) nextInterval() time.Duration {
	mean := float64(time.Second) / s.plan.Rate
	if s.plan.Process == ArrivalsFixed {
		return time.Duration(mean)
	}
	return time.Duration(mean * s.random.ExpFloat64())
}

func (s *Schedule) requestBody(kind RequestKind) []byte {
	shared := repeatToLength(kind.Name, min(kind.SharedPrefixBytes, kind.PromptBytes))
	unique := repeatToLength(fmt.Sprintf("%s request %d of %d", kind.Name, s.sequence, s.plan.Seed), kind.PromptBytes-len(shared))
	if kind.Difficulty > 0 {
		unique += fmt.Sprintf(" difficulty=%.2f", kind.Difficulty)
	}
	body := chatBody{
		Model:     kind.Model,
		Stream:    true,
		MaxTokens: kind.MaxTokens,
		Messages:  []chatMessage{{Role: "user", Content: shared + unique}},
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err) // chatBody holds only strings, numbers and booleans
	}
	return encoded
}

// repeatToLength repeats a phrase up to a length in bytes.
func repeatToLength(phrase string, length int) string {
	if length <= 0 {
		return ""
	}
	return strings.Repeat(phrase+" ", length/(len(phrase)+1)+1)[:length]
}

// weightedChoice draws one item with a probability proportional to its weight.
func weightedChoice[T any](random *rand.Rand, items []T, weight func(T) float64) T {
	var sum float64
	for _, item := range items {
		sum += weight(item)
	}
	drawn := random.Float64() * sum
	for _, item := range items {
		drawn -= weight(item)
		if drawn < 0 {
			return item
		}
	}
	return items[len(items)-1]
}
