package stand

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// BlockBytes is the length of prompt text per cache block.
	BlockBytes = 256
	// bytesPerToken is the length of prompt text per token.
	bytesPerToken = 4
	// An answer without a requested limit has minAnswerTokens to
	// minAnswerTokens+answerTokenRange-1 tokens.
	minAnswerTokens  = 16
	answerTokenRange = 32
)

// difficultyMarker precedes a number from 0 to 1 in a prompt, its difficulty.
const difficultyMarker = "difficulty="

// Prompt is the part of a chat request that determines the answer.
type Prompt struct {
	Release         ident.Release
	Text            string // role and content of each message, one line each
	MaxAnswerTokens int    // 0 for no limit
}

type chatBody struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages"`
	MaxTokens     int           `json:"max_tokens"`
	MaxCompletion int           `json:"max_completion_tokens"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ParsePrompt decodes a chat request whose model has the form name@version.
func ParsePrompt(body []byte) (Prompt, error) {
	b, err := parseBody(body)
	if err != nil {
		return Prompt{}, err
	}
	release, err := ident.ParseRelease(b.Model)
	if err != nil {
		return Prompt{}, fmt.Errorf("reading model: %w", err)
	}
	return b.prompt(release), nil
}

// ParsePromptFor decodes a caller's chat request as if its model were the release.
func ParsePromptFor(body []byte, release ident.Release) (Prompt, error) {
	b, err := parseBody(body)
	if err != nil {
		return Prompt{}, err
	}
	return b.prompt(release), nil
}

func parseBody(body []byte) (chatBody, error) {
	var b chatBody
	if err := json.Unmarshal(body, &b); err != nil {
		return b, fmt.Errorf("decoding chat request: %w", err)
	}
	if len(b.Messages) == 0 {
		return b, errors.New("chat request has no messages")
	}
	return b, nil
}

func (b chatBody) prompt(release ident.Release) Prompt {
	return Prompt{Release: release, Text: joinMessages(b.Messages), MaxAnswerTokens: max(b.MaxTokens, b.MaxCompletion)}
}

// Tokens returns the length of the prompt in tokens.
func (p Prompt) Tokens() int {
	return len(p.Text)/bytesPerToken + 1
}

// AnswerTokens returns the length of the answer in tokens, which is deterministic.
func (p Prompt) AnswerTokens() int {
	if p.MaxAnswerTokens > 0 {
		return p.MaxAnswerTokens
	}
	return minAnswerTokens + int(p.seed()%answerTokenRange)
}

// Difficulty returns the number after "difficulty=" in the prompt, limited to 0 to
// 1, or 0.5 if there is none.
func (p Prompt) Difficulty() float64 {
	_, rest, ok := strings.Cut(p.Text, difficultyMarker)
	if !ok {
		return 0.5
	}
	end := strings.IndexFunc(rest, func(r rune) bool { return r != '.' && (r < '0' || r > '9') })
	if end < 0 {
		end = len(rest)
	}
	difficulty, err := strconv.ParseFloat(strings.TrimRight(rest[:end], "."), 64)
	if err != nil {
		return 0.5
	}
	return min(1, max(0, difficulty))
}

// BlockHashes returns the hashes of the prompt's complete cache blocks. Each hash
// covers the text from the beginning to the end of its block.
func (p Prompt) BlockHashes() []uint64 {
	return HashBlocks(p.Text)
}

// HashBlocks hashes each complete block of BlockBytes of the text, prefixed with the
// hash of the previous block (8 bytes, little endian; 0 for the first).
func HashBlocks(text string) []uint64 {
	hashes := make([]uint64, 0, len(text)/BlockBytes)
	var previous uint64
	for len(text) >= BlockBytes {
		chained := binary.LittleEndian.AppendUint64(make([]byte, 0, 8+BlockBytes), previous)
		previous = xxhash.Sum64(append(chained, text[:BlockBytes]...))
		hashes = append(hashes, previous)
		text = text[BlockBytes:]
	}
	return hashes
}

// TokenText returns the n-th token of the answer, which does not depend on the
// quality.
func (p Prompt) TokenText(n int) string {
	mixed := xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, p.seed()+uint64(n)*0x9e3779b97f4a7c15))
	return vocabulary[mixed%uint64(len(vocabulary))] + strconv.Itoa(n) + " "
}

// Quality returns the quality of the answer of a release whose answers to prompts
// of difficulty 0.5 have quality base.
func (p Prompt) Quality(base ident.Quality) ident.Quality {
	return min(1, max(0, 1-(1-base)*ident.Quality(2*p.Difficulty())))
}

// Answer returns the complete answer of an engine without faults whose release has
// quality base.
func (p Prompt) Answer(base ident.Quality) string {
	var b strings.Builder
	for n := range p.AnswerTokens() {
		b.WriteString(p.TokenText(n))
	}
	b.WriteString(QualityMark(p.Quality(base)))
	return b.String()
}

// seed returns a hash of the release and the messages. It does not depend on the
// fields of the request that a router may rewrite.
func (p Prompt) seed() uint64 {
	return xxhash.Sum64String(p.Release.String() + "\n" + p.Text)
}

var vocabulary = [...]string{
	"ledger", "hour", "credit", "member", "care", "repair", "lesson", "coordinator",
	"roster", "puppy", "family", "walk", "vet", "handover", "route", "letter",
}

func joinMessages(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		var content string
		if json.Unmarshal(m.Content, &content) != nil {
			content = string(m.Content)
		}
		b.WriteString(content)
		b.WriteByte('\n')
	}
	return b.String()
}
