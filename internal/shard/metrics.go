package shard

import "github.com/rcrowley/go-metrics"

// logMetrics are the counters that all logs of a router share.
type logMetrics struct {
	batches     metrics.Counter
	records     metrics.Counter
	bytes       metrics.Counter
	conflicts   metrics.Counter
	uncertain   metrics.Counter
	refused     metrics.Counter
	full        metrics.Counter
	checkpoints metrics.Counter
	loads       metrics.Counter
}

func newLogMetrics(registry metrics.Registry) logMetrics {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("journal."+name, registry)
	}
	return logMetrics{
		batches: counter("batches"), records: counter("records"), bytes: counter("bytes"),
		conflicts: counter("conflicts"), uncertain: counter("uncertain"), refused: counter("refused"),
		full: counter("full"), checkpoints: counter("checkpoints"), loads: counter("loads"),
	}
}

// add adds the difference between two readings of a log's counts.
func (m logMetrics) add(now, before Counts) {
	m.batches.Inc(int64(now.Batches - before.Batches))
	m.records.Inc(int64(now.Records - before.Records))
	m.bytes.Inc(int64(now.Bytes - before.Bytes))
	m.conflicts.Inc(int64(now.Conflicts - before.Conflicts))
	m.uncertain.Inc(int64(now.Uncertain - before.Uncertain))
	m.refused.Inc(int64(now.Refused - before.Refused))
	m.full.Inc(int64(now.QueueFull - before.QueueFull))
	m.checkpoints.Inc(int64(now.Checkpoints - before.Checkpoints))
	m.loads.Inc(int64(now.Loads - before.Loads))
}
