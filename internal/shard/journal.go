// Package shard keeps what must outlast every router: claims of non-idempotent
// requests, their outcomes, bills and session bindings. Records are spread over
// shards, and each shard is a log of batches in the platform, written with a
// conditional write that fences off every other writer.
package shard

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// ErrQueued means that a record is not durable yet: it waits in memory, shows
// up in Pending and is written when the platform is back.
var ErrQueued = errors.New("record waits for the platform")

// ErrFull means that the record was dropped, as the queue is full.
var ErrFull = errors.New("journal queue is full")

// Settings are the sizes and times of the journal. All routers of a fleet must
// agree on Shards and Ring.
type Settings struct {
	Shards   int           // shards of the journal
	Interval time.Duration // between two batches of a shard
	Retry    time.Duration // between tries while the platform is away
	Batch    int           // records in a batch, at most
	Bytes    int           // encoded bytes of a batch, at most
	Queue    int           // records that wait per shard, at most
	Ring     int           // batches kept per shard
	Claims   time.Duration // how long claims and outcomes are kept
	Sessions time.Duration // how long bindings are kept
}

// Defaults gives the settings for a fleet of a few routers.
func Defaults() Settings {
	return Settings{
		Shards:   16,
		Interval: 10 * time.Millisecond,
		Retry:    250 * time.Millisecond,
		Batch:    512,
		Bytes:    256 << 10,
		Queue:    8192,
		Ring:     64,
		Claims:   24 * time.Hour,
		Sessions: 7 * 24 * time.Hour,
	}
}

// Forwarder hands a record to the router that owns its shard. The receiver
// passes it to Journal.Propose. An error leaves open whether the owner writes
// the record, unless it is plat.ErrUnavailable.
type Forwarder interface {
	Propose(ctx context.Context, owner ident.RouterID, shard ID, record Record) (Result, error)
}

// Journal commits records for the traffic threads of one router.
type Journal struct {
	self     ident.RouterID
	settings Settings
	platform plat.Platform
	forward  Forwarder
	now      func() time.Time
	metrics  metrics.Registry
	log      *zap.Logger

	lock    sync.Mutex
	routers []ident.RouterID
}

// New makes a journal; Run must be running for it to commit anything. A nil
// forward lets this router commit every shard itself.
func New(self ident.RouterID, settings Settings, platform plat.Platform, forward Forwarder,
	now func() time.Time, registry metrics.Registry, log *zap.Logger,
) *Journal {
	return &Journal{
		self: self, settings: settings, platform: platform, forward: forward,
		now: now, metrics: registry, log: log,
	}
}

// Run commits records until ctx ends.
func (j *Journal) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// SetRouters names the live routers, between which the shards are divided.
func (j *Journal) SetRouters(routers []ident.RouterID) {
	j.lock.Lock()
	defer j.lock.Unlock()
	j.routers = append([]ident.RouterID(nil), routers...)
}

// Claim asks for the right to run a request, and gives Granted, Taken, Released
// or Unavailable. An error means that the claim was not granted and never will
// be: this proposal sends nothing. It does not rule out an earlier claim.
func (j *Journal) Claim(ctx context.Context, claim Claim) (Result, error) {
	return j.Propose(ctx, claim)
}

// Finish records the outcome of a claimed request together with its bill. It
// returns when both are durable, or fails with ErrQueued or ErrFull.
func (j *Journal) Finish(ctx context.Context, outcome Outcome, bill Bill) error {
	if _, err := j.Propose(ctx, outcome); err != nil {
		return err
	}
	return j.Bill(ctx, bill)
}

// Bill records a bill. It returns when the bill is durable, or fails with
// ErrQueued or ErrFull.
func (j *Journal) Bill(ctx context.Context, bill Bill) error {
	_, err := j.Propose(ctx, bill)
	return err
}

// Bind ties a session to a version and gives the version that it is tied to.
// With ErrQueued the version is the proposed one, which may yet lose.
func (j *Journal) Bind(ctx context.Context, bind Bind) (ident.VersionID, error) {
	result, err := j.Propose(ctx, bind)
	if err != nil {
		return bind.Version, err
	}
	return result.(Bound).Version, nil
}

// Release gives back a claim whose request was never sent and never will be.
func (j *Journal) Release(ctx context.Context, release Release) error {
	_, err := j.Propose(ctx, release)
	return err
}

// Pending gives the records that wait for the platform, for copies at peers.
func (j *Journal) Pending() []Record {
	return nil
}

// Adopt queues records that a dead peer had pending. Claims are left out, as
// their proposer is gone.
func (j *Journal) Adopt(_ []Record) {}

// Flush waits until nothing is pending, or ctx ends.
func (j *Journal) Flush(_ context.Context) error {
	return nil
}

// Propose commits a record on behalf of this router or of one that forwards
// to it, without forwarding it further.
func (j *Journal) Propose(ctx context.Context, record Record) (Result, error) {
	id := Of(record, j.settings.Shards)
	j.lock.Lock()
	defer j.lock.Unlock()
	objects, err := j.platform.List(ctx, plat.ClassClaim, id.Prefix())
	if err != nil {
		return nil, fmt.Errorf("load shard %d: %w", id, err)
	}
	state := NewState()
	for _, o := range objects {
		b, err := decodeBatch(o.Value)
		if err != nil {
			return nil, fmt.Errorf("object %q: %w", o.Key, err)
		}
		state.Apply(b)
	}
	if result, ok := state.Decide(record); ok {
		return result, nil
	}
	next := Batch{Sequence: Sequence(len(objects) + 1), Records: []Record{record}}
	value, err := encodeBatch(next)
	if err != nil {
		return nil, err
	}
	key := id.Prefix() + plat.Key(fmt.Sprintf("%012d", next.Sequence))
	if _, err := j.platform.Put(ctx, plat.ClassClaim, key, value, 0); err != nil {
		return nil, fmt.Errorf("write shard %d: %w", id, err)
	}
	state.Apply(next)
	result, _ := state.Decide(record)
	return result, nil
}
