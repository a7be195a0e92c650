package admit

import "github.com/marigoldscale/marigoldscale/pkg/ident"

// Row is one measured line: a policy at a load.
type SimulationResult struct {
	Policy       string      `json:"policy"`
	Load         ident.Share `json:"load"`    // offered over what the slots can do
	Goodput      float64     `json:"goodput"` // requests a second answered within their deadline
	UsefulSlots  float64     `json:"work"`    // slots kept busy with requests answered within their deadline
	RelativeWork ident.Share `json:"peak"`    // work over the most of the same policy at any load
	SmallTeams   ident.Share `json:"small"`   // of the small teams' requests, answered in time
	LargeTeams   ident.Share `json:"large"`   // of the large teams' requests, answered in time
	ShortAnswers ident.Share `json:"quick"`   // of the quick requests, answered in time
}
