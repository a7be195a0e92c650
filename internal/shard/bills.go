package shard

import (
	"context"
	"fmt"
	"strings"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// billPrefix is the key prefix of the segments that keep bills for good.
const billPrefix = plat.JournalPrefix + "bills/"

// ReadBills reads every bill of the journal, one for each request key.
//
// A bill is written to a segment before its batch may be overwritten. ReadBills
// reads the batches first and the segments after them, so a bill that is gone
// from the batches by then stands in the segments.
func ReadBills(ctx context.Context, platform plat.Platform) ([]Bill, error) {
	batches, err := readBatches(ctx, platform)
	if err != nil {
		return nil, err
	}
	segments, err := platform.List(ctx, plat.ClassStatus, billPrefix)
	if err != nil {
		return nil, fmt.Errorf("list bills: %w", err)
	}
	fold := billFold{seen: map[ident.RequestKey]bool{}}
	for _, o := range append(segments, batches...) {
		if err := fold.add(o); err != nil {
			return nil, fmt.Errorf("object %q: %w", o.Key, err)
		}
	}
	return fold.bills, nil
}

// readBatches lists the objects of all shards that may hold bills.
func readBatches(ctx context.Context, platform plat.Platform) ([]plat.Object, error) {
	shape, err := readShape(ctx, platform)
	if err != nil {
		return nil, err
	}
	var batches []plat.Object
	for i := range ID(shape.Shards) {
		objects, err := platform.List(ctx, plat.ClassStatus, i.Prefix()+"ring/")
		if err != nil {
			return nil, fmt.Errorf("list shard %d: %w", i, err)
		}
		batches = append(batches, objects...)
	}
	return batches, nil
}

// billFold collects the first bill of each key.
type billFold struct {
	seen  map[ident.RequestKey]bool
	bills []Bill
}

func (f *billFold) add(o plat.Object) error {
	if !strings.HasPrefix(string(o.Key), string(plat.JournalPrefix)) {
		return nil
	}
	batch, err := decodeBatch(o.Value)
	if err != nil {
		return err
	}
	for _, r := range batch.Records {
		if b, ok := r.(Bill); ok && !f.seen[b.Key] {
			f.seen[b.Key] = true
			f.bills = append(f.bills, b)
		}
	}
	return nil
}
