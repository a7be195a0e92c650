package roll

import (
	"math"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Outcome is the observed result of one request.
type Outcome struct {
	Failed     bool
	Empty      bool
	FirstToken time.Duration // time to the first token, 0 if there was none
}

// Counter is an index into Counters.
type Counter uint16

// The counters of a cell. CountLatencies and the set and rank counters are the
// first index of a range each.
const (
	CountRequests Counter = iota
	CountErrors
	CountEmpty
	CountSessions // new sessions assigned to the candidate
	CountRatings
	CountRatingSum     // sum of ratings, in millionths
	CountRatingSquares // sum of squared ratings, in millionths
	CountLatencies     // times to the first token, by LatencyBucket
	countErrorSets     = CountLatencies + LatencyBuckets
	countEmptySets     = countErrorSets + 2*positionCount
	countLatencyRanks  = countEmptySets + 2*positionCount
	countQualityRanks  = countLatencyRanks + positionCount
	counterCount       = countQualityRanks + positionCount
)

// CounterCount is the number of counters.
const CounterCount = uint64(counterCount)

// ratingScale is the number of units per 1.0 of a rating. Ratings are summed as
// integers, so that sums merge exactly.
const ratingScale = 1_000_000

// Counters are counts of outcomes that only grow. Two values of the same source
// merge to the greater of each count.
type Counters [counterCount]uint64

// Count is the value of one counter that is not 0.
type Count struct {
	Counter Counter `json:"counter"`
	Value   uint64  `json:"value"`
}

// NonZero returns the counters that are not 0.
func (c *Counters) NonZero() []Count {
	var counts []Count
	for i, v := range c {
		if v != 0 {
			counts = append(counts, Count{Counter: Counter(i), Value: v})
		}
	}
	return counts
}

// MeanRating returns the mean rating, or false if there are no ratings.
func (c *Counters) MeanRating() (ident.Quality, bool) {
	if c[CountRatings] == 0 {
		return 0, false
	}
	return ident.Quality(float64(c[CountRatingSum]) / ratingScale / float64(c[CountRatings])), true
}

// MedianLatency returns the upper bound of the bucket that contains the median
// time to the first token.
func (c *Counters) MedianLatency() time.Duration {
	latency := c[CountLatencies : CountLatencies+LatencyBuckets]
	left := uint64(0)
	for _, n := range latency {
		left += n
	}
	left /= 2
	for b, n := range latency {
		if n > left {
			return bucketUpperBound(b)
		}
		left -= n
	}
	return bucketUpperBound(LatencyBuckets - 1)
}

// appendCounts appends the counts of an outcome.
func (o Outcome) appendCounts(counts []Count) []Count {
	counts = append(counts, Count{CountRequests, 1})
	if o.Failed {
		return append(counts, Count{CountErrors, 1})
	}
	if o.Empty {
		counts = append(counts, Count{CountEmpty, 1})
	}
	if o.FirstToken > 0 {
		counts = append(counts, Count{CountLatencies + Counter(LatencyBucket(o.FirstToken)), 1})
	}
	return counts
}

// appendRatingCounts appends the counts of a rating, clamped to [0, 1].
func appendRatingCounts(counts []Count, quality ident.Quality) []Count {
	q := math.Min(1, math.Max(0, float64(quality)))
	return append(counts,
		Count{CountRatings, 1},
		Count{CountRatingSum, uint64(q * ratingScale)},
		Count{CountRatingSquares, uint64(q * q * ratingScale)})
}

func (c *Counters) add(other *Counters) {
	for i, v := range other {
		c[i] += v
	}
}

// mergeMax sets each counter of c to the greater value and adds the increase to
// total. It reports whether any counter increased.
func (c *Counters) mergeMax(counts []Count, total *Counters) bool {
	grown := false
	for _, n := range counts {
		if int(n.Counter) < len(c) && n.Value > c[n.Counter] {
			total[n.Counter] += n.Value - c[n.Counter]
			c[n.Counter] = n.Value
			grown = true
		}
	}
	return grown
}
