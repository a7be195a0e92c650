package config

import (
	"fmt"

	"github.com/marigoldscale/marigoldscale/internal/input"
)

// Table describes a kind of table and its keys, for the key reference page.
type Table struct {
	Name string // as in [team.NAME]
	Keys []input.Key
}

// Reference returns all keys of the operators' files and of the overlay.
func Reference() []Table {
	return []Table{
		{Name: "team.NAME", Keys: input.DescribeKeys(teamFields())},
		{Name: "model.NAME", Keys: input.DescribeKeys(modelFields())},
		{Name: "service.NAME", Keys: input.DescribeKeys(serviceFields())},
		{Name: "zone.NAME", Keys: input.DescribeKeys(zoneFields())},
		{Name: "endpoint.NAME", Keys: input.DescribeKeys(endpointFields())},
		{Name: "rollout.MODEL", Keys: input.DescribeKeys(rolloutFields())},
		{Name: "rollout.MODEL, each of steps", Keys: input.DescribeKeys(stepFields())},
		overlayTable(kindOut, "ZONE", "true or false"),
		overlayTable(kindHold, "MODEL", fmt.Sprintf("one of %q", []string{HoldPaused, HoldAborted, HoldNone})),
		overlayTable(kindStart, "MODEL", "a version of the model"),
		overlayTable(kindDefault, "MODEL", "a version of the model"),
		overlayTable(kindWithdrawn, `"MODEL@VERSION"`, "the reason, a string"),
	}
}

func overlayTable(k kind, key, accepted string) Table {
	return Table{Name: string(k), Keys: []input.Key{{Name: key, Accepted: accepted}}}
}
