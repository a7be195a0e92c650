package bench

import (
	"slices"
	"strconv"
	"time"
)

// formatNumber formats a number with three significant digits.
func formatNumber(x float64) string {
	return strconv.FormatFloat(x, 'g', 3, 64)
}

// formatMillis formats a duration in milliseconds.
func formatMillis(d time.Duration) string {
	return formatNumber(float64(d) / float64(time.Millisecond))
}

// percentile returns the value below which the given share of the values lies, or
// 0 without values. It sorts the values in place.
func percentile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(share*float64(len(values))))]
}
