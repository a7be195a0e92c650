package roll

import (
	"math"
	"time"
)

// Buckets is the number of latency buckets; the last one is open.
const Buckets = 24

// bucketBase is the upper end of the first bucket.
const bucketBase = 20 * time.Millisecond

// bucketRatio is the ratio between the ends of neighbouring buckets.
const bucketRatio = 1.25

// Bucket gives the latency bucket of a time to the first token.
func Bucket(first time.Duration) int {
	if first <= bucketBase {
		return 0
	}
	steps := math.Log(float64(first)/float64(bucketBase)) / math.Log(bucketRatio)
	return min(Buckets-1, int(math.Ceil(steps)))
}

// bucketShift gives the number of buckets that a latency factor spans.
func bucketShift(factor float64) int {
	if factor <= 1 {
		return 0
	}
	return int(math.Ceil(math.Log(factor)/math.Log(bucketRatio) - 1e-9))
}
