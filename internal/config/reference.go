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
		{Name: "team.NAME", Keys: input.Keys(teamFields())},
		{Name: "model.NAME", Keys: input.Keys(modelFields())},
		{Name: "service.NAME", Keys: input.Keys(serviceFields())},
		{Name: "zone.NAME", Keys: input.Keys(zoneFields())},
		{Name: "endpoint.NAME", Keys: input.Keys(endpointFields())},
		{Name: "rollout.MODEL", Keys: input.Keys(rolloutFields())},
		{Name: "rollout.MODEL, each of steps", Keys: input.Keys(stepFields())},
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
