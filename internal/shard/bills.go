package shard

import (
	"context"
	"fmt"
	"strings"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// billPrefix is the key prefix of bill segments, which are never deleted.
const billPrefix = plat.JournalPrefix + "bills/"

// ReadBills returns every bill of the journal, one for each request key.
//
// A bill is written to a segment before its batch may be overwritten. ReadBills
// reads the batches before the segments, so a bill whose batch has been
// overwritten is found in the segments.
func ReadBills(ctx context.Context, platform plat.Platform) ([]Bill, error) {
	batches, err := readBatches(ctx, platform)
	if err != nil {
		return nil, err
	}
	segments, err := platform.List(ctx, plat.ClassStatus, billPrefix)
	if err != nil {
		return nil, fmt.Errorf("list bills: %w", err)
	}
	collector := billCollector{seen: map[ident.RequestKey]bool{}}
	for _, o := range append(segments, batches...) {
		if err := collector.add(o); err != nil {
			return nil, fmt.Errorf("object %q: %w", o.Key, err)
		}
	}
	return collector.bills, nil
}

// readBatches returns the ring objects of all shards.
func readBatches(ctx context.Context, platform plat.Platform) ([]plat.Object, error) {
	layout, err := readLayout(ctx, platform)
	if err != nil {
		return nil, err
	}
	var batches []plat.Object
	for i := range ID(layout.Shards) {
		objects, err := platform.List(ctx, plat.ClassStatus, i.Prefix()+"ring/")
		if err != nil {
			return nil, fmt.Errorf("list shard %d: %w", i, err)
		}
		batches = append(batches, objects...)
	}
	return batches, nil
}

// billCollector collects the first bill of each request key.
type billCollector struct {
	seen  map[ident.RequestKey]bool
	bills []Bill
}

func (c *billCollector) add(o plat.Object) error {
	if !strings.HasPrefix(string(o.Key), string(plat.JournalPrefix)) {
		return nil
	}
	batch, err := decodeBatch(o.Value)
	if err != nil {
		return err
	}
	for _, r := range batch.Records {
		if b, ok := r.(Bill); ok && !c.seen[b.Key] {
			c.seen[b.Key] = true
			c.bills = append(c.bills, b)
		}
	}
	return nil
}
