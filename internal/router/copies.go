package router

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldscale/marigoldscale/internal/copies"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/peers"
	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/internal/wire"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// copySyncInterval is the interval between synchronizations of copies with peers.
	copySyncInterval = 2 * time.Second
	// copyTimeout limits one call that adds copies.
	copyTimeout = 300 * time.Millisecond
	// syncTimeout limits one call that sends all pending records.
	syncTimeout = 2 * time.Second
	// maxBatchBytes limits the size of the records in one call. It is below the
	// message size limit of peer connections.
	maxBatchBytes = 2 << 20
	// livenessTimeout is the time without heartbeats after which a router counts as
	// not live.
	livenessTimeout = 3 * time.Second
)

// copier replicates this router's pending journal records to peers and holds the
// copies that peers send. It is safe for concurrent use.
type copier struct {
	router      *Router
	incarnation copies.Incarnation
	lock        sync.Mutex // guards sender and holder
	sender      *copies.Sender
	holder      *copies.Holder
}

func newCopier(r *Router) *copier {
	settings := copies.DefaultSettings(livenessTimeout)
	return &copier{
		router:      r,
		incarnation: copies.Incarnation{Router: r.self.ID, Start: uint64(r.started.UnixNano())},
		sender:      copies.NewSender(r.self, settings),
		holder:      copies.NewHolder(settings),
	}
}

// Copy implements serve.Copier.
func (c *copier) Copy(ctx context.Context, records []shard.Record) error {
	encoded, err := encodeRecords(records)
	if err != nil {
		return err
	}
	c.lock.Lock()
	sequence := c.sender.NextSequence()
	targets := c.sender.Targets(time.Now(), c.liveRouters())
	c.lock.Unlock()
	results := make(chan error, len(targets))
	for _, to := range targets {
		go func() { results <- c.sendAdditions(ctx, to, sequence, encoded) }()
	}
	accepted := 0
	for range targets {
		if err := <-results; err == nil {
			accepted++
		} else {
			c.router.log.Debug("copying records", zap.Error(err))
		}
	}
	if accepted == 0 {
		return errors.Errorf("none of %d peers accepted copies", len(targets))
	}
	return nil
}

// sendAdditions adds copies of records to those that a peer holds.
func (c *copier) sendAdditions(ctx context.Context, to fleet.Router, sequence copies.Sequence, records []copies.EncodedRecord) error {
	err := c.sendBatch(ctx, copyTimeout, to, copies.Batch{From: c.incarnation, Sequence: sequence, Records: records})
	c.lock.Lock()
	defer c.lock.Unlock()
	c.sender.RecordAddition(to.ID, sequence)
	if err != nil {
		c.sender.RecordFailure(time.Now(), to.ID)
	}
	return err
}

func (c *copier) sendBatch(ctx context.Context, timeout time.Duration, to fleet.Router, b copies.Batch) error {
	peer, err := c.router.peerPool.Client(to.Peer)
	if err != nil {
		return err
	}
	request := &wire.CopyRequest{Router: string(b.From.Router), Life: b.From.Start, Serial: uint64(b.Sequence), Replace: b.Replace}
	for _, record := range b.Records {
		request.Records = append(request.Records, []byte(record))
	}
	_, err = peers.Call(ctx, timeout, func(ctx context.Context) (*wire.CopyReply, error) {
		return peer.Copy(ctx, request)
	})
	if err != nil {
		return fmt.Errorf("copies to router %q: %w", to.ID, err)
	}
	return nil
}

// loop synchronizes copies with peers and adopts the records of dead routers.
func (c *copier) loop(ctx context.Context) error {
	ticker := time.NewTicker(copySyncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := c.sync(ctx); err != nil {
			c.router.log.Debug("synchronizing copies of journal records", zap.Error(err))
		}
		c.adoptOrphans(ctx)
	}
}

// sync sends all pending records to the peers that hold copies and removes the
// copies at the others. It returns an error if a call fails, or if records are
// pending and no peer is available for copies.
func (c *copier) sync(ctx context.Context) error {
	c.lock.Lock()
	sequence := c.sender.NextSequence()
	c.lock.Unlock()
	pending, err := encodeRecords(c.router.journal.Pending())
	if err != nil {
		return err
	}
	c.lock.Lock()
	c.holder.RemoveDurable(pending)
	live := c.liveRouters()
	updates := c.sender.Updates(time.Now(), live, pending)
	c.lock.Unlock()
	var group errgroup.Group
	for _, update := range updates {
		group.Go(func() error { return c.sendUpdate(ctx, update, sequence) })
	}
	err = group.Wait()
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(pending) > 0 && len(c.sender.Targets(time.Now(), live)) == 0 {
		return errors.Errorf("no peer is available for copies of %d records", len(pending))
	}
	return err
}

// sendUpdate replaces the copies at a peer with those of the update. If they do
// not fit in one call, it only adds them, so that no copy is missing between two
// calls.
func (c *copier) sendUpdate(ctx context.Context, update copies.Update, sequence copies.Sequence) error {
	batches := splitBatches(update.Records)
	var err error
	for _, records := range batches {
		b := copies.Batch{From: c.incarnation, Sequence: sequence, Replace: len(batches) == 1, Records: records}
		if err = c.sendBatch(ctx, syncTimeout, update.To, b); err != nil {
			break
		}
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if err != nil {
		c.sender.RecordFailure(time.Now(), update.To.ID)
		return err
	}
	c.sender.RecordUpdate(time.Now(), update, sequence)
	return nil
}

// adoptOrphans adds the records of dead routers to the journal.
func (c *copier) adoptOrphans(ctx context.Context) {
	var ids []ident.RouterID
	for _, r := range c.liveRouters() {
		ids = append(ids, r.ID)
	}
	if len(ids) == 0 {
		return // no router is known yet
	}
	c.lock.Lock()
	orphaned := c.holder.Orphaned(time.Now(), ids)
	records, bytes := c.holder.Size()
	c.lock.Unlock()
	c.router.metrics.Gauge("copies_held", int64(records))
	c.router.metrics.Gauge("copies_held_bytes", int64(bytes))
	if len(orphaned) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	adopted := c.enqueueOrphans(ctx, orphaned)
	c.router.log.Info("took over records of dead routers", zap.Int("records", len(orphaned)), zap.Int("taken", len(adopted)))
	c.lock.Lock()
	defer c.lock.Unlock()
	c.holder.MarkAdopted(adopted)
}

// enqueueOrphans passes the records to the journal and returns those for which it
// had room.
func (c *copier) enqueueOrphans(ctx context.Context, orphaned []copies.EncodedRecord) []copies.EncodedRecord {
	var records []shard.Record
	for _, encoded := range orphaned {
		record, err := shard.DecodeRecord([]byte(encoded))
		if err != nil {
			c.router.log.Error("decoding copy of record", zap.Error(err))
			continue
		}
		records = append(records, record)
	}
	isRejected := map[copies.EncodedRecord]bool{}
	rejected, err := encodeRecords(c.router.journal.TryEnqueue(ctx, records))
	if err != nil {
		return nil
	}
	for _, encoded := range rejected {
		isRejected[encoded] = true
	}
	var accepted []copies.EncodedRecord
	for _, encoded := range orphaned {
		if !isRejected[encoded] {
			accepted = append(accepted, encoded)
		}
	}
	return accepted
}

func (c *copier) liveRouters() []fleet.Router {
	if v := c.router.view.Load(); v != nil {
		return v.Routers
	}
	return nil
}

// Copy implements wire.PeerServer.
func (p *peerServer) Copy(_ context.Context, request *wire.CopyRequest) (*wire.CopyReply, error) {
	b := copies.Batch{
		From:     copies.Incarnation{Router: ident.RouterID(request.Router), Start: request.Life},
		Sequence: copies.Sequence(request.Serial),
		Replace:  request.Replace,
	}
	for _, encoded := range request.Records {
		if _, err := shard.DecodeRecord(encoded); err != nil {
			return nil, fmt.Errorf("copy of router %q: %w", request.Router, err)
		}
		b.Records = append(b.Records, copies.EncodedRecord(encoded))
	}
	c := p.router.copies
	c.lock.Lock()
	defer c.lock.Unlock()
	if err := c.holder.Receive(b); err != nil {
		p.router.metrics.Count("copies_refused_total", int64(len(b.Records)))
		return nil, fmt.Errorf("receiving copies: %w", err)
	}
	return &wire.CopyReply{}, nil
}

// splitBatches splits records into batches of at most maxBatchBytes, unless a
// single record is larger. It returns at least one batch.
func splitBatches(records []copies.EncodedRecord) [][]copies.EncodedRecord {
	batches := [][]copies.EncodedRecord{nil}
	size := 0
	for _, record := range records {
		if size > 0 && size+len(record) > maxBatchBytes {
			batches = append(batches, nil)
			size = 0
		}
		size += len(record)
		batches[len(batches)-1] = append(batches[len(batches)-1], record)
	}
	return batches
}

func encodeRecords(records []shard.Record) ([]copies.EncodedRecord, error) {
	encoded := make([]copies.EncodedRecord, 0, len(records))
	for _, record := range records {
		text, err := shard.EncodeRecord(record)
		if err != nil {
			return nil, fmt.Errorf("encoding copy: %w", err)
		}
		encoded = append(encoded, copies.EncodedRecord(text))
	}
	return encoded, nil
}
