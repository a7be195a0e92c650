package admit

import "time"

const (
	serviceGain  = 0.05                 // weight of a new service time in the estimate
	servicePad   = 4                    // mean deviations that are left for a ticket that waits
	serviceFloor = 1 * time.Millisecond // shortest mean
)

// service estimates how long a ticket takes once it runs.
type service struct {
	mean      time.Duration
	deviation time.Duration // mean absolute deviation
}

// add takes in a service time.
func (s service) add(took time.Duration) service {
	off := took - s.mean
	s.mean = max(serviceFloor, s.mean+time.Duration(float64(off)*serviceGain))
	s.deviation += time.Duration(float64(max(off, -off)-s.deviation) * serviceGain)
	return s
}

// headroom is time beyond the expected within which nearly all tickets end. A
// queue is kept so short that they do: work that ends after its deadline is
// lost.
func (s service) headroom() time.Duration {
	return servicePad * s.deviation
}
