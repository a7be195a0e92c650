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

// stream is one run under way. Its run is guarded by the engine's mutex.
type stream struct {
	request chatRequest
	faults  EngineFaults
	empty   bool
	fail    bool
	total   int // answer tokens, resumed ones included
	quality ident.Quality
	job     *Job
	tokens  chan struct{} // one for each generated token
	cut     chan struct{} // closed by a crash
	run     EngineRun
}

// chunk is one frame of a streamed answer in the OpenAI form.
type chunk struct {
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

// frame gives the n-th frame of the answer; the one after the last token is
// final and carries the quality mark and the usage.
func (s *stream) frame(n int) chunk {
	c := chunk{
		ID:       s.request.request,
		Attempt:  s.request.attempt,
		Sequence: n,
		Object:   "chat.completion.chunk",
		Model:    s.request.prompt.Release,
		Choices:  []choice{{Delta: delta{Content: s.piece(n)}}},
	}
	if n < s.total {
		return c
	}
	finish := "stop"
	c.Choices[0].Finish = &finish
	prompt := s.request.prompt.Tokens()
	c.Usage = &usage{Prompt: prompt, Answer: s.total, Total: prompt + s.total}
	return c
}

func (s *stream) piece(n int) string {
	switch {
	case s.empty:
		return ""
	case n < s.total:
		return s.request.prompt.TokenText(n)
	default:
		return QualityMark(max(0, s.quality))
	}
}

// foreign gives a frame of an attempt that does not exist.
func (s *stream) foreign(n int) chunk {
	c := s.frame(min(n, s.total-1))
	c.ID = "foreign-" + c.ID
	c.Attempt = "foreign-" + c.Attempt
	c.Choices = []choice{{Delta: delta{Content: "foreign "}}}
	return c
}
