package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Arrival is one request with its intended send time.
type Arrival struct {
	Number   int
	At       time.Duration // since the start
	Target   string
	Team     Team
	Kind     Kind
	Request  ident.RequestID
	Session  ident.SessionID // empty for none
	Deadline time.Duration
	Body     []byte
}

// Schedule draws the arrivals of a plan one by one. The same plan gives the
// same arrivals.
type Schedule struct {
	plan   Plan
	random *rand.Rand
	number int
	at     time.Duration
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

// NewSchedule gives the arrivals of a plan that has passed Check.
func NewSchedule(plan Plan) *Schedule {
	return &Schedule{plan: plan, random: rand.New(rand.NewPCG(plan.Seed, 1))}
}

// Next gives the next arrival, or false after the last one.
func (s *Schedule) Next() (Arrival, bool) {
	s.at += s.gap()
	if s.plan.Count > 0 && s.number >= s.plan.Count {
		return Arrival{}, false
	}
	if s.plan.Length > 0 && s.at > s.plan.Length {
		return Arrival{}, false
	}
	team := pick(s.random, s.plan.Teams, func(t Team) float64 { return t.Weight })
	kind := pick(s.random, s.plan.Mix, func(k Kind) float64 { return k.Weight })
	a := Arrival{
		Number:   s.number,
		At:       s.at,
		Target:   s.plan.Targets[s.number%len(s.plan.Targets)],
		Team:     team,
		Kind:     kind,
		Request:  ident.RequestID(fmt.Sprintf("load-%d-%d", s.plan.Seed, s.number)),
		Deadline: kind.Deadline,
		Body:     s.body(kind),
	}
	if team.Sessions > 0 {
		a.Session = ident.SessionID(fmt.Sprintf("session-%d", s.random.IntN(team.Sessions)))
	}
	s.number++
	return a, true
}

func (s *Schedule) gap() time.Duration {
	mean := float64(time.Second) / s.plan.Rate
	if s.plan.Spacing == SpacingFixed {
		return time.Duration(mean)
	}
	return time.Duration(mean * s.random.ExpFloat64())
}

func (s *Schedule) body(kind Kind) []byte {
	shared := filler(kind.Name, min(kind.Shared, kind.Prompt))
	own := filler(fmt.Sprintf("%s request %d of %d", kind.Name, s.number, s.plan.Seed), kind.Prompt-len(shared))
	if kind.Difficulty > 0 {
		own += fmt.Sprintf(" difficulty=%.2f", kind.Difficulty)
	}
	body := chatBody{
		Model:     kind.Model,
		Stream:    true,
		MaxTokens: kind.Answer,
		Messages:  []chatMessage{{Role: "user", Content: shared + own}},
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err) // strings and numbers only
	}
	return encoded
}

// filler repeats a phrase to a length in bytes.
func filler(phrase string, length int) string {
	if length <= 0 {
		return ""
	}
	return strings.Repeat(phrase+" ", length/(len(phrase)+1)+1)[:length]
}

// pick draws one item by weight.
func pick[T any](random *rand.Rand, all []T, weight func(T) float64) T {
	var sum float64
	for _, one := range all {
		sum += weight(one)
	}
	drawn := random.Float64() * sum
	for _, one := range all {
		drawn -= weight(one)
		if drawn < 0 {
			return one
		}
	}
	return all[len(all)-1]
}
