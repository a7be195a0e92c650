package stand

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// chatRequest is a chat request with its headers.
type chatRequest struct {
	prompt   Prompt
	request  ident.RequestID
	attempt  ident.AttemptID
	priority fleet.Priority
	resume   int
	deadline time.Time
}

// stream is a run in progress. Its run field is guarded by the engine's mutex.
type stream struct {
	request      chatRequest
	faults       EngineFaults
	empty        bool
	failed       bool
	answerTokens int // including resumed ones
	quality      ident.Quality
	job          *Job
	tokens       chan struct{} // has one element per generated token
	interrupted  chan struct{} // closed by a crash or Engine.Close
	run          EngineRun
}

// answerFrame is one frame of a streamed answer in the OpenAI format.
type answerFrame struct {
	ID       ident.RequestID `json:"id"`
	Attempt  ident.AttemptID `json:"attempt"`
	Sequence int             `json:"sequence"`
	Object   string          `json:"object"`
	Model    ident.Release   `json:"model"`
	Choices  []choice        `json:"choices"`
	Usage    *usage          `json:"usage,omitempty"`
}

type choice struct {
	Index  int     `json:"index"`
	Delta  delta   `json:"delta"`
	Finish *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

type usage struct {
	Prompt int `json:"prompt_tokens"`
	Answer int `json:"completion_tokens"`
	Total  int `json:"total_tokens"`
}

// frame returns the n-th frame of the answer. The final frame, after the last token,
// has the quality mark and the usage.
func (s *stream) frame(n int) answerFrame {
	f := answerFrame{
		ID:       s.request.request,
		Attempt:  s.request.attempt,
		Sequence: n,
		Object:   "chat.completion.chunk",
		Model:    s.request.prompt.Release,
		Choices:  []choice{{Delta: delta{Content: s.content(n)}}},
	}
	if n < s.answerTokens {
		return f
	}
	finish := "stop"
	f.Choices[0].Finish = &finish
	prompt := s.request.prompt.Tokens()
	f.Usage = &usage{Prompt: prompt, Answer: s.answerTokens, Total: prompt + s.answerTokens}
	return f
}

func (s *stream) content(n int) string {
	switch {
	case s.empty:
		return ""
	case n < s.answerTokens:
		return s.request.prompt.TokenText(n)
	default:
		return QualityMark(max(0, s.quality))
	}
}

// foreignFrame returns a frame of an attempt that does not exist.
func (s *stream) foreignFrame(n int) answerFrame {
	f := s.frame(min(n, s.answerTokens-1))
	f.ID = "foreign-" + f.ID
	f.Attempt = "foreign-" + f.Attempt
	f.Choices = []choice{{Delta: delta{Content: "foreign "}}}
	return f
}
