package input

import "fmt"

// Key describes one key for people.
type Key struct {
	Name     string
	Accepted string
	Default  string // as written in a file; empty if there is none
	Needed   bool
}

// Keys describes the keys of a table.
func Keys[T any](fields []Field[T]) []Key {
	keys := make([]Key, len(fields))
	for i, f := range fields {
		keys[i] = Key{Name: f.Name, Accepted: f.Accepted, Default: f.Default, Needed: f.Needed}
	}
	return keys
}

// Row gives the key as the start of a row of a Markdown table.
func (k Key) Row() string {
	preset := "none"
	switch {
	case k.Needed:
		preset = "must be given"
	case k.Default != "":
		preset = "`" + k.Default + "`"
	}
	return fmt.Sprintf("| `%s` | %s | %s |", k.Name, k.Accepted, preset)
}
