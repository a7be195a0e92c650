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
	// livenessTimeout is the time without heartbeats after which a router is
	// considered dead.
	livenessTimeout = 3 * time.Second
)

// copier replicates this router's pending journal records to peers and holds the
// copies that peers send. It is safe for concurrent use.
type copier struct {
	router *Router
	life   copies.Incarnation
	lock   sync.Mutex // guards sender and holder
	sender *copies.Sender
	holder *copies.Holder
}

func newCopier(r *Router) *copier {
	settings := copies.DefaultSettings(livenessTimeout)
	return &copier{
		router: r,
		life:   copies.Incarnation{Router: r.self.ID, Start: uint64(r.started.UnixNano())},
		sender: copies.NewSender(r.self, settings),
		holder: copies.NewHolder(settings),
	}
}

// Copy implements serve.Copier.
func (c *copier) Copy(ctx context.Context, records []shard.Record) error {
	texts, err := encodeTexts(records)
	if err != nil {
		return err
	}
	c.lock.Lock()
	serial := c.sender.NextSequence()
	targets := c.sender.Targets(time.Now(), c.liveRouters())
	c.lock.Unlock()
	results := make(chan error, len(targets))
	for _, to := range targets {
		go func() { results <- c.sendAdditions(ctx, to, serial, texts) }()
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
func (c *copier) sendAdditions(ctx context.Context, to fleet.Router, serial copies.Sequence, texts []copies.EncodedRecord) error {
	err := c.sendBatch(ctx, copyTimeout, to, copies.Batch{From: c.life, Sequence: serial, Records: texts})
	c.lock.Lock()
	defer c.lock.Unlock()
	c.sender.RecordAddition(to.ID, serial)
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
	for _, t := range b.Records {
		request.Records = append(request.Records, []byte(t))
	}
	_, err = peers.Call(ctx, timeout, func(ctx context.Context) (*wire.CopyReply, error) {
		return peer.Copy(ctx, request)
	})
	if err != nil {
		return fmt.Errorf("copies to router %q: %w", to.ID, err)
	}
	return nil
}

// loop synchronizes copies with peers and takes over the records of dead routers.
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
	serial := c.sender.NextSequence()
	c.lock.Unlock()
	pending, err := encodeTexts(c.router.journal.Pending())
	if err != nil {
		return err
	}
	c.lock.Lock()
	c.holder.RemoveDurable(pending)
	live := c.liveRouters()
	sends := c.sender.Updates(time.Now(), live, pending)
	c.lock.Unlock()
	var group errgroup.Group
	for _, send := range sends {
		group.Go(func() error { return c.sendSnapshot(ctx, send, serial) })
	}
	err = group.Wait()
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(pending) > 0 && len(c.sender.Targets(time.Now(), live)) == 0 {
		return errors.Errorf("no peer is available for copies of %d records", len(pending))
	}
	return err
}

// sendSnapshot replaces the copies at a peer with the given ones. If they do not
// fit in one call, it only adds them, so that no copy is missing between two
// calls.
func (c *copier) sendSnapshot(ctx context.Context, send copies.Update, serial copies.Sequence) error {
	batches := splitBatches(send.Records)
	var err error
	for _, texts := range batches {
		b := copies.Batch{From: c.life, Sequence: serial, Replace: len(batches) == 1, Records: texts}
		if err = c.sendBatch(ctx, syncTimeout, send.To, b); err != nil {
			break
		}
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if err != nil {
		c.sender.RecordFailure(time.Now(), send.To.ID)
		return err
	}
	c.sender.RecordUpdate(time.Now(), send, serial)
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
	due := c.holder.Orphaned(time.Now(), ids)
	records, bytes := c.holder.Size()
	c.lock.Unlock()
	c.router.metrics.Gauge("copies_held", int64(records))
	c.router.metrics.Gauge("copies_held_bytes", int64(bytes))
	if len(due) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	adopted := c.journalOrphans(ctx, due)
	c.router.log.Info("took over records of dead routers", zap.Int("records", len(due)), zap.Int("taken", len(adopted)))
	c.lock.Lock()
	defer c.lock.Unlock()
	c.holder.MarkAdopted(adopted)
}

// journalOrphans passes the records to the journal and returns those for which it
// had room.
func (c *copier) journalOrphans(ctx context.Context, due []copies.EncodedRecord) []copies.EncodedRecord {
	var records []shard.Record
	for _, t := range due {
		record, err := shard.DecodeRecord([]byte(t))
		if err != nil {
			c.router.log.Error("decoding copy of record", zap.Error(err))
			continue
		}
		records = append(records, record)
	}
	refused := map[copies.EncodedRecord]bool{}
	texts, err := encodeTexts(c.router.journal.TryEnqueue(ctx, records))
	if err != nil {
		return nil
	}
	for _, t := range texts {
		refused[t] = true
	}
	var accepted []copies.EncodedRecord
	for _, t := range due {
		if !refused[t] {
			accepted = append(accepted, t)
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
	for _, text := range request.Records {
		if _, err := shard.DecodeRecord(text); err != nil {
			return nil, fmt.Errorf("copy of router %q: %w", request.Router, err)
		}
		b.Records = append(b.Records, copies.EncodedRecord(text))
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

// splitBatches splits texts into batches of at most maxBatchBytes, unless a single
// text is larger. It returns at least one batch.
func splitBatches(texts []copies.EncodedRecord) [][]copies.EncodedRecord {
	batches := [][]copies.EncodedRecord{nil}
	size := 0
	for _, t := range texts {
		if size > 0 && size+len(t) > maxBatchBytes {
			batches = append(batches, nil)
			size = 0
		}
		size += len(t)
		batches[len(batches)-1] = append(batches[len(batches)-1], t)
	}
	return batches
}

func encodeTexts(records []shard.Record) ([]copies.EncodedRecord, error) {
	texts := make([]copies.EncodedRecord, 0, len(records))
	for _, record := range records {
		text, err := shard.EncodeRecord(record)
		if err != nil {
			return nil, fmt.Errorf("encoding copy: %w", err)
		}
		texts = append(texts, copies.EncodedRecord(text))
	}
	return texts, nil
}
