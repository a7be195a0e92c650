package proxy

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/paths"
)

const (
	streamKind = paths.KindStream
	// hangObjectiveFraction is the minimum fraction of a route's objective after
	// which an endpoint without a response is presumed hung. A second attempt
	// can then still meet the objective.
	hangObjectiveFraction = 0.5
	// hangLatencyFactor is the minimum multiple of the expected latency after
	// which an endpoint is presumed hung.
	hangLatencyFactor = 4
	// maxRetryAfterFraction limits a retry delay to a fraction of the time before
	// the deadline; callers ignore longer delays.
	maxRetryAfterFraction = 0.3
	// retryAfterJitter is the range of the jitter, as a fraction of the delay.
	retryAfterJitter = 0.5
	// defaultRetryAfter is the delay if no estimate is available.
	defaultRetryAfter = 250 * time.Millisecond
	// retryAfterPriorityStep is the additional delay for each lower priority, as a
	// fraction of the delay.
	retryAfterPriorityStep = 0.15
	// priorityLevels is the number of distinct priorities.
	priorityLevels = 4
)

// hangDeadline returns the time at which an attempt without a response is
// presumed hung, and reports whether that is before the request's deadline. It
// covers endpoints that pass health checks but leave some requests unanswered.
func hangDeadline(now time.Time, r Request, expected time.Duration) (time.Time, bool) {
	if !r.Route.Repeatable() || r.Route.TargetLatency <= 0 {
		return time.Time{}, false
	}
	wait := max(time.Duration(float64(r.Route.TargetLatency)*hangObjectiveFraction), hangLatencyFactor*expected)
	at := now.Add(wait)
	return at, at.Before(r.Deadline)
}

// RetryAfter returns the retry delay for a caller whose request did not run.
// Delays are jittered and grow with lower priority, so that a burst of requests
// that is refused at once does not return at once. They are limited to a fraction
// of left, the time before the deadline.
func RetryAfter(seed uint64, priority int, after, left time.Duration) time.Duration {
	if after <= 0 {
		after = defaultRetryAfter
	}
	jitter := float64(seed>>40&0xffff) / 0xffff
	level := float64(min(max(priority, 0), priorityLevels))
	wait := time.Duration(float64(after) * (1 + retryAfterPriorityStep*level + retryAfterJitter*jitter))
	if limit := time.Duration(float64(left) * maxRetryAfterFraction); wait > limit {
		wait = limit
	}
	return max(0, wait)
}
