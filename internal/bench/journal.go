package bench

import (
	"context"
	"fmt"
	"slices"

	"github.com/marigoldscale/marigoldscale/internal/setup"
	"github.com/marigoldscale/marigoldscale/internal/shard"
)

const (
	journalLowRate        = 200.0  // records per second
	journalComparisonRate = 1000.0 // records per second, at which methods are compared
	// targetRequestRate is the target's peak rate per second; each request writes
	// one record.
	targetRequestRate = 1900.0
	journalLargeFleet = 32 // routers
	// The platform accepts "several hundred" writes and "about two thousand" reads
	// per second.
	platformWriteLimit = 400.0
	platformReadLimit  = 2000.0
)

// benchJournal counts platform calls per durable record, compared with one object
// per record and with one rewritten object per shard.
func benchJournal(seed uint64) (Section, error) {
	s := Section{
		Name:        "journal",
		Description: "durable records by method: 3 s of load, calls to the platform take 2 ms",
		Columns:     []string{"method", "routers", "batch ms", "records/s", "durable", "failed", "writes/record", "reads/record", "bytes/record", "writes/s", "p50 ms", "p99 ms", "complete"},
	}
	var rows []shard.Measurement
	for _, load := range journalLoads(seed) {
		row, err := shard.Measure(context.Background(), load)
		if err != nil {
			return Section{}, fmt.Errorf("measuring %s: %w", load.Method, err)
		}
		rows = append(rows, row)
		s.Rows = append(s.Rows, []string{
			string(load.Method), fmt.Sprint(load.Routers), formatMillis(load.BatchInterval), formatNumber(load.Rate), fmt.Sprint(row.Records), fmt.Sprint(row.Failed),
			formatNumber(row.WritesPerRecord), formatNumber(row.ReadsPerRecord), formatNumber(row.BytesPerRecord), formatNumber(row.WritesPerSecond),
			formatMillis(row.MedianLatency), formatMillis(row.P99Latency), fmt.Sprint(row.Complete),
		})
	}
	s.Bounds = journalBounds(rows)
	s.Data = rows
	return s, nil
}

// journalLoads returns loads at the low, the comparison and the target rate, with
// the daemon's settings and with a larger fleet, followed by the baselines.
func journalLoads(seed uint64) []shard.Workload {
	loads := shard.DefaultWorkloads(seed)
	base := loads[0]
	var selected []shard.Workload
	for _, rate := range []float64{journalLowRate, journalComparisonRate, targetRequestRate} {
		l := base
		l.Rate = rate
		selected = append(selected, l)
	}
	baselines := slices.DeleteFunc(loads, func(l shard.Workload) bool { return l.Method == shard.MethodJournal })
	larger := base
	larger.Rate, larger.Routers = journalComparisonRate, journalLargeFleet
	return append(append(selected, daemonLoad(base), larger), baselines...)
}

// daemonLoad returns a load at the target rate with the daemon's default settings.
func daemonLoad(base shard.Workload) shard.Workload {
	journal := setup.Default().Journal
	base.Rate = targetRequestRate
	base.Shards, base.BatchInterval, base.RingSize = journal.Shards, journal.Interval, shard.Defaults().RingSize
	return base
}

func journalBounds(rows []shard.Measurement) []Bound {
	var smallFleet, largeFleet, object shard.Measurement
	var bounds []Bound
	for _, r := range rows {
		name := fmt.Sprintf("%s at %.0f/s, %d routers, batch every %v", r.Workload.Method, r.Workload.Rate, r.Workload.Routers, r.Workload.BatchInterval)
		switch {
		case r.Workload.Method == shard.MethodObject:
			object = r
		case r.Workload.Method != shard.MethodJournal:
			continue
		case r.Workload.Routers == journalLargeFleet:
			largeFleet = r
		case r.Workload.Rate == journalComparisonRate:
			smallFleet = r
		case r.Workload.Rate == targetRequestRate:
			bounds = append(bounds, atMost("writes, "+name, r.WritesPerSecond, platformWriteLimit, "writes/s"))
		}
		if r.Workload.Method == shard.MethodJournal {
			bounds = append(bounds,
				atMost("records not read back, "+name, incomplete(r), 0, "records"),
				atMost("records failed, "+name, float64(r.Failed), 0, "records"))
		}
	}
	return append(bounds,
		atMost("writes of each router at 32 against 8", largeFleet.WritesPerSecond/journalLargeFleet, smallFleet.WritesPerSecond/float64(smallFleet.Workload.Routers), "writes/s"),
		atMost("writes/record against one object each", smallFleet.WritesPerRecord, object.WritesPerRecord, "writes"))
}

// incomplete returns 1 if the records read back are not those acknowledged, else 0.
func incomplete(r shard.Measurement) float64 {
	if r.Complete {
		return 0
	}
	return 1
}
