package front

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// maxIDBytes limits request, session and class ids and idempotency keys.
	maxIDBytes = 128
	// shortAnswerTokens is the largest token limit of an answer that counts as short.
	shortAnswerTokens ident.Tokens = 64
	// bytesPerToken is the assumed length of a token, to estimate the tokens of a
	// prompt.
	bytesPerToken = 4
)

// chatBody holds the fields of a chat request that the router reads. Other fields
// are forwarded unchanged.
type chatBody struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           *ident.Tokens `json:"max_tokens"`
	MaxCompletionTokens *ident.Tokens `json:"max_completion_tokens"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// DecodeChat decodes the body of a chat request. Its errors are of type *flow.Refusal
// and say what is invalid.
func DecodeChat(body []byte) (flow.Request, error) {
	if !utf8.Valid(body) {
		return flow.Request{}, invalid("body is not valid UTF-8")
	}
	var chat chatBody
	if err := json.Unmarshal(body, &chat); err != nil {
		return flow.Request{}, invalid("body is not a chat request: " + err.Error())
	}
	if chat.Model == "" {
		return flow.Request{}, invalid(`field "model" is missing`)
	}
	if len(chat.Messages) == 0 {
		return flow.Request{}, invalid(`field "messages" is missing or empty`)
	}
	prompt := chat.prompt()
	model, version, hasVersion := strings.Cut(chat.Model, "@")
	if model == "" || hasVersion && version == "" {
		return flow.Request{}, invalid(`field "model" ` + strconv.Quote(chat.Model) + " is not of the form model or model@version")
	}
	return flow.Request{
		Model:        ident.ModelID(model),
		Version:      ident.VersionID(version),
		Body:         body,
		Prompt:       prompt,
		PromptTokens: ident.Tokens(len(prompt)/bytesPerToken + 1),
		Idempotent:   true,
		ShortAnswer:  chat.shortAnswer(),
		Stream:       chat.Stream,
	}, nil
}

func (c chatBody) prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.Write(bytes.TrimSpace(m.Content))
		b.WriteByte('\n')
	}
	return b.String()
}

func (c chatBody) shortAnswer() bool {
	if c.MaxCompletionTokens != nil {
		return *c.MaxCompletionTokens <= shortAnswerTokens
	}
	return c.MaxTokens != nil && *c.MaxTokens <= shortAnswerTokens
}

func checkContentType(r *http.Request) error {
	contentType, _, _ := strings.Cut(r.Header.Get("Content-Type"), ";")
	if strings.TrimSpace(contentType) != "application/json" {
		return invalid("content type " + strconv.Quote(contentType) + " is not application/json")
	}
	return nil
}

// readBody reads a JSON body of at most limit bytes.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	if err := checkContentType(r); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errBodyTooLong(limit)
	}
	if err != nil {
		return nil, invalid("body could not be read: " + err.Error())
	}
	return body, nil
}

// readHeaders sets the fields of a request that are given by headers.
func readHeaders(r *flow.Request, header http.Header, now time.Time) error {
	request, err := headerID(header, "X-Request-Id")
	if err != nil {
		return err
	}
	if request == "" {
		request = uuid.NewString()
	}
	r.Key = ident.RequestKey{Team: r.Team.ID, Request: ident.RequestID(request)}
	session, err := headerID(header, "X-Session-Id")
	if err != nil {
		return err
	}
	r.Session = ident.SessionID(session)
	class, err := headerID(header, "X-Class")
	if err != nil {
		return err
	}
	r.Class = ident.ClassID(class)
	r.SessionToken = header.Get("X-Session-Token")
	r.Trace = header.Get("traceparent")
	r.Deadline, err = headerDeadline(header, now, r.Team.Deadline)
	return err
}

func headerID(header http.Header, name string) (string, error) {
	value := header.Get(name)
	if len(value) > maxIDBytes {
		return "", invalid("header " + name + " exceeds " + strconv.Itoa(maxIDBytes) + " bytes")
	}
	if strings.ContainsAny(value, "/\r\n\x00") || !utf8.ValidString(value) {
		return "", invalid("header " + name + " holds a slash, a control character or invalid UTF-8")
	}
	return value, nil
}

func headerDeadline(header http.Header, now time.Time, defaultTimeout time.Duration) (time.Time, error) {
	text := header.Get("X-Deadline-Ms")
	if text == "" {
		return now.Add(defaultTimeout), nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return time.Time{}, invalid("header X-Deadline-Ms " + strconv.Quote(text) + " is not a number of milliseconds")
	}
	if millis <= 0 {
		return time.Time{}, &flow.Refusal{Code: flow.CodeDeadline, Message: "deadline is in the past", Ran: flow.RanNo}
	}
	return now.Add(time.Duration(millis) * time.Millisecond), nil
}
