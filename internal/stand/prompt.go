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
	// BlockBytes is the length of prompt text that makes one cache block.
	BlockBytes = 256
	// bytesPerToken is the length of prompt text that counts as one token.
	bytesPerToken = 4
	// minAnswer and answerSpread bound the length of an answer whose request
	// names no limit, in tokens.
	minAnswer    = 16
	answerSpread = 32
)

// difficultyMarker precedes a number from 0 to 1 within a prompt that says how
// hard it is to answer well.
const difficultyMarker = "difficulty="

// Prompt is what an engine takes from the body of a chat request.
type Prompt struct {
	Release         ident.Release
	Text            string // role and content of each message, a line each
	MaxAnswerTokens int    // of answer tokens, 0 for none
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

// ReadPrompt decodes a chat request whose model is of the form name@version.
func ParsePrompt(body []byte) (Prompt, error) {
	b, err := readBody(body)
	if err != nil {
		return Prompt{}, err
	}
	release, err := ident.ParseRelease(b.Model)
	if err != nil {
		return Prompt{}, fmt.Errorf("reading model: %w", err)
	}
	return b.prompt(release), nil
}

// PromptFor decodes a caller's chat request, whatever model it names, as the
// release receives it.
func ParsePromptFor(body []byte, release ident.Release) (Prompt, error) {
	b, err := readBody(body)
	if err != nil {
		return Prompt{}, err
	}
	return b.prompt(release), nil
}

func readBody(body []byte) (chatBody, error) {
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
	return Prompt{Release: release, Text: text(b.Messages), MaxAnswerTokens: max(b.MaxTokens, b.MaxCompletion)}
}

// Tokens gives the length of the prompt.
func (p Prompt) Tokens() int {
	return len(p.Text)/bytesPerToken + 1
}

// AnswerTokens gives the length of the answer, which is the same each time.
func (p Prompt) AnswerTokens() int {
	if p.MaxAnswerTokens > 0 {
		return p.MaxAnswerTokens
	}
	return minAnswer + int(p.seed()%answerSpread)
}

// Difficulty gives the number after "difficulty=" in the prompt, or 0.5.
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

// Blocks gives the hashes of the prompt's whole cache blocks, each covering
// the text from the beginning to its own end.
func (p Prompt) BlockHashes() []uint64 {
	return HashBlocks(p.Text)
}

// Blocks hashes each whole block of BlockBytes of the text together with the
// hash of the block before it (8 bytes, little endian; 0 before the first).
func HashBlocks(text string) []uint64 {
	found := make([]uint64, 0, len(text)/BlockBytes)
	var previous uint64
	for len(text) >= BlockBytes {
		chained := binary.LittleEndian.AppendUint64(make([]byte, 0, 8+BlockBytes), previous)
		previous = xxhash.Sum64(append(chained, text[:BlockBytes]...))
		found = append(found, previous)
		text = text[BlockBytes:]
	}
	return found
}

// Piece gives the n-th token of the answer, without regard to its quality.
func (p Prompt) TokenText(n int) string {
	mixed := xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, p.seed()+uint64(n)*0x9e3779b97f4a7c15))
	return vocabulary[mixed%uint64(len(vocabulary))] + strconv.Itoa(n) + " "
}

// Quality gives the quality of an answer by a release whose answers to prompts
// of middling difficulty have the given quality.
func (p Prompt) Quality(base ident.Quality) ident.Quality {
	return min(1, max(0, 1-(1-base)*ident.Quality(2*p.Difficulty())))
}

// Answer gives the whole answer of a healthy engine of that quality.
func (p Prompt) Answer(base ident.Quality) string {
	var b strings.Builder
	for n := range p.AnswerTokens() {
		b.WriteString(p.TokenText(n))
	}
	b.WriteString(QualityMark(p.Quality(base)))
	return b.String()
}

// seed depends on the release and the messages, and on nothing that a router
// may rewrite.
func (p Prompt) seed() uint64 {
	return xxhash.Sum64String(p.Release.String() + "\n" + p.Text)
}

var vocabulary = [...]string{
	"ledger", "hour", "credit", "member", "care", "repair", "lesson", "coordinator",
	"roster", "puppy", "family", "walk", "vet", "handover", "route", "letter",
}

func text(messages []chatMessage) string {
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
