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
	var rows []shard.Row
	for _, load := range journalLoads(seed) {
		row, err := shard.Measure(context.Background(), load)
		if err != nil {
			return Section{}, fmt.Errorf("measuring %s: %w", load.Method, err)
		}
		rows = append(rows, row)
		s.Rows = append(s.Rows, []string{
			string(load.Method), fmt.Sprint(load.Routers), millis(load.Interval), number(load.Rate), fmt.Sprint(row.Records), fmt.Sprint(row.Failed),
			number(row.Writes), number(row.Reads), number(row.Bytes), number(row.Second),
			millis(row.Median), millis(row.High), fmt.Sprint(row.Complete),
		})
	}
	s.Bounds = journalBounds(rows)
	s.Data = rows
	return s, nil
}

// journalLoads takes of the usual loads the low, the middle and the letter's
// rate, and the baselines.
func journalLoads(seed uint64) []shard.Load {
	loads := shard.DefaultLoads(seed)
	base := loads[0]
	var picked []shard.Load
	for _, rate := range []float64{journalLow, journalMiddle, letterRequests} {
		l := base
		l.Rate = rate
		picked = append(picked, l)
	}
	baselines := slices.DeleteFunc(loads, func(l shard.Load) bool { return l.Method == shard.MethodJournal })
	many := base
	many.Rate, many.Routers = journalMiddle, journalRouters
	return append(append(picked, daemonLoad(base), many), baselines...)
}

// daemonLoad is the letter's rate at the daemon's own settings.
func daemonLoad(base shard.Load) shard.Load {
	journal := setup.Default().Journal
	base.Rate = letterRequests
	base.Shards, base.Interval, base.Ring = journal.Shards, journal.Interval, shard.Defaults().Ring
	return base
}

func journalBounds(rows []shard.Row) []Bound {
	var ours, many, object shard.Row
	var bounds []Bound
	for _, r := range rows {
		name := fmt.Sprintf("%s at %.0f/s, %d routers, batch every %v", r.Load.Method, r.Load.Rate, r.Load.Routers, r.Load.Interval)
		switch {
		case r.Load.Method == shard.MethodObject:
			object = r
		case r.Load.Method != shard.MethodJournal:
			continue
		case r.Load.Routers == journalRouters:
			many = r
		case r.Load.Rate == journalMiddle:
			ours = r
		case r.Load.Rate == letterRequests:
			bounds = append(bounds, atMost("writes, "+name, r.Second, platformWrites, "writes/s"))
		}
		if r.Load.Method == shard.MethodJournal {
			bounds = append(bounds,
				atMost("records not read back, "+name, missing(r), 0, "records"),
				atMost("records failed, "+name, float64(r.Failed), 0, "records"))
		}
	}
	return append(bounds,
		atMost("writes of each router at 32 against 8", many.Second/journalRouters, ours.Second/float64(ours.Load.Routers), "writes/s"),
		atMost("writes/record against one object each", ours.Writes, object.Writes, "writes"))
}

// missing is 1 if the records read back are not those acknowledged.
func missing(r shard.Row) float64 {
	if r.Complete {
		return 0
	}
	return 1
}
