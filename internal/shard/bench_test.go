package shard_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/shard"
)

// BenchmarkMeasure reports the measurement of each default workload.
func BenchmarkMeasure(b *testing.B) {
	for _, workload := range shard.DefaultWorkloads(1) {
		name := fmt.Sprintf("%s/routers=%d/shards=%d/ring=%d/interval=%v/rate=%.0f", workload.Method, workload.Routers, workload.Shards, workload.RingSize, workload.BatchInterval, workload.Rate)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				row, err := shard.Measure(context.Background(), workload)
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

// BenchmarkLog commits bills through a Log in batches of 100, against an in-memory
// platform without delay.
func BenchmarkLog(b *testing.B) {
	const batch = 100
	settings := shard.Defaults()
	settings.BatchInterval = 0
	log := shard.NewLog(0, "bench", settings)
	store := plat.NewMemory(nil)
	ctx := context.Background()
	now := time.Unix(0, 0)
	var perform func(actions []shard.Action)
	perform = func(actions []shard.Action) {
		for _, action := range actions {
			switch a := action.(type) {
			case shard.ListObjects:
				objects, err := store.List(ctx, a.Class, a.Prefix)
				perform(log.Step(now, shard.ListDone{Call: a.Call, Objects: objects, Err: err}))
			case shard.WriteObject:
				version, err := store.Put(ctx, a.Class, a.Key, a.Value, a.Expect)
				perform(log.Step(now, shard.WriteDone{Call: a.Call, Version: version, Err: err}))
			}
		}
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		var actions []shard.Action
		for range batch {
			n++
			bill := shard.Bill{Key: key(n), Cost: 7, At: now, Attempts: 1}
			actions = append(actions, log.Step(now, shard.Propose{Proposal: shard.ProposalID(n), Record: bill, Retain: true})...)
		}
		perform(actions)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n), "ns/record")
}
