package shard_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/shard"
)

// BenchmarkMeasure prints the row of each default load.
func BenchmarkMeasure(b *testing.B) {
	for _, load := range shard.DefaultWorkloads(1) {
		name := fmt.Sprintf("%s/routers=%d/shards=%d/ring=%d/interval=%v/rate=%.0f", load.Method, load.Routers, load.Shards, load.RingSize, load.BatchInterval, load.Rate)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				row, err := shard.Measure(context.Background(), load)
				if err != nil || !row.Complete || row.Failed > 0 {
					b.Fatalf("row %+v, error %v", row, err)
				}
				b.ReportMetric(row.WritesPerRecord, "writes/record")
				b.ReportMetric(row.ReadsPerRecord, "reads/record")
				b.ReportMetric(row.BytesPerRecord, "bytes/record")
				b.ReportMetric(row.WritesPerSecond, "writes/s")
				b.ReportMetric(float64(row.MedianLatency)/float64(time.Millisecond), "ms-median")
				b.ReportMetric(float64(row.P99Latency)/float64(time.Millisecond), "ms-p99")
			}
		})
	}
}

// BenchmarkLog commits bills through the pure log in batches of 100, without
// waiting for a platform.
func BenchmarkLog(b *testing.B) {
	const batch = 100
	settings := shard.Defaults()
	settings.BatchInterval = 0
	log := shard.NewLog(0, "bench", settings)
	store := plat.NewMemory(nil)
	ctx := context.Background()
	now := time.Unix(0, 0)
	var do func(actions []shard.Action)
	do = func(actions []shard.Action) {
		for _, action := range actions {
			switch a := action.(type) {
			case shard.ListObjects:
				objects, err := store.List(ctx, a.Class, a.Prefix)
				do(log.Step(now, shard.ListDone{Call: a.Call, Objects: objects, Err: err}))
			case shard.WriteObject:
				version, err := store.Put(ctx, a.Class, a.Key, a.Value, a.Expect)
				do(log.Step(now, shard.WriteDone{Call: a.Call, Version: version, Err: err}))
			}
		}
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		var held []shard.Action
		for range batch {
			n++
			bill := shard.Bill{Key: key(n), Cost: 7, At: now, Attempts: 1}
			held = append(held, log.Step(now, shard.Propose{Proposal: shard.ProposalID(n), Record: bill, Retain: true})...)
		}
		do(held)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n), "ns/record")
}
