// Package feed passes what a few routers read of the platform's store on to
// the others, and collects evidence on versions, over gRPC streams. The calls
// to the store then do not grow with the number of routers.
package feed

import (
	"encoding/json"
	"fmt"
	"time"

	"google.golang.org/grpc/encoding"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// News are changes of one kind of objects, or all of its objects.
type News struct {
	Kind    plat.Key      `json:"kind"`
	Whole   bool          `json:"whole,omitempty"` // objects not named are gone
	Upto    plat.Version  `json:"upto"`            // of the store, up to which this is complete
	Changes []plat.Change `json:"changes,omitempty"`
}

// Frame is one message of a stream, either way.
type Frame struct {
	From ident.RouterID `json:"from,omitempty"`
	News []News         `json:"news,omitempty"`
	// Ages tells for each kind how long ago the sender last heard the store.
	Ages map[plat.Key]time.Duration `json:"ages,omitempty"`
	// Evidence is what package steer exchanges on versions, opaque here.
	Evidence []json.RawMessage `json:"evidence,omitempty"`
	Kept     []Kept            `json:"kept,omitempty"`
}

// Kept tells of a session that stays on its version for a while.
type Kept struct {
	Session uint64        `json:"session"` // its place in the draw of the roll-out
	Left    time.Duration `json:"left"`
}

// codecName names the encoding of frames. It is JSON, which needs no generated
// code and is read beside the objects that it carries.
const codecName = "marigold-json"

type codec struct{}

func init() { encoding.RegisterCodec(codec{}) }

// Marshal encodes a frame.
func (codec) Marshal(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encoding a frame: %w", err)
	}
	return b, nil
}

// Unmarshal decodes a frame.
func (codec) Unmarshal(data []byte, v any) error {
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decoding a frame: %w", err)
	}
	return nil
}

// Name names the encoding.
func (codec) Name() string { return codecName }
