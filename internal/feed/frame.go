// Package feed distributes the contents of the platform's store from the few
// routers that read it to all others over gRPC streams, and collects evidence
// on versions and load reports on the same streams. The number of calls to the
// store therefore does not grow with the number of routers.
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
	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Update holds changes to the objects of one kind, or all objects of the kind. All
// versions in it are of one era.
type Update struct {
	Kind     plat.Key
	Full     bool         // Changes lists all objects; those not listed are deleted
	Revision plat.Version // store revision up to which the update is complete
	Changes  []plat.Change
}

// updateRecord is the wire form of an Update. Its revisions are the store's
// counter values, as routers that know no eras send and expect them.
type updateRecord struct {
	Kind     plat.Key      `json:"kind"`
	Full     bool          `json:"whole,omitempty"`
	Era      plat.Era      `json:"era,omitempty"`
	Revision uint64        `json:"upto"`
	Changes  []plat.Change `json:"changes,omitempty"`
}

// MarshalJSON returns the wire form of an update.
func (u Update) MarshalJSON() ([]byte, error) {
	raw, err := json.Marshal(updateRecord{
		Kind: u.Kind, Full: u.Full, Era: u.Revision.Era(), Revision: u.Revision.Counter(),
		Changes: mapVersions(u.Changes, func(v plat.Version) plat.Version { return plat.Version(v.Counter()) }),
	})
	if err != nil {
		return nil, fmt.Errorf("encoding an update of %q: %w", u.Kind, err)
	}
	return raw, nil
}

// UnmarshalJSON decodes the wire form of an update.
func (u *Update) UnmarshalJSON(raw []byte) error {
	var r updateRecord
	if err := json.Unmarshal(raw, &r); err != nil {
		return fmt.Errorf("decoding an update: %w", err)
	}
	withEra := func(v plat.Version) plat.Version { return plat.NewVersion(r.Era, uint64(v)) }
	*u = Update{Kind: r.Kind, Full: r.Full, Revision: plat.NewVersion(r.Era, r.Revision), Changes: mapVersions(r.Changes, withEra)}
	return nil
}

// mapVersions returns a copy of changes with each version replaced.
func mapVersions(changes []plat.Change, replace func(plat.Version) plat.Version) []plat.Change {
	if changes == nil {
		return nil
	}
	out := make([]plat.Change, len(changes))
	for i, c := range changes {
		c.At, c.Object.Version = replace(c.At), replace(c.Object.Version)
		out[i] = c
	}
	return out
}

// Frame is one message of a stream, in either direction.
type Frame struct {
	From    ident.RouterID `json:"from,omitempty"`
	Updates []Update       `json:"news,omitempty"`
	// Ages holds, for each kind, the time since the sender's data was last
	// confirmed by the store.
	Ages map[plat.Key]time.Duration `json:"ages,omitempty"`
	// Confirmed names, for each kind, the answer of the store to which Ages refers. A
	// router that has no data of the kind, or knows no confirmations, names none.
	Confirmed map[plat.Key]Confirmation `json:"confirmed,omitempty"`
	// Store tells whether the store was unavailable. It comes with Ages; a router of an
	// earlier build sends none.
	Store *StoreReport `json:"store,omitempty"`
	// Origin tells where the sender's data comes from. It comes with Ages; a router of an
	// earlier build sends none.
	Origin *Origin `json:"origin,omitempty"`
	// Answered tells, in a frame to the parent whose data is not current, that the store has
	// answered the sender lately: it reads the store for routers that follow it.
	Answered bool `json:"answered,omitempty"`
	// Evidence holds tallies on versions, in the encoding of package syncer.
	Evidence []json.RawMessage `json:"evidence,omitempty"`
	// Crashes holds the requests that ran while endpoints ended, and the shared parts
	// of their prompts.
	Crashes *poison.Delta         `json:"crashes,omitempty"`
	Limits  []route.EndpointLimit `json:"limits,omitempty"`
	Pinned  []PinnedSession       `json:"kept,omitempty"`
	Load    *Load                 `json:"load,omitempty"`
	// Prefixes holds the hashes of prompt prefixes that were told before the receiver began
	// to follow, see Load.Prefixes.
	Prefixes map[ident.EndpointID][]uint64 `json:"prefixes,omitempty"`
}

// changesSnapshot reports whether the frame tells what a snapshot holds too, and each
// follower hears once. Loads are told again and again.
func (f *Frame) changesSnapshot() bool {
	return len(f.Updates)+len(f.Evidence)+len(f.Limits)+len(f.Pinned) > 0 || f.Crashes != nil
}

// Confirmation identifies an answer of the store by which data was current. It stays
// the same whatever way it takes, so that a router recognizes one that it knows.
type Confirmation struct {
	Router ident.RouterID `json:"router"` // that the store answered
	Number uint64         `json:"number"` // rises with each answer to that router
}

// Origin tells over which routers the sender's data comes: first the one that reads the
// store, last the sender. The path is empty while the sender neither reads nor follows a
// router with current data: what it has may be recent, and nothing newer will come.
type Origin struct {
	Path []ident.RouterID `json:"path,omitempty"`
}

// StoreReport tells when the store answered anybody, as far as the sender knows.
type StoreReport struct {
	// Steady is for how long the sender has known of no gap in the store's answers, 0 if
	// it knows of no answer lately.
	Steady  time.Duration `json:"steady,omitempty"`
	Outages []Outage      `json:"outages,omitempty"`
}

// Outage is a time in which the store answered nobody that the sender hears of, and calls
// failed.
type Outage struct {
	Since time.Duration `json:"since"`           // time since the last answer before it
	Until time.Duration `json:"until,omitempty"` // time since the first answer after it
	Over  bool          `json:"over,omitempty"`  // whether there was such an answer
}

// Load describes the work that endpoints have been sent.
type Load struct {
	// Hops is the number of routers that have aggregated Pending, not counting
	// the router where it originated.
	Hops int `json:"depth,omitempty"`
	// Pending is the work that waits for a first event: that of the sender and
	// its followers in a frame to the parent, that of all routers in a frame to
	// followers. Each entry holds three numbers per model: the index in Models,
	// the number of requests and the work in milliseconds.
	Pending map[ident.EndpointID][]int64 `json:"waiting,omitempty"`
	Models  []ident.ModelID              `json:"models,omitempty"`
	// Prefixes holds the hashes of prompt prefixes sent to each endpoint.
	Prefixes map[ident.EndpointID][]uint64 `json:"read,omitempty"`
	// Speeds holds what has been measured of each model's speed, in the encoding of
	// package syncer. It is left out of most frames.
	Speeds map[ident.ModelID][]float64 `json:"speeds,omitempty"`
	// Uses holds, in a frame to the parent, what processes of routers have used of the
	// allowance of repeats: of the sender, and what its followers told.
	Uses []RepeatUse `json:"uses,omitempty"`
	// Losses holds, in a frame to the parent, what routers knew that have lost their parent:
	// the sender, and those whose Uses it passes on.
	Losses []RepeatLoss `json:"losses,omitempty"`
	// Debts holds, in a frame to followers, the debt and the gain of each service, see
	// retry.Pool, and the requests and the repeats of all routers. The debt is 0 if it is
	// covered. A router of an earlier build sends none.
	Debts map[ident.ServiceID][]float64 `json:"debts,omitempty"`
}

// RepeatLoss is what a router knew when it lost its parent, see retry.Loss.
type RepeatLoss struct {
	Router ident.RouterID `json:"router"`
	Age    time.Duration  `json:"age,omitempty"` // of Services
	// Services holds for each service the requests and the repeats of all routers, and then
	// those of this router.
	Services map[ident.ServiceID][]float64 `json:"services"`
}

// RepeatUse is what a process of a router has used of the allowance of repeats, see
// retry.ServiceUse.
type RepeatUse struct {
	Router  ident.RouterID `json:"router"`
	Started int64          `json:"started,omitempty"` // of the process, in milliseconds of its clock
	Age     time.Duration  `json:"age,omitempty"`     // of Services
	// Services holds for each service the requests and the repeats of the trailing window,
	// and the gain.
	Services map[ident.ServiceID][]float64 `json:"services"`
}

// PinnedSession is a session that stays on its version for a limited time.
type PinnedSession struct {
	Hash      uint64        `json:"session"` // hash that decides which version the roll-out assigns
	Remaining time.Duration `json:"left"`
}

// codecName is the gRPC content subtype of frames.
const codecName = "marigold-frame"

// codec encodes frames as JSON, compressed with DEFLATE if they are long. JSON
// needs no generated code, and the objects in a frame are JSON already. A frame
// sent to many followers is encoded once, by encode.
type codec struct{}

func init() { encoding.RegisterCodec(codec{}) }

// encodedFrame is the wire encoding of a frame.
type encodedFrame []byte

// Values of the first byte of an encoded frame.
const (
	encodingPlain   = 0
	encodingDeflate = 1
)

// deflateMinBytes is the shortest JSON text that is compressed; compression
// costs more than it saves below that.
const deflateMinBytes = 512

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

// inflate returns the text in the output of encode, of at most limit bytes.
func inflate(data []byte, limit int64) ([]byte, error) {
	if len(data) == 0 {
		return nil, errors.New("decoding a frame: no data")
	}
	text := data[1:]
	if data[0] == encodingDeflate {
		var err error
		if text, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(text)), limit+1)); err != nil {
			return nil, fmt.Errorf("decompressing a frame: %w", err)
		}
	}
	if int64(len(text)) > limit {
		return nil, errors.Errorf("decoding a frame: its text exceeds %d bytes", limit)
	}
	return text, nil
}

// decode parses the output of encode into f.
func decode(data []byte, f *Frame) error {
	text, err := inflate(data, maxFrameBytes)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, f); err != nil {
		return fmt.Errorf("decoding a frame: %w", err)
	}
	return nil
}

// Marshal returns the wire encoding of an encodedFrame or a *Frame.
func (codec) Marshal(v any) ([]byte, error) {
	switch x := v.(type) {
	case encodedFrame:
		return x, nil
	case *Frame:
		return encode(*x)
	}
	return nil, fmt.Errorf("encoding a frame: unexpected type %T", v)
}

// message is a frame that has not been decoded.
type message []byte

// Unmarshal decodes data into v, a *Frame, or keeps it in v, a *message.
func (codec) Unmarshal(data []byte, v any) error {
	if m, ok := v.(*message); ok {
		*m = data
		return nil
	}
	f, ok := v.(*Frame)
	if !ok {
		return fmt.Errorf("decoding a frame: unexpected type %T", v)
	}
	return decode(data, f)
}

// Name returns the content subtype of the codec.
func (codec) Name() string { return codecName }
