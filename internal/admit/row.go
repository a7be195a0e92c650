package admit

import "github.com/marigoldscale/marigoldscale/pkg/ident"

// Row is one measured line: a policy at a load.
type Row struct {
	Policy  string      `json:"policy"`
	Load    ident.Share `json:"load"`    // offered over what the slots can do
	Goodput float64     `json:"goodput"` // requests a second answered within their deadline
	Work    float64     `json:"work"`    // slots kept busy with requests answered within their deadline
	Peak    ident.Share `json:"peak"`    // work over the most of the same policy at any load
	Small   ident.Share `json:"small"`   // of the small teams' requests, answered in time
	Large   ident.Share `json:"large"`   // of the large teams' requests, answered in time
	Quick   ident.Share `json:"quick"`   // of the quick requests, answered in time
}
