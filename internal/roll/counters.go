package roll

import (
	"math"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Outcome is what one request showed about the release that answered it.
type Outcome struct {
	Failed     bool
	Empty      bool
	FirstToken time.Duration // time to the first token, 0 if none came
}

// Counter is a place in Counters.
type Counter uint16

// The counters of a cell. Latency, the sets and the ranks take many places
// each, from the one named on.
const (
	CountRequests Counter = iota
	CountErrors
	CountEmpty
	CountSessions // new sessions assigned to the candidate
	CountRatings
	CountRatingSum     // sum of ratings, in millionths
	CountRatingSquares // sum of squared ratings, in millionths
	CountLatencies     // the first of the first tokens by Bucket
	countErrorSets     = CountLatencies + LatencyBuckets
	countEmptySets     = countErrorSets + 2*places
	countSlowRanks     = countEmptySets + 2*places
	countLackRanks     = countSlowRanks + places
	counterCount       = countLackRanks + places
)

// CounterCount is the number of counters.
const CounterCount = uint64(counterCount)

// ratingUnit is the resolution of summed ratings; sums of integers merge
// exactly.
const ratingUnit = 1_000_000

// Counters are monotone counts of outcomes. Merged counters of one source are
// the greater of the two in each place.
type Counters [counterCount]uint64

// Count is one counter that is not 0.
type Count struct {
	Counter Counter `json:"counter"`
	Value   uint64  `json:"value"`
}

// Sparse gives the counters that are not 0.
func (c *Counters) NonZero() []Count {
	var counts []Count
	for i, v := range c {
		if v != 0 {
			counts = append(counts, Count{Counter: Counter(i), Value: v})
		}
	}
	return counts
}

// Mean gives the mean rating, and false if there is none.
func (c *Counters) MeanRating() (ident.Quality, bool) {
	if c[CountRatings] == 0 {
		return 0, false
	}
	return ident.Quality(float64(c[CountRatingSum]) / ratingUnit / float64(c[CountRatings])), true
}

// Median gives the upper end of the bucket that holds the median time to the
// first token.
func (c *Counters) MedianLatency() time.Duration {
	latency := c[CountLatencies : CountLatencies+LatencyBuckets]
	left := uint64(0)
	for _, n := range latency {
		left += n
	}
	left /= 2
	for b, n := range latency {
		if n > left {
			return bucketEnd(b)
		}
		left -= n
	}
	return bucketEnd(LatencyBuckets - 1)
}

// count appends what an outcome adds.
func (o Outcome) count(counts []Count) []Count {
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

// countRating appends what a rating adds.
func countRating(counts []Count, quality ident.Quality) []Count {
	q := math.Min(1, math.Max(0, float64(quality)))
	return append(counts,
		Count{CountRatings, 1},
		Count{CountRatingSum, uint64(q * ratingUnit)},
		Count{CountRatingSquares, uint64(q * q * ratingUnit)})
}

func (c *Counters) add(other *Counters) {
	for i, v := range other {
		c[i] += v
	}
}

// raise takes the greater of each counter into c and the growth into total. It
// tells whether there was any.
func (c *Counters) raise(counts []Count, total *Counters) bool {
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
