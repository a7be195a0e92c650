package front_test

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/internal/front"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// FuzzDecodeChat checks that the decoder does not panic, refuses with a reason, and
// accepts only bodies that can be forwarded to an engine.
func FuzzDecodeChat(f *testing.F) {
	for _, seed := range []string{
		`{"model":"condor","messages":[{"role":"user","content":"hola"}]}`,
		`{"model":"condor@2","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"stream":true,"max_tokens":9}`,
		`{"model":"@","messages":[{}],"max_completion_tokens":-1}`,
		`{"model":"condor@","messages":[{}]}`,
		`{"Model":"a","MESSAGES":[null]}`,
		`{"model":"a","model":"b","messages":[{"role":"user"}],"max_tokens":1e3}`,
		`{"model":["a"],"messages":{}}`,
		`{"messages":[]}`, `[]`, `null`, `"\ud800"`, "\xff", "", `{"model":"a","messages":[{"content":` + "\u2028}]}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := front.DecodeChat(body)
		if err != nil {
			var refusal *flow.Refusal
			if !errors.As(err, &refusal) || refusal.Ran != flow.RanNo || refusal.Message == "" {
				t.Fatalf("refused with %v, want a *flow.Refusal with a message and state \"no\"", err)
			}
			return
		}
		if r.Model == "" || r.PromptTokens < 1 || !r.Idempotent {
			t.Fatalf("accepted as %+v, want a model, prompt tokens and an idempotent request", r)
		}
		if _, err := engine.ChatBody(r.Body, ident.Release{Model: r.Model, Version: "1"}); err != nil {
			t.Fatalf("accepted, but cannot be forwarded: %v", err)
		}
	})
}
