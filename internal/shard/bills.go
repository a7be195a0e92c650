package shard

import (
	"context"
	"fmt"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// ReadBills reads every bill of the journal, one for each request key.
func ReadBills(ctx context.Context, platform plat.Platform) ([]Bill, error) {
	objects, err := platform.List(ctx, plat.ClassStatus, plat.JournalPrefix)
	if err != nil {
		return nil, fmt.Errorf("list the journal: %w", err)
	}
	seen := map[ident.RequestKey]bool{}
	var bills []Bill
	for _, o := range objects {
		b, err := decodeBatch(o.Value)
		if err != nil {
			return nil, fmt.Errorf("object %q: %w", o.Key, err)
		}
		for _, r := range b.Records {
			if bill, ok := r.(Bill); ok && !seen[bill.Key] {
				seen[bill.Key] = true
				bills = append(bills, bill)
			}
		}
	}
	return bills, nil
}
