package bench

import (
	"slices"
	"strconv"
	"time"
)

// number writes a figure with three digits.
func number(x float64) string {
	return strconv.FormatFloat(x, 'g', 3, 64)
}

// millis writes a duration in milliseconds.
func millis(d time.Duration) string {
	return number(float64(d) / float64(time.Millisecond))
}

// percentile gives the value below which the share of the values lies; values
// are sorted in place.
func percentile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(share*float64(len(values))))]
}
