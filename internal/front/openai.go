package front

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// The types below hold the fields of the OpenAI API that the router writes.

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Owner   string `json:"owned_by"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"` // Unix seconds
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Message *message `json:"message,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	Prompt ident.Tokens `json:"prompt_tokens"`
	Answer ident.Tokens `json:"completion_tokens"`
	Total  ident.Tokens `json:"total_tokens"`
	Cost   ident.Micros `json:"cost_micros"`
}

func newCompletion(r flow.Request, result flow.Result, text string, now time.Time) completion {
	return completion{
		ID:      string(r.Key.Request),
		Object:  "chat.completion",
		Created: now.Unix(),
		Model:   result.Release.String(),
		Choices: []choice{{Message: &message{Role: "assistant", Content: text}, Finish: &result.FinishReason}},
		Usage:   newUsage(result),
	}
}

func newUsage(result flow.Result) *usage {
	return &usage{
		Prompt: result.Usage.Prompt,
		Answer: result.Usage.Answer,
		Total:  result.Usage.Prompt + result.Usage.Answer,
		Cost:   result.Cost,
	}
}
