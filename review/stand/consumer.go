package main

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// ask is a request of a consumer.
type ask struct {
	id, method, host, path, key, prefix string
	body                                string
	budget                              time.Duration
}

// outcome is what the consumer saw.
type outcome struct {
	status   int // 0 without an answer
	stamp    string
	after    string // Retry-After
	body     string
	complete bool
}

var lastID atomic.Int64

// newID returns an id that no request had before.
func newID(kind string) string {
	return kind + "-" + strconv.FormatInt(lastID.Add(1), 10)
}

func (a ask) request(address string) (*http.Request, error) {
	var body io.Reader
	if a.body != "" {
		body = bytes.NewReader([]byte(a.body))
	}
	q, err := http.NewRequest(a.method, "http://"+address+a.path, body)
	if err != nil {
		return nil, err
	}
	q.Host = a.host
	q.Header.Set("Attempt-Id", a.id)
	q.Header.Set("Deadline-Ms", strconv.FormatInt(a.budget.Milliseconds(), 10))
	q.Header.Set("Authorization", "Bearer "+a.key)
	if a.prefix != "" {
		q.Header.Set("Model", "m")
		q.Header.Set("Token-Usage", "1090,20")
		q.Header.Set("Prompt-Prefix", a.prefix)
	}
	return q, nil
}

// send sends a request to a router over a new connection.
func (r *run) send(p *router, a ask) outcome {
	client := http.Client{Timeout: a.budget + time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	q, err := a.request(p.front)
	if err != nil {
		return outcome{}
	}
	r.note("request %s is sent to %s with key %s", a.id, p.name, a.key)
	answer, err := client.Do(q)
	if err != nil {
		r.note("request %s gets no answer: %v", a.id, err)
		return outcome{}
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	o := outcome{status: answer.StatusCode, stamp: answer.Header.Get("Server-Stamp"), after: answer.Header.Get("Retry-After"), body: string(text), complete: err == nil}
	r.note("request %s is answered %d, stamp %q, Retry-After %q, complete %v, %d bytes", a.id, o.status, o.stamp, o.after, o.complete, len(text))
	return o
}
