package proxy

import (
	"sync"

	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// outputTokenSize is the size of an output token in prompt tokens: writing one takes
	// an engine about as much as reading ten.
	outputTokenSize = 10
	// minSizes is the number of requests on a route from which their mean size is used.
	minSizes = 3
	// sizeMemory is the number of latest requests over which the mean is taken.
	sizeMemory = 256
	// maxSizedRoutes bounds the routes whose mean size is known. All are forgotten when it
	// is reached.
	maxSizedRoutes = 1024
	// minWorth and maxWorth bound the worth of one answer against the mean of its route.
	minWorth, maxWorth = 0.3, 4.0
)

// Sizes tells what an answer is worth against the mean of its route. A long prompt takes
// an engine longer, but its caller also loses more by a poor answer: what an engine's time
// costs is to be weighed against that. It is safe for concurrent use.
type Sizes struct {
	lock   sync.Mutex
	routes map[paths.RouteID]*meanSize
}

type meanSize struct{ sum, count float64 }

// NewSizes returns a Sizes that has seen no request.
func NewSizes() *Sizes { return &Sizes{routes: map[paths.RouteID]*meanSize{}} }

// Worth records a request and returns the worth of its answer, 1 for one of mean size or
// while the route is not known.
func (s *Sizes) Worth(id paths.RouteID, prompt, output ident.Tokens) float64 {
	size := float64(prompt) + outputTokenSize*float64(output)
	if size <= 0 {
		return 1
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	m := s.routes[id]
	if m == nil {
		if len(s.routes) >= maxSizedRoutes {
			clear(s.routes)
		}
		m = &meanSize{}
		s.routes[id] = m
	}
	worth := 1.0
	if m.count >= minSizes {
		worth = min(max(minWorth+(1-minWorth)*size*m.count/m.sum, minWorth), maxWorth)
	}
	if m.count >= sizeMemory {
		m.sum -= m.sum / m.count
		m.count--
	}
	m.sum += size
	m.count++
	return worth
}
