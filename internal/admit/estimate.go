package admit

import "time"

const (
	estimateGain       = 0.05                 // weight of a new sample in the moving averages
	headroomDeviations = 4                    // mean deviations reserved for a queued ticket
	minServiceTime     = 1 * time.Millisecond // lower bound of the mean
)

// serviceEstimate holds moving averages of the service time of tickets.
type serviceEstimate struct {
	mean      time.Duration
	deviation time.Duration // mean absolute deviation
}

// update returns the estimate with a service time added.
func (s serviceEstimate) update(took time.Duration) serviceEstimate {
	difference := took - s.mean
	s.mean = max(minServiceTime, s.mean+time.Duration(float64(difference)*estimateGain))
	s.deviation += time.Duration(float64(max(difference, -difference)-s.deviation) * estimateGain)
	return s
}

// headroom returns the time beyond the mean within which nearly all tickets end.
// Queues are kept short enough for that, since work that ends after its deadline
// is wasted.
func (s serviceEstimate) headroom() time.Duration {
	return headroomDeviations * s.deviation
}
