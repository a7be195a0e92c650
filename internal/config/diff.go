package config

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
)

// Difference is one value that a new configuration changes.
type Difference struct {
	Key string `json:"key"` // as in team.ledger.weight
	Old string `json:"old"` // as JSON; empty if the key is new
	New string `json:"new"` // as JSON; empty if the key is gone
}

// String gives the difference on one line.
func (d Difference) String() string {
	switch {
	case d.Old == "":
		return fmt.Sprintf("+ %s = %s", d.Key, d.New)
	case d.New == "":
		return fmt.Sprintf("- %s = %s", d.Key, d.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", d.Key, d.Old, d.New)
}

// Diff gives what differs between two configurations, sorted by key. Either
// may be nil, for none.
func Diff(old, now *fleet.Config) []Difference {
	before, after := flatten(old), flatten(now)
	var all []Difference
	for key, value := range before {
		if after[key] != value {
			all = append(all, Difference{Key: key, Old: value, New: after[key]})
		}
	}
	for key, value := range after {
		if _, both := before[key]; !both {
			all = append(all, Difference{Key: key, New: value})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all
}

// flatten gives each value by the key that a file would give it.
func flatten(c *fleet.Config) map[string]string {
	flat := map[string]string{}
	if c == nil {
		return flat
	}
	flattenKind(flat, kindTeam, c.Teams)
	flattenKind(flat, kindModel, c.Models)
	flattenKind(flat, kindService, c.Services)
	flattenKind(flat, kindRollout, c.Rollouts)
	flattenKind(flat, kindZone, c.Zones)
	flattenKind(flat, kindEndpoint, c.Endpoints)
	return flat
}

func flattenKind[K ~string, V any](flat map[string]string, k kind, objects map[K]V) {
	for id, object := range objects {
		text, err := json.Marshal(object)
		if err != nil {
			continue // no object has a field that can't be written
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(text, &fields); err != nil {
			continue
		}
		for field, value := range fields {
			if field != "id" && !isUnset(string(value)) {
				flat[fmt.Sprintf("%s.%s.%s", k, id, field)] = string(value)
			}
		}
	}
}

// unset tells whether a JSON value stands for a key that is not given.
func isUnset(value string) bool {
	return value == "null" || value == `""` || value == `"@"`
}
