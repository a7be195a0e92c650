package config

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
)

// Difference is a value that differs between two configurations.
type Difference struct {
	Key string `json:"key"` // as in team.ledger.weight
	Old string `json:"old"` // as JSON; empty if the key is added
	New string `json:"new"` // as JSON; empty if the key is removed
}

// String formats the difference on one line.
func (d Difference) String() string {
	switch {
	case d.Old == "":
		return fmt.Sprintf("+ %s = %s", d.Key, d.New)
	case d.New == "":
		return fmt.Sprintf("- %s = %s", d.Key, d.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", d.Key, d.Old, d.New)
}

// Diff returns the differences between two configurations, sorted by key. A nil
// configuration counts as empty.
func Diff(old, updated *fleet.Config) []Difference {
	before, after := flatten(old), flatten(updated)
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

// flatten returns the values of a configuration by their keys in the operators'
// files.
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
			continue // all fields can be marshalled
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

// isUnset reports whether a JSON value represents a key that is not set.
func isUnset(value string) bool {
	return value == "null" || value == `""` || value == `"@"`
}
