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

// objects is the baseline that keeps each record in an object of its own.
type objects struct {
	platform plat.Platform
}

const objectPrefix plat.Key = "baseline/object/"

func (o objects) write(ctx context.Context, _ int, bill Bill) error {
	text, err := EncodeRecord(bill)
	if err != nil {
		return err
	}
	_, err = o.platform.Put(ctx, plat.ClassBill, objectPrefix+plat.Key(bill.Key.String()), text, 0)
	return err
}

func (o objects) count(ctx context.Context, platform plat.Platform) (int, error) {
	found, err := platform.List(ctx, plat.ClassStatus, objectPrefix)
	return len(found), err
}

// rewriter is the baseline that keeps a shard in one object, which the shard's
// owner rewrites whole, on the condition of its version, with each batch.
type rewriter struct {
	platform plat.Platform
	load     Workload
	shards   []*rewritten
}

// rewritten is one shard of a rewriter.
type rewritten struct {
	key     plat.Key
	lock    sync.Mutex
	waiting []rewrite
}

// rewrite is one record that waits to be part of the next value.
type rewrite struct {
	text json.RawMessage
	done chan error
}

const rewritePrefix plat.Key = "baseline/rewrite/"

func newRewriter(ctx context.Context, load Workload, platform plat.Platform) (writer, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &rewriter{platform: platform, load: load}
	var running sync.WaitGroup
	for i := range load.Shards {
		s := &rewritten{key: rewritePrefix + plat.Key(fmt.Sprintf("%04d", i))}
		r.shards = append(r.shards, s)
		running.Go(func() { r.run(ctx, s) })
	}
	stop := func() {
		cancel()
		running.Wait()
	}
	return r, stop, nil
}

func (r *rewriter) write(ctx context.Context, _ int, bill Bill) error {
	text, err := EncodeRecord(bill)
	if err != nil {
		return err
	}
	w := rewrite{text: text, done: make(chan error, 1)}
	s := r.shards[Of(bill, r.load.Shards)]
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

// run rewrites the shard's object once in each interval in which records came.
func (r *rewriter) run(ctx context.Context, s *rewritten) {
	ticker := time.NewTicker(r.load.BatchInterval)
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

func (r *rewriter) count(ctx context.Context, platform plat.Platform) (int, error) {
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
