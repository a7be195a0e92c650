// Package shard keeps what must outlast every router: claims of non-idempotent
// requests, their outcomes, bills and session bindings. Records are spread over
// shards, and each shard is a log of batches in the platform, written with a
// conditional write that fences off every other writer.
package shard

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// The errors that callers of Journal tell apart by errors.Is.
var (
	// ErrQueued means that a record is not durable yet: it waits in memory,
	// shows up in Pending and is written when the platform is back.
	ErrQueued = errors.New("record waits for the platform")
	// ErrFull means that the record was dropped, as the queue is full or the
	// journal has stopped.
	ErrFull = errors.New("journal queue is full")
	// ErrBody means that an outcome's body is longer than MaxBody.
	ErrBodyTooLarge = errors.New("outcome is too long")
)

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
	log      *zap.Logger

	agreed  atomic.Bool // the journal's shape is known to be ours
	routers atomic.Pointer[[]ident.RouterID]
	runners []*runner
	done    chan struct{} // closed when Run ends
}

// New makes a journal; Run must be running for it to commit anything. A nil
// forward lets this router commit every shard itself.
func New(self ident.RouterID, settings Settings, platform plat.Platform, forward Forwarder,
	now func() time.Time, registry metrics.Registry, log *zap.Logger,
) *Journal {
	j := &Journal{
		self: self, settings: settings, platform: platform, forward: forward,
		now: now, log: log, done: make(chan struct{}),
	}
	writer := Nonce(fmt.Sprintf("%s-%s", self, uuid.NewString()))
	meter := newMeter(registry)
	for i := range settings.Shards {
		j.runners = append(j.runners, newRunner(j, ID(i), writer, meter))
	}
	return j
}

// Run commits records until ctx ends. It fails if the settings can't work or
// differ from those that the journal was made with.
func (j *Journal) Run(ctx context.Context) error {
	defer close(j.done)
	if err := j.settings.Check(); err != nil {
		return fmt.Errorf("journal settings: %w", err)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return j.agree(ctx) })
	for _, r := range j.runners {
		group.Go(func() error {
			r.run(ctx)
			return nil
		})
	}
	return group.Wait()
}

// SetRouters names the live routers, between which the shards are divided.
func (j *Journal) SetRouters(routers []ident.RouterID) {
	names := append([]ident.RouterID(nil), routers...)
	j.routers.Store(&names)
}

// Claim asks for the right to run a request, and gives Granted, Taken, Released
// or Unavailable. Only after Granted may the request be sent, and whoever then
// does not send it must call Release. After Unavailable this claim never takes
// effect, but an earlier claim of the same key may exist.
func (j *Journal) Claim(ctx context.Context, claim Claim) (Result, error) {
	result, lost := j.propose(ctx, claim)
	u, refused := result.(Unavailable)
	if refused && (lost || u.Written) {
		j.Enqueue([]Record{Release{Key: claim.Key, Nonce: claim.Nonce, At: claim.At}})
	}
	return result, nil
}

// Finish records the outcome of a claimed request together with its bill. It
// returns when both are durable, or fails with ErrBody, ErrQueued or ErrFull.
func (j *Journal) Finish(ctx context.Context, outcome Outcome, bill Bill) error {
	if len(outcome.Body) > MaxBodyBytes {
		return fmt.Errorf("outcome of %s is %d bytes, at most %d are kept: %w", outcome.Key, len(outcome.Body), MaxBodyBytes, ErrBodyTooLarge)
	}
	billed := make(chan error, 1)
	go func() { billed <- j.Bill(ctx, bill) }()
	_, err := j.commit(ctx, outcome)
	if billErr := <-billed; billErr != nil {
		return billErr
	}
	return err
}

// Bill records a bill. It returns when the bill is durable, or fails with
// ErrQueued or ErrFull.
func (j *Journal) Bill(ctx context.Context, bill Bill) error {
	_, err := j.commit(ctx, bill)
	return err
}

// Bind ties a session to a version and gives the version that it is tied to.
// With ErrQueued the version is the proposed one, which may yet lose.
func (j *Journal) Bind(ctx context.Context, bind Binding) (ident.VersionID, error) {
	result, err := j.commit(ctx, bind)
	if err != nil {
		return bind.Version, err
	}
	b, ok := result.(Bound)
	if !ok {
		return bind.Version, fmt.Errorf("bind %s: unexpected answer %T", bind.Session, result)
	}
	return b.Version, nil
}

// Release gives back a claim whose request was never sent and never will be.
// It fails with ErrQueued if that is not durable yet.
func (j *Journal) Release(ctx context.Context, release Release) error {
	_, err := j.commit(ctx, release)
	return err
}

// Propose commits a record for another router that forwards it to this one. A
// record that can't be written now is not kept: the other router keeps it.
func (j *Journal) Propose(ctx context.Context, record Record) (Result, error) {
	return j.runner(record).commit(ctx, record, false), nil
}

// Pending gives the records that wait for the platform, for copies at peers.
// Claims are not among them.
func (j *Journal) Pending() []Record {
	var records []Record
	for _, r := range j.runners {
		records = append(records, r.pending()...)
	}
	return records
}

// Adopt queues records that a peer had pending when it died. Claims are left
// out, as nobody waits for them.
func (j *Journal) Enqueue(records []Record) {
	for _, record := range records {
		if !isClaim(record) {
			j.runner(record).post(message{event: Propose{Record: record, Retain: true}, waiter: newWaiter()})
		}
	}
}

// Take queues records like Adopt, and gives those that it had no room for.
// The others are durable, or in Pending until they are; claims are left out.
func (j *Journal) TryEnqueue(ctx context.Context, records []Record) []Record {
	refused := make([]bool, len(records))
	var group errgroup.Group
	group.SetLimit(inboxSize)
	for i, record := range records {
		if isClaim(record) {
			continue
		}
		group.Go(func() error {
			_, refused[i] = j.runner(record).commit(ctx, record, true).(Unavailable)
			return nil
		})
	}
	_ = group.Wait()
	var rest []Record
	for i, record := range records {
		if refused[i] {
			rest = append(rest, record)
		}
	}
	return rest
}

// Flush waits until nothing is pending, or fails when ctx ends.
func (j *Journal) Flush(ctx context.Context) error {
	for _, r := range j.runners {
		if err := r.flush(ctx); err != nil {
			return fmt.Errorf("flush shard %d: %w", r.shard, err)
		}
	}
	return nil
}

// commit makes a record durable that is not a claim.
func (j *Journal) commit(ctx context.Context, record Record) (Result, error) {
	result, _ := j.propose(ctx, record)
	switch result.(type) {
	case Queued:
		return nil, ErrQueued
	case Unavailable:
		return nil, ErrFull
	default:
		return result, nil
	}
}

// propose has the shard's owner commit the record, or else this router. It
// tells whether a forward was lost, so that the owner may write it yet.
func (j *Journal) propose(ctx context.Context, record Record) (Result, bool) {
	result, lost := j.ask(ctx, record)
	if result != nil {
		return result, lost
	}
	return j.runner(record).commit(ctx, record, true), lost
}

// ask forwards the record, and gives no result if this router must see to the
// record itself: it is the owner, or the owner can't.
func (j *Journal) ask(ctx context.Context, record Record) (Result, bool) {
	shard := Of(record, j.settings.Shards)
	routers := j.routers.Load()
	if j.forward == nil || routers == nil {
		return nil, false
	}
	owner := Owner(shard, *routers)
	if owner == "" || owner == j.self {
		return nil, false
	}
	result, err := j.forward.Propose(ctx, owner, shard, record)
	if err != nil {
		return nil, !errors.Is(err, plat.ErrUnavailable)
	}
	u, refused := result.(Unavailable)
	if _, queued := result.(Queued); queued || refused && !(u.Full && isClaim(record)) {
		return nil, refused && u.Written
	}
	return result, false
}

// agree makes sure that the journal's shape is ours, as soon as the platform
// can tell. Until then nothing is read or written.
func (j *Journal) agree(ctx context.Context) error {
	ticker := time.NewTicker(j.settings.RetryDelay)
	defer ticker.Stop()
	for {
		err := agree(ctx, j.platform, j.settings)
		if err == nil {
			j.agreed.Store(true)
			return nil
		}
		if errors.Is(err, ErrLayoutMismatch) {
			return err
		}
		j.log.Warn("journal shape is not known yet", zap.Error(err))
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (j *Journal) runner(record Record) *runner {
	return j.runners[Of(record, j.settings.Shards)]
}
