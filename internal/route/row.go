package route

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Row is one measured line: a policy at a load.
type SimulationResult struct {
	Policy   string        `json:"policy"`
	Load     ident.Share   `json:"load"` // offered over what the endpoints can do
	P50      time.Duration `json:"p50"`  // time to the first token
	P95      time.Duration `json:"p95"`
	P99      time.Duration `json:"p99"`
	Hits     ident.Share   `json:"hits"`     // prompt blocks found cached
	Answered ident.Share   `json:"answered"` // of the requests offered, first token within the deadline
}
