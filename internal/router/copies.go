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
	// copyInterval is the time between looks at what copies are for.
	copyInterval = 2 * time.Second
	// copyCall bounds one call that carries copies.
	copyCall = 300 * time.Millisecond
	// syncCall bounds one call that carries all that is pending.
	syncCall = 2 * time.Second
	// copyBytes bounds the records in one call, below the limit of peer links.
	copyBytes = 2 << 20
	// silence is how long a router goes unheard of before it is not live.
	silence = 3 * time.Second
)

// copier keeps copies of this router's queued records at peers, and holds
// theirs. It is safe for use by many goroutines.
type copier struct {
	router *Router
	life   copies.Life
	lock   sync.Mutex // guards sender and holder
	sender *copies.Sender
	holder *copies.Holder
}

func newCopier(r *Router) *copier {
	settings := copies.Defaults(silence)
	return &copier{
		router: r,
		life:   copies.Life{Router: r.self.ID, Start: uint64(r.started.UnixNano())},
		sender: copies.NewSender(r.self, settings),
		holder: copies.NewHolder(settings),
	}
}

// Copy implements serve.Copies.
func (c *copier) Copy(ctx context.Context, records []shard.Record) error {
	texts, err := encodeTexts(records)
	if err != nil {
		return err
	}
	c.lock.Lock()
	serial := c.sender.Next()
	targets := c.sender.Targets(time.Now(), c.live())
	c.lock.Unlock()
	results := make(chan error, len(targets))
	for _, to := range targets {
		go func() { results <- c.add(ctx, to, serial, texts) }()
	}
	taken := 0
	for range targets {
		if err := <-results; err == nil {
			taken++
		} else {
			c.router.log.Debug("copying records", zap.Error(err))
		}
	}
	if taken == 0 {
		return errors.Errorf("none of %d peers took copies", len(targets))
	}
	return nil
}

// add has a peer hold more records.
func (c *copier) add(ctx context.Context, to fleet.Router, serial copies.Serial, texts []copies.Text) error {
	err := c.call(ctx, copyCall, to, copies.Batch{From: c.life, Serial: serial, Texts: texts})
	c.lock.Lock()
	defer c.lock.Unlock()
	c.sender.Copied(to.ID, serial)
	if err != nil {
		c.sender.Failed(time.Now(), to.ID)
	}
	return err
}

func (c *copier) call(ctx context.Context, timeout time.Duration, to fleet.Router, b copies.Batch) error {
	peer, err := c.router.links.Client(to.Peer)
	if err != nil {
		return err
	}
	request := &wire.CopyRequest{Router: string(b.From.Router), Life: b.From.Start, Serial: uint64(b.Serial), Replace: b.Replace}
	for _, t := range b.Texts {
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

// loop tells peers what to hold, and adopts what dead routers left.
func (c *copier) loop(ctx context.Context) error {
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := c.sync(ctx); err != nil {
			c.router.log.Debug("copies of journal records", zap.Error(err))
		}
		c.adopt(ctx)
	}
}

// sync has each peer hold what is pending now, or nothing. It fails if there
// are records of which no peer has a copy.
func (c *copier) sync(ctx context.Context) error {
	c.lock.Lock()
	serial := c.sender.Next()
	c.lock.Unlock()
	pending, err := encodeTexts(c.router.journal.Pending())
	if err != nil {
		return err
	}
	c.lock.Lock()
	c.holder.Settle(pending)
	live := c.live()
	sends := c.sender.Sync(time.Now(), live, pending)
	c.lock.Unlock()
	var group errgroup.Group
	for _, send := range sends {
		group.Go(func() error { return c.tell(ctx, send, serial) })
	}
	err = group.Wait()
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(pending) > 0 && len(c.sender.Targets(time.Now(), live)) == 0 {
		return errors.Errorf("no peer takes copies of %d records", len(pending))
	}
	return err
}

// tell has a peer hold just the texts. What does not fit in one call is only
// added, so that no copy is missing between two calls.
func (c *copier) tell(ctx context.Context, send copies.Send, serial copies.Serial) error {
	parts := split(send.Texts)
	var err error
	for _, texts := range parts {
		b := copies.Batch{From: c.life, Serial: serial, Replace: len(parts) == 1, Texts: texts}
		if err = c.call(ctx, syncCall, send.To, b); err != nil {
			break
		}
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if err != nil {
		c.sender.Failed(time.Now(), send.To.ID)
		return err
	}
	c.sender.Sent(time.Now(), send, serial)
	return nil
}

// adopt has the journal take what dead routers left.
func (c *copier) adopt(ctx context.Context) {
	var ids []ident.RouterID
	for _, r := range c.live() {
		ids = append(ids, r.ID)
	}
	if len(ids) == 0 {
		return // nobody is known yet
	}
	c.lock.Lock()
	due := c.holder.Due(time.Now(), ids)
	records, bytes := c.holder.Held()
	c.lock.Unlock()
	c.router.metrics.Gauge("copies_held", int64(records))
	c.router.metrics.Gauge("copies_held_bytes", int64(bytes))
	if len(due) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncCall)
	defer cancel()
	taken := c.take(ctx, due)
	c.router.log.Info("took over records of dead routers", zap.Int("records", len(due)), zap.Int("taken", len(taken)))
	c.lock.Lock()
	defer c.lock.Unlock()
	c.holder.Adopted(taken)
}

// take gives the texts that the journal had room for.
func (c *copier) take(ctx context.Context, due []copies.Text) []copies.Text {
	var records []shard.Record
	for _, t := range due {
		record, err := shard.DecodeRecord([]byte(t))
		if err != nil {
			c.router.log.Error("copy of record does not decode", zap.Error(err))
			continue
		}
		records = append(records, record)
	}
	refused := map[copies.Text]bool{}
	texts, err := encodeTexts(c.router.journal.TryEnqueue(ctx, records))
	if err != nil {
		return nil
	}
	for _, t := range texts {
		refused[t] = true
	}
	var taken []copies.Text
	for _, t := range due {
		if !refused[t] {
			taken = append(taken, t)
		}
	}
	return taken
}

func (c *copier) live() []fleet.Router {
	if v := c.router.view.Load(); v != nil {
		return v.Routers
	}
	return nil
}

// Copy implements wire.PeerServer.
func (p *peerServer) Copy(_ context.Context, request *wire.CopyRequest) (*wire.CopyReply, error) {
	b := copies.Batch{
		From:    copies.Life{Router: ident.RouterID(request.Router), Start: request.Life},
		Serial:  copies.Serial(request.Serial),
		Replace: request.Replace,
	}
	for _, text := range request.Records {
		if _, err := shard.DecodeRecord(text); err != nil {
			return nil, fmt.Errorf("copy of router %q: %w", request.Router, err)
		}
		b.Texts = append(b.Texts, copies.Text(text))
	}
	c := p.router.copies
	c.lock.Lock()
	defer c.lock.Unlock()
	if err := c.holder.Receive(b); err != nil {
		p.router.metrics.Count("copies_refused_total", int64(len(b.Texts)))
		return nil, fmt.Errorf("receiving copies: %w", err)
	}
	return &wire.CopyReply{}, nil
}

// split parts texts into calls; there is at least one.
func split(texts []copies.Text) [][]copies.Text {
	parts := [][]copies.Text{nil}
	size := 0
	for _, t := range texts {
		if size > 0 && size+len(t) > copyBytes {
			parts = append(parts, nil)
			size = 0
		}
		size += len(t)
		parts[len(parts)-1] = append(parts[len(parts)-1], t)
	}
	return parts
}

func encodeTexts(records []shard.Record) ([]copies.Text, error) {
	texts := make([]copies.Text, 0, len(records))
	for _, record := range records {
		text, err := shard.EncodeRecord(record)
		if err != nil {
			return nil, fmt.Errorf("encoding copy: %w", err)
		}
		texts = append(texts, copies.Text(text))
	}
	return texts, nil
}
