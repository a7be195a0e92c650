package admit

import "github.com/marigoldscale/marigoldscale/pkg/ident"

// SimulationResult is the outcome of one policy at one load.
type SimulationResult struct {
	Policy       string      `json:"policy"`
	Load         ident.Share `json:"load"`    // offered load over capacity
	Goodput      float64     `json:"goodput"` // requests per second answered before their deadline
	UsefulSlots  float64     `json:"work"`    // slots occupied by requests answered before their deadline
	RelativeWork ident.Share `json:"peak"`    // work over the same policy's maximum at any load
	SmallTeams   ident.Share `json:"small"`   // fraction of small teams' requests answered in time
	LargeTeams   ident.Share `json:"large"`   // fraction of large teams' requests answered in time
	ShortAnswers ident.Share `json:"quick"`   // fraction of requests for short answers answered in time
}
