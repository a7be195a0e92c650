package input

import "fmt"

// Key describes one key for the documentation.
type Key struct {
	Name     string
	Accepted string
	Default  string // as written in a file; empty if there is none
	Required bool
}

// DescribeKeys returns the descriptions of a table's keys.
func DescribeKeys[T any](fields []Field[T]) []Key {
	keys := make([]Key, len(fields))
	for i, f := range fields {
		keys[i] = Key{Name: f.Name, Accepted: f.Accepted, Default: f.Default, Required: f.Required}
	}
	return keys
}

// MarkdownRow returns the first cells of the key's row in a Markdown table: name,
// accepted values and default.
func (k Key) MarkdownRow() string {
	defaultValue := "none"
	switch {
	case k.Required:
		defaultValue = "must be given"
	case k.Default != "":
		defaultValue = "`" + k.Default + "`"
	}
	return fmt.Sprintf("| `%s` | %s | %s |", k.Name, k.Accepted, defaultValue)
}
