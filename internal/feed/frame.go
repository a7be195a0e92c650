// Package feed passes what a few routers read of the platform's store on to
// the others, and collects evidence on versions, over gRPC streams. The calls
// to the store then do not grow with the number of routers.
package feed

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/encoding"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// News are changes of one kind of objects, or all of its objects.
type Update struct {
	Kind     plat.Key      `json:"kind"`
	Full     bool          `json:"whole,omitempty"` // objects not named are gone
	Revision plat.Version  `json:"upto"`            // of the store, up to which this is complete
	Changes  []plat.Change `json:"changes,omitempty"`
}

// Frame is one message of a stream, either way.
type Frame struct {
	From    ident.RouterID `json:"from,omitempty"`
	Updates []Update       `json:"news,omitempty"`
	// Ages tells for each kind how long ago the sender last heard the store.
	Ages map[plat.Key]time.Duration `json:"ages,omitempty"`
	// Evidence is what package steer exchanges on versions, opaque here.
	Evidence []json.RawMessage `json:"evidence,omitempty"`
	Pinned   []PinnedSession   `json:"kept,omitempty"`
	Load     *Load             `json:"load,omitempty"`
}

// Load tells what endpoints have been sent.
type Load struct {
	// Depth is how many routers have added to Waiting one after the other, beside
	// the one that it began with.
	Hops int `json:"depth,omitempty"`
	// Waiting is what waits for a first event: of the sender and its followers
	// on the way up, of all routers on the way down. Each entry holds three
	// numbers for each model: its place in Models, requests, milliseconds.
	Pending map[ident.EndpointID][]int64 `json:"waiting,omitempty"`
	Models  []ident.ModelID              `json:"models,omitempty"`
	// Read are hashes of shared parts of prompts, by the endpoint that got them.
	Prefixes map[ident.EndpointID][]uint64 `json:"read,omitempty"`
}

// Kept tells of a session that stays on its version for a while.
type PinnedSession struct {
	Hash      uint64        `json:"session"` // its place in the draw of the roll-out
	Remaining time.Duration `json:"left"`
}

// codecName names the encoding of frames.
const codecName = "marigold-frame"

// codec encodes frames as JSON, which needs no generated code and is read
// beside the objects that it carries, deflated when they are long. A frame that
// goes to many followers is encoded once, by encode.
type codec struct{}

func init() { encoding.RegisterCodec(codec{}) }

// encoded is a frame's encoding, ready to be sent.
type encodedFrame []byte

// The first byte of an encoding.
const (
	encodingPlain   = 0
	encodingDeflate = 1
)

// deflateFrom is the length in bytes from which deflating pays.
const deflateMinBytes = 512

// encode encodes a frame.
func encode(f Frame) (encodedFrame, error) {
	text, err := json.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("encoding a frame: %w", err)
	}
	if len(text) < deflateMinBytes {
		return append([]byte{encodingPlain}, text...), nil
	}
	var b bytes.Buffer
	b.WriteByte(encodingDeflate)
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("deflating a frame: %w", err)
	}
	if _, err := w.Write(text); err != nil {
		return nil, fmt.Errorf("deflating a frame: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("deflating a frame: %w", err)
	}
	return b.Bytes(), nil
}

// decode reads what encode wrote.
func decode(data []byte, f *Frame) error {
	if len(data) == 0 {
		return errors.New("decoding a frame: it is empty")
	}
	text := data[1:]
	if data[0] == encodingDeflate {
		var err error
		if text, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(text)), maxFrameBytes)); err != nil {
			return fmt.Errorf("inflating a frame: %w", err)
		}
	}
	if err := json.Unmarshal(text, f); err != nil {
		return fmt.Errorf("decoding a frame: %w", err)
	}
	return nil
}

// Marshal gives the encoding of a frame.
func (codec) Marshal(v any) ([]byte, error) {
	switch x := v.(type) {
	case encodedFrame:
		return x, nil
	case *Frame:
		return encode(*x)
	}
	return nil, fmt.Errorf("encoding a frame: %T is none", v)
}

// Unmarshal reads a frame.
func (codec) Unmarshal(data []byte, v any) error {
	f, ok := v.(*Frame)
	if !ok {
		return fmt.Errorf("decoding a frame: %T is none", v)
	}
	return decode(data, f)
}

// Name names the encoding.
func (codec) Name() string { return codecName }
