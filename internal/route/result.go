package route

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// SimulationResult is the outcome of one policy at one load.
type SimulationResult struct {
	Policy   string        `json:"policy"`
	Load     ident.Share   `json:"load"` // offered load over capacity
	P50      time.Duration `json:"p50"`  // time to the first token
	P95      time.Duration `json:"p95"`
	P99      time.Duration `json:"p99"`
	Hits     ident.Share   `json:"hits"`     // fraction of prompt blocks found cached
	Answered ident.Share   `json:"answered"` // fraction of requests with a first token within the deadline
}
