package roll

import (
	"math"
	"time"
)

// LatencyBuckets is the number of latency buckets. The last one has no upper
// bound.
const LatencyBuckets = 24

// firstBucketBound is the upper bound of the first bucket.
const firstBucketBound = 20 * time.Millisecond

// bucketRatio is the ratio between the bounds of adjacent buckets.
const bucketRatio = 1.25

// LatencyBucket returns the index of the bucket of a time to the first token.
func LatencyBucket(first time.Duration) int {
	if first <= firstBucketBound {
		return 0
	}
	steps := math.Log(float64(first)/float64(firstBucketBound)) / math.Log(bucketRatio)
	return min(LatencyBuckets-1, int(math.Ceil(steps)))
}

// bucketUpperBound returns the upper bound of a bucket, rounded to milliseconds.
func bucketUpperBound(bucket int) time.Duration {
	return time.Duration(float64(firstBucketBound) * math.Pow(bucketRatio, float64(bucket))).Round(time.Millisecond)
}
