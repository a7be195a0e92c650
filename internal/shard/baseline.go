package shard

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// objectWriter is the baseline that stores each record in its own object.
type objectWriter struct {
	platform plat.Platform
}

const objectPrefix plat.Key = "baseline/object/"

func (o objectWriter) write(ctx context.Context, _ int, bill Bill) error {
	text, err := EncodeRecord(bill)
	if err != nil {
		return err
	}
	_, err = o.platform.Put(ctx, plat.ClassBill, objectPrefix+plat.Key(bill.Key.String()), text, 0)
	return err
}

func (o objectWriter) count(ctx context.Context, platform plat.Platform) (int, error) {
	found, err := platform.List(ctx, plat.ClassStatus, objectPrefix)
	return len(found), err
}

// rewriteWriter is the baseline that stores a shard in one object, which the shard's
// owner replaces as a whole, by a conditional write, with each batch.
type rewriteWriter struct {
	platform plat.Platform
	workload Workload
	shards   []*rewrittenShard
}

// rewrittenShard is one shard of a rewriteWriter.
type rewrittenShard struct {
	key     plat.Key
	lock    sync.Mutex
	waiting []pendingRewrite
}

// pendingRewrite is a record that waits for the next write of its shard.
type pendingRewrite struct {
	text json.RawMessage
	done chan error
}

const rewritePrefix plat.Key = "baseline/rewrite/"

func newRewriteWriter(ctx context.Context, workload Workload, platform plat.Platform) (writer, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &rewriteWriter{platform: platform, workload: workload}
	var running sync.WaitGroup
	for i := range workload.Shards {
		s := &rewrittenShard{key: rewritePrefix + plat.Key(fmt.Sprintf("%04d", i))}
		r.shards = append(r.shards, s)
		running.Go(func() { r.run(ctx, s) })
	}
	stop := func() {
		cancel()
		running.Wait()
	}
	return r, stop, nil
}

func (r *rewriteWriter) write(ctx context.Context, _ int, bill Bill) error {
	text, err := EncodeRecord(bill)
	if err != nil {
		return err
	}
	w := pendingRewrite{text: text, done: make(chan error, 1)}
	s := r.shards[Of(bill, r.workload.Shards)]
	s.lock.Lock()
	s.waiting = append(s.waiting, w)
	s.lock.Unlock()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run rewrites the shard's object in each interval with new records.
func (r *rewriteWriter) run(ctx context.Context, s *rewrittenShard) {
	ticker := time.NewTicker(r.workload.BatchInterval)
	defer ticker.Stop()
	var value []json.RawMessage
	var version plat.Version
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.lock.Lock()
		batch := s.waiting
		s.waiting = nil
		s.lock.Unlock()
		if len(batch) == 0 {
			continue
		}
		for _, w := range batch {
			value = append(value, w.text)
		}
		text, err := json.Marshal(value)
		if err == nil {
			version, err = r.platform.Put(ctx, plat.ClassBill, s.key, text, version)
		}
		for _, w := range batch {
			w.done <- err
		}
	}
}

func (r *rewriteWriter) count(ctx context.Context, platform plat.Platform) (int, error) {
	found, err := platform.List(ctx, plat.ClassStatus, rewritePrefix)
	if err != nil {
		return 0, err
	}
	n := 0
	for _, o := range found {
		var value []json.RawMessage
		if err := json.Unmarshal(o.Value, &value); err != nil {
			return 0, fmt.Errorf("object %q: %w", o.Key, err)
		}
		n += len(value)
	}
	return n, nil
}

func quantile(times []time.Duration, q float64) time.Duration {
	slices.SortFunc(times, cmp.Compare[time.Duration])
	return times[int(q*float64(len(times)-1))]
}
