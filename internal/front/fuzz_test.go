package front_test

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/internal/front"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// FuzzDecodeChat looks for a body that crashes the decoder, is refused without
// a reason, or is taken and cannot be passed on to an engine.
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
				t.Fatalf("refused with %v", err)
			}
			return
		}
		if r.Model == "" || r.PromptTokens < 1 || !r.Idempotent {
			t.Fatalf("taken as %+v", r)
		}
		if _, err := engine.ChatBody(r.Body, ident.Release{Model: r.Model, Version: "1"}); err != nil {
			t.Fatalf("taken, but cannot be passed on: %v", err)
		}
	})
}
