// Package shard implements the journal, which durably stores claims of
// non-idempotent requests, their outcomes, bills and session bindings, so that
// they survive the loss of any router. Records are distributed over shards. Each
// shard is a log of batches in the platform, written with conditional writes so
// that of several concurrent writers only one succeeds.
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

// Errors returned by Journal, to be matched with errors.Is.
var (
	// ErrQueued means that a record is not durable yet: it is held in memory, is
	// included in Pending and is written when the platform is available again.
	ErrQueued = errors.New("record is queued until the platform is available")
	// ErrFull means that the record was dropped because the queue is full or the
	// journal has stopped.
	ErrFull = errors.New("journal queue is full")
	// ErrBodyTooLarge means that an outcome's body exceeds MaxBodyBytes.
	ErrBodyTooLarge = errors.New("outcome body is too large")
)

// Forwarder sends a record to the router that owns its shard, which passes it to
// Journal.Propose. After plat.ErrUnavailable the owner does not write the record;
// after any other error it may.
type Forwarder interface {
	Propose(ctx context.Context, owner ident.RouterID, shard ID, record Record) (Result, error)
}

// Journal commits the records of one router. It is safe for concurrent use.
type Journal struct {
	self      ident.RouterID
	settings  Settings
	platform  plat.Platform
	forwarder Forwarder
	now       func() time.Time
	log       *zap.Logger

	layoutVerified atomic.Bool // the stored layout matches the settings
	routers        atomic.Pointer[[]ident.RouterID]
	runners        []*runner
	done           chan struct{} // closed when Run ends
}

// New returns a journal, which commits records only while Run is running. With a
// nil forwarder this router commits the records of every shard itself.
func New(self ident.RouterID, settings Settings, platform plat.Platform, forwarder Forwarder,
	now func() time.Time, registry metrics.Registry, log *zap.Logger,
) *Journal {
	j := &Journal{
		self: self, settings: settings, platform: platform, forwarder: forwarder,
		now: now, log: log, done: make(chan struct{}),
	}
	writer := Nonce(fmt.Sprintf("%s-%s", self, uuid.NewString()))
	logMetrics := newLogMetrics(registry)
	for i := range settings.Shards {
		j.runners = append(j.runners, newRunner(j, ID(i), writer, logMetrics))
	}
	return j
}

// Run commits records until ctx ends. It returns an error if the settings are
// invalid, and ErrLayoutMismatch if they differ from the journal's layout.
func (j *Journal) Run(ctx context.Context) error {
	defer close(j.done)
	if err := j.settings.Check(); err != nil {
		return fmt.Errorf("journal settings: %w", err)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return j.awaitLayout(ctx) })
	for _, r := range j.runners {
		group.Go(func() error {
			r.run(ctx)
			return nil
		})
	}
	return group.Wait()
}

// SetRouters sets the live routers, among which the shards are divided.
func (j *Journal) SetRouters(routers []ident.RouterID) {
	ids := append([]ident.RouterID(nil), routers...)
	j.routers.Store(&ids)
}

// Claim requests the right to run a request, and returns Granted, Taken, Released
// or Unavailable. The request may be sent only after Granted; a caller that then
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

// Finish records the outcome of a claimed request and its bill. It returns when
// both are durable, or with ErrBodyTooLarge, ErrQueued or ErrFull.
func (j *Journal) Finish(ctx context.Context, outcome Outcome, bill Bill) error {
	if len(outcome.Body) > MaxBodyBytes {
		return fmt.Errorf("outcome of %s is %d bytes, limit is %d: %w", outcome.Key, len(outcome.Body), MaxBodyBytes, ErrBodyTooLarge)
	}
	billed := make(chan error, 1)
	go func() { billed <- j.Bill(ctx, bill) }()
	_, err := j.commit(ctx, outcome)
	if billErr := <-billed; billErr != nil {
		return billErr
	}
	return err
}

// Bill records a bill. It returns when the bill is durable, or with ErrQueued or
// ErrFull.
func (j *Journal) Bill(ctx context.Context, bill Bill) error {
	_, err := j.commit(ctx, bill)
	return err
}

// Bind binds a session to a version and returns the version that it is bound to.
// With ErrQueued it returns the proposed version, although another binding may
// still win.
func (j *Journal) Bind(ctx context.Context, binding Binding) (ident.VersionID, error) {
	result, err := j.commit(ctx, binding)
	if err != nil {
		return binding.Version, err
	}
	b, ok := result.(Bound)
	if !ok {
		return binding.Version, fmt.Errorf("bind session %s: unexpected result %T", binding.Session, result)
	}
	return b.Version, nil
}

// Release cancels a claim whose request was not sent and never will be. It returns
// ErrQueued if the release is not durable yet.
func (j *Journal) Release(ctx context.Context, release Release) error {
	_, err := j.commit(ctx, release)
	return err
}

// Propose commits a record that another router forwarded. A record that can't be
// written now is not queued here; the other router queues it.
func (j *Journal) Propose(ctx context.Context, record Record) (Result, error) {
	return j.runnerFor(record).commit(ctx, record, false), nil
}

// Pending returns the queued records except for claims, to be copied to peers.
func (j *Journal) Pending() []Record {
	var records []Record
	for _, r := range j.runners {
		records = append(records, r.pending()...)
	}
	return records
}

// Enqueue queues the records that were pending at a dead peer. It skips claims,
// because nobody waits for their result.
func (j *Journal) Enqueue(records []Record) {
	for _, record := range records {
		if !isClaim(record) {
			j.runnerFor(record).send(message{event: Propose{Record: record, Retain: true}, waiter: newWaiter()})
		}
	}
}

// TryEnqueue queues records like Enqueue, and returns those that did not fit into
// the queue. The others are durable, or in Pending until they are.
func (j *Journal) TryEnqueue(ctx context.Context, records []Record) []Record {
	refused := make([]bool, len(records))
	var group errgroup.Group
	group.SetLimit(inboxSize)
	for i, record := range records {
		if isClaim(record) {
			continue
		}
		group.Go(func() error {
			_, refused[i] = j.runnerFor(record).commit(ctx, record, true).(Unavailable)
			return nil
		})
	}
	_ = group.Wait()
	var rejected []Record
	for i, record := range records {
		if refused[i] {
			rejected = append(rejected, record)
		}
	}
	return rejected
}

// Flush waits until no record is pending. It returns an error if ctx ends first.
func (j *Journal) Flush(ctx context.Context) error {
	for _, r := range j.runners {
		if err := r.flush(ctx); err != nil {
			return fmt.Errorf("flush shard %d: %w", r.shard, err)
		}
	}
	return nil
}

// commit makes a record other than a claim durable.
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

// propose forwards the record to the shard's owner, or else commits it in this
// router. It also reports whether the owner may still write the record although
// its reply was lost.
func (j *Journal) propose(ctx context.Context, record Record) (Result, bool) {
	result, lost := j.forwardRecord(ctx, record)
	if result != nil {
		return result, lost
	}
	return j.runnerFor(record).commit(ctx, record, true), lost
}

// forwardRecord forwards the record to the shard's owner. It returns a nil result if
// this router must commit the record itself, because it is the owner or the owner
// can't. It also reports whether the owner may still write the record.
func (j *Journal) forwardRecord(ctx context.Context, record Record) (Result, bool) {
	shard := Of(record, j.settings.Shards)
	routers := j.routers.Load()
	if j.forwarder == nil || routers == nil {
		return nil, false
	}
	owner := Owner(shard, *routers)
	if owner == "" || owner == j.self {
		return nil, false
	}
	result, err := j.forwarder.Propose(ctx, owner, shard, record)
	if err != nil {
		return nil, !errors.Is(err, plat.ErrUnavailable)
	}
	u, refused := result.(Unavailable)
	if _, queued := result.(Queued); queued || refused && !(u.Full && isClaim(record)) {
		return nil, refused && u.Written
	}
	return result, false
}

// awaitLayout checks the settings against the journal's layout, and retries until
// the platform answers. Until then no log calls the platform.
func (j *Journal) awaitLayout(ctx context.Context) error {
	ticker := time.NewTicker(j.settings.RetryDelay)
	defer ticker.Stop()
	for {
		err := ensureLayout(ctx, j.platform, j.settings)
		if err == nil {
			j.layoutVerified.Store(true)
			return nil
		}
		if errors.Is(err, ErrLayoutMismatch) {
			return err
		}
		j.log.Warn("journal layout is not verified yet; retrying", zap.Error(err))
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (j *Journal) runnerFor(record Record) *runner {
	return j.runners[Of(record, j.settings.Shards)]
}
