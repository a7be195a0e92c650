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
	// maxID bounds request, session and class ids and idempotency keys, in bytes.
	maxID = 128
	// quickTokens is the largest answer that counts as a quick one.
	quickTokens ident.Tokens = 64
	// bytesPerToken estimates a prompt's tokens from its length.
	bytesPerToken = 4
)

// chatBody is the part of a chat request that the router reads; the rest is
// passed on as it is.
type chatBody struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
	Max      *ident.Tokens `json:"max_tokens"`
	MaxNew   *ident.Tokens `json:"max_completion_tokens"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// DecodeChat reads a chat request's body, and fails with a *flow.Refusal that
// names what is wrong.
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
	model, version, versioned := strings.Cut(chat.Model, "@")
	if model == "" || versioned && version == "" {
		return flow.Request{}, invalid(`field "model" ` + strconv.Quote(chat.Model) + " is not of the form model or model@version")
	}
	return flow.Request{
		Model:        ident.ModelID(model),
		Version:      ident.VersionID(version),
		Body:         body,
		Prompt:       prompt,
		PromptTokens: ident.Tokens(len(prompt)/bytesPerToken + 1),
		Idempotent:   true,
		ShortAnswer:  chat.quick(),
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

func (c chatBody) quick() bool {
	if c.MaxNew != nil {
		return *c.MaxNew <= quickTokens
	}
	return c.Max != nil && *c.Max <= quickTokens
}

// readBody reads a JSON body of at most limit bytes.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	kind, _, _ := strings.Cut(r.Header.Get("Content-Type"), ";")
	if strings.TrimSpace(kind) != "application/json" {
		return nil, invalid("content type " + strconv.Quote(kind) + " is not application/json")
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		message := "body exceeds " + strconv.FormatInt(limit, 10) + " bytes"
		return nil, &flow.Refusal{Code: flow.CodeTooLarge, Message: message, Ran: flow.RanNo}
	}
	if err != nil {
		return nil, invalid("body could not be read: " + err.Error())
	}
	return body, nil
}

// readHeaders fills in what a request's headers say.
func readHeaders(r *flow.Request, header http.Header, now time.Time) error {
	request, err := id(header, "X-Request-Id")
	if err != nil {
		return err
	}
	if request == "" {
		request = uuid.NewString()
	}
	r.Key = ident.RequestKey{Team: r.Team.ID, Request: ident.RequestID(request)}
	session, err := id(header, "X-Session-Id")
	if err != nil {
		return err
	}
	r.Session = ident.SessionID(session)
	class, err := id(header, "X-Class")
	if err != nil {
		return err
	}
	r.Class = ident.ClassID(class)
	r.SessionToken = header.Get("X-Session-Token")
	r.Trace = header.Get("traceparent")
	r.Deadline, err = deadline(header, now, r.Team.Deadline)
	return err
}

func id(header http.Header, name string) (string, error) {
	value := header.Get(name)
	if len(value) > maxID {
		return "", invalid("header " + name + " exceeds " + strconv.Itoa(maxID) + " bytes")
	}
	if strings.ContainsAny(value, "/\r\n\x00") || !utf8.ValidString(value) {
		return "", invalid("header " + name + " holds a slash, a control character or invalid UTF-8")
	}
	return value, nil
}

func deadline(header http.Header, now time.Time, usual time.Duration) (time.Time, error) {
	text := header.Get("X-Deadline-Ms")
	if text == "" {
		return now.Add(usual), nil
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
