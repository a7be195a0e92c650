package roll

import (
	"math"
	"time"
)

// Buckets is the number of latency buckets; the last one is open.
const LatencyBuckets = 24

// bucketBase is the upper end of the first bucket.
const bucketBase = 20 * time.Millisecond

// bucketRatio is the ratio between the ends of neighbouring buckets.
const bucketRatio = 1.25

// Bucket gives the latency bucket of a time to the first token.
func LatencyBucket(first time.Duration) int {
	if first <= bucketBase {
		return 0
	}
	steps := math.Log(float64(first)/float64(bucketBase)) / math.Log(bucketRatio)
	return min(LatencyBuckets-1, int(math.Ceil(steps)))
}

// bucketEnd gives the upper end of a bucket.
func bucketEnd(bucket int) time.Duration {
	return time.Duration(float64(bucketBase) * math.Pow(bucketRatio, float64(bucket))).Round(time.Millisecond)
}
