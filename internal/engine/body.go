package engine

import (
	"encoding/json"
	"fmt"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// ChatBody returns the body of a chat request to an engine: the caller's body with
// the release as model and streaming enabled. Other fields are kept unchanged.
func ChatBody(body []byte, release ident.Release) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("reading chat body: %w", err)
	}
	model, err := json.Marshal(release.String())
	if err != nil {
		return nil, fmt.Errorf("encoding release: %w", err)
	}
	fields["model"] = model
	fields["stream"] = json.RawMessage("true")
	changed, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encoding chat body: %w", err)
	}
	return changed, nil
}
