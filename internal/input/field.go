package input

import (
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Field describes one key of a table that is decoded into a T.
type Field[T any] struct {
	Name     string
	Accepted string // description of the type, unit and range
	Default  string // as written in a file; empty if the key has none
	Required bool
	assign   func(t *T, value any) bool // reports whether the value is accepted
}

// AsRequired returns a copy of the field that is required and has no default.
func (f Field[T]) AsRequired() Field[T] {
	f.Required = true
	f.Default = ""
	return f
}

// String returns a field that accepts strings for which valid returns true.
func String[T any, S ~string](name, accepted, defaultValue string, valid func(string) bool, target func(*T) *S) Field[T] {
	assign := func(t *T, value any) bool {
		s, ok := value.(string)
		if !ok || !valid(s) {
			return false
		}
		*target(t) = S(s)
		return true
	}
	return Field[T]{Name: name, Accepted: accepted, Default: defaultValue, assign: assign}
}

// Strings returns a field that accepts lists of strings. The function valid must
// return true for each of them.
func Strings[T any, S ~string](name, accepted string, valid func(string) bool, target func(*T) *[]S) Field[T] {
	assign := func(t *T, value any) bool {
		list, ok := value.([]any)
		if !ok {
			return false
		}
		decoded := make([]S, 0, len(list))
		for _, v := range list {
			s, ok := v.(string)
			if !ok || !valid(s) {
				return false
			}
			decoded = append(decoded, S(s))
		}
		*target(t) = decoded
		return true
	}
	return Field[T]{Name: name, Accepted: accepted, Default: "[]", assign: assign}
}

// Int returns a field that accepts integers from low to high, in the given unit.
func Int[T any, N ~int | ~int64](name, unit string, low, high int64, defaultValue N, target func(*T) *N) Field[T] {
	assign := func(t *T, value any) bool {
		n, ok := value.(int64)
		if !ok || n < low || n > high {
			return false
		}
		*target(t) = N(n)
		return true
	}
	accepted := fmt.Sprintf("a whole number from %d to %d%s", low, high, unitSuffix(unit))
	return Field[T]{Name: name, Accepted: accepted, Default: fmt.Sprint(defaultValue), assign: assign}
}

// Float returns a field that accepts numbers from low to high, in the given
// unit.
func Float[T any, F ~float64](name, unit string, low, high float64, defaultValue F, target func(*T) *F) Field[T] {
	assign := func(t *T, value any) bool {
		n, ok := toFloat(value)
		if !ok || math.IsNaN(n) || n < low || n > high {
			return false
		}
		*target(t) = F(n)
		return true
	}
	accepted := fmt.Sprintf("a number from %s to %s%s", formatFloat(low), formatFloat(high), unitSuffix(unit))
	return Field[T]{Name: name, Accepted: accepted, Default: fmt.Sprint(defaultValue), assign: assign}
}

// Bool returns a field that accepts true or false.
func Bool[T any](name string, defaultValue bool, target func(*T) *bool) Field[T] {
	assign := func(t *T, value any) bool {
		b, ok := value.(bool)
		if ok {
			*target(t) = b
		}
		return ok
	}
	return Field[T]{Name: name, Accepted: "true or false", Default: fmt.Sprint(defaultValue), assign: assign}
}

// Duration returns a field that accepts durations from low to high, written as
// strings.
func Duration[T any](name string, low, high, defaultValue time.Duration, target func(*T) *time.Duration) Field[T] {
	assign := func(t *T, value any) bool {
		s, ok := value.(string)
		if !ok {
			return false
		}
		d, err := time.ParseDuration(s)
		if err != nil || d < low || d > high {
			return false
		}
		*target(t) = d
		return true
	}
	accepted := fmt.Sprintf("a duration from %q to %q", FormatDuration(low), FormatDuration(high))
	return Field[T]{Name: name, Accepted: accepted, Default: fmt.Sprintf("%q", FormatDuration(defaultValue)), assign: assign}
}

// Choice returns a field that accepts one of the given words; words[i] sets
// values[i].
func Choice[T any, V comparable](name string, words []string, values []V, defaultValue string, target func(*T) *V) Field[T] {
	assign := func(t *T, value any) bool {
		for i, word := range words {
			if value == word {
				*target(t) = values[i]
				return true
			}
		}
		return false
	}
	accepted := fmt.Sprintf("one of %q", words)
	return Field[T]{Name: name, Accepted: accepted, Default: fmt.Sprintf("%q", defaultValue), assign: assign}
}

// TableList returns a field that accepts a list of tables with the given fields.
func TableList[T, E any](name, accepted, defaultValue string, fields []Field[E], target func(*T) *[]E) Field[T] {
	assign := func(t *T, value any) bool {
		list, ok := value.([]any)
		if !ok {
			return false
		}
		decoded := make([]E, len(list))
		for i, v := range list {
			table, ok := v.(map[string]any)
			if !ok || !decodeTable(table, fields, &decoded[i]) {
				return false
			}
		}
		*target(t) = decoded
		return true
	}
	return Field[T]{Name: name, Accepted: accepted, Default: defaultValue, assign: assign}
}

// Decode decodes the table at the given path of the document into t. It reports
// unknown keys, missing required keys and values that are not accepted.
func Decode[T any](d *Document, path []string, table map[string]any, fields []Field[T], t *T) Problems {
	var problems Problems
	known := map[string]bool{}
	for _, f := range fields {
		known[f.Name] = true
		value, present := table[f.Name]
		keyPath := append(append([]string(nil), path...), f.Name)
		switch {
		case !present && f.Required:
			problems = append(problems, d.Problem(keyPath, "key is missing", f.Accepted))
		case present && !f.assign(t, value):
			problems = append(problems, d.Problem(keyPath, fmt.Sprintf("%s is not accepted", formatValue(value)), f.Accepted))
		}
	}
	for name := range table {
		if !known[name] {
			keyPath := append(append([]string(nil), path...), name)
			problems = append(problems, d.Problem(keyPath, "unknown key", joinNames(fields)))
		}
	}
	return problems
}

// FormatDuration formats a duration without trailing zero units.
func FormatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func decodeTable[E any](table map[string]any, fields []Field[E], e *E) bool {
	decoded := 0
	for _, f := range fields {
		value, present := table[f.Name]
		if !present && f.Required || present && !f.assign(e, value) {
			return false
		}
		if present {
			decoded++
		}
	}
	return decoded == len(table)
}

func toFloat(value any) (float64, bool) {
	switch n := value.(type) {
	case int64:
		return float64(n), true
	case float64:
		return n, true
	}
	return 0, false
}

func formatValue(value any) string {
	const limit = 60 // bytes of a value in a message
	var text string
	switch v := value.(type) {
	case string:
		text = fmt.Sprintf("%q", v)
	case map[string]any:
		return "a table"
	default:
		text = fmt.Sprint(v)
	}
	if len(text) > limit {
		text = strings.ToValidUTF8(text[:limit], "") + "..."
	}
	return text
}

// unitSuffix returns the unit as a suffix of a number: after a space, unless the
// unit begins with a comma.
func unitSuffix(unit string) string {
	if unit == "" || strings.HasPrefix(unit, ",") {
		return unit
	}
	return " " + unit
}

func formatFloat(n float64) string {
	return strconv.FormatFloat(n, 'f', -1, 64)
}

func joinNames[T any](fields []Field[T]) string {
	all := make([]string, len(fields))
	for i, f := range fields {
		all[i] = f.Name
	}
	sort.Strings(all)
	return strings.Join(all, ", ")
}
