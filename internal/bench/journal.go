package bench

import (
	"context"
	"fmt"
	"slices"

	"github.com/marigoldscale/marigoldscale/internal/setup"
	"github.com/marigoldscale/marigoldscale/internal/shard"
)

const (
	journalLow    = 200.0  // records a second
	journalMiddle = 1000.0 // and the rate at which methods are compared
	// letterRequests is the peak of the letter; each request leaves one record.
	letterRequests = 1900.0
	journalRouters = 32 // of the larger fleet
	// platformWrites is the brief's "several hundred" a second, and
	// platformReads its "about two thousand".
	platformWrites = 400.0
	platformReads  = 2000.0
)

// benchJournal counts the platform's calls for durable records, against one
// object for each record and one rewritten for each shard.
func benchJournal(seed uint64) (Section, error) {
	s := Section{
		Name:    "journal",
		About:   "durable records by method: 3 s of load, calls to the platform take 2 ms",
		Columns: []string{"method", "routers", "batch ms", "records/s", "durable", "failed", "writes/record", "reads/record", "bytes/record", "writes/s", "p50 ms", "p99 ms", "complete"},
	}
	var rows []shard.Measurement
	for _, load := range journalLoads(seed) {
		row, err := shard.Measure(context.Background(), load)
		if err != nil {
			return Section{}, fmt.Errorf("measuring %s: %w", load.Method, err)
		}
		rows = append(rows, row)
		s.Rows = append(s.Rows, []string{
			string(load.Method), fmt.Sprint(load.Routers), millis(load.BatchInterval), number(load.Rate), fmt.Sprint(row.Records), fmt.Sprint(row.Failed),
			number(row.WritesPerRecord), number(row.ReadsPerRecord), number(row.BytesPerRecord), number(row.WritesPerSecond),
			millis(row.MedianLatency), millis(row.P99Latency), fmt.Sprint(row.Complete),
		})
	}
	s.Bounds = journalBounds(rows)
	s.Data = rows
	return s, nil
}

// journalLoads takes of the usual loads the low, the middle and the letter's
// rate, and the baselines.
func journalLoads(seed uint64) []shard.Workload {
	loads := shard.DefaultWorkloads(seed)
	base := loads[0]
	var picked []shard.Workload
	for _, rate := range []float64{journalLow, journalMiddle, letterRequests} {
		l := base
		l.Rate = rate
		picked = append(picked, l)
	}
	baselines := slices.DeleteFunc(loads, func(l shard.Workload) bool { return l.Method == shard.MethodJournal })
	many := base
	many.Rate, many.Routers = journalMiddle, journalRouters
	return append(append(picked, daemonLoad(base), many), baselines...)
}

// daemonLoad is the letter's rate at the daemon's own settings.
func daemonLoad(base shard.Workload) shard.Workload {
	journal := setup.Default().Journal
	base.Rate = letterRequests
	base.Shards, base.BatchInterval, base.RingSize = journal.Shards, journal.Interval, shard.Defaults().RingSize
	return base
}

func journalBounds(rows []shard.Measurement) []Bound {
	var ours, many, object shard.Measurement
	var bounds []Bound
	for _, r := range rows {
		name := fmt.Sprintf("%s at %.0f/s, %d routers, batch every %v", r.Workload.Method, r.Workload.Rate, r.Workload.Routers, r.Workload.BatchInterval)
		switch {
		case r.Workload.Method == shard.MethodObject:
			object = r
		case r.Workload.Method != shard.MethodJournal:
			continue
		case r.Workload.Routers == journalRouters:
			many = r
		case r.Workload.Rate == journalMiddle:
			ours = r
		case r.Workload.Rate == letterRequests:
			bounds = append(bounds, atMost("writes, "+name, r.WritesPerSecond, platformWrites, "writes/s"))
		}
		if r.Workload.Method == shard.MethodJournal {
			bounds = append(bounds,
				atMost("records not read back, "+name, missing(r), 0, "records"),
				atMost("records failed, "+name, float64(r.Failed), 0, "records"))
		}
	}
	return append(bounds,
		atMost("writes of each router at 32 against 8", many.WritesPerSecond/journalRouters, ours.WritesPerSecond/float64(ours.Workload.Routers), "writes/s"),
		atMost("writes/record against one object each", ours.WritesPerRecord, object.WritesPerRecord, "writes"))
}

// missing is 1 if the records read back are not those acknowledged.
func missing(r shard.Measurement) float64 {
	if r.Complete {
		return 0
	}
	return 1
}
