package input

import (
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Field is one key that a table of T may hold.
type Field[T any] struct {
	Name     string
	Accepted string // type, unit and range, in words
	Default  string // as written in a file; empty if the key has none
	Needed   bool   // whether the key must be written
	set      func(t *T, value any) bool
}

// Require gives the field as one that must be written.
func (f Field[T]) Require() Field[T] {
	f.Needed = true
	f.Default = ""
	return f
}

// Text is a key that holds a string for which valid holds.
func Text[T any, S ~string](name, accepted, preset string, valid func(string) bool, at func(*T) *S) Field[T] {
	set := func(t *T, value any) bool {
		s, ok := value.(string)
		if !ok || !valid(s) {
			return false
		}
		*at(t) = S(s)
		return true
	}
	return Field[T]{Name: name, Accepted: accepted, Default: preset, set: set}
}

// Texts is a key that holds a list of strings for each of which valid holds.
func Texts[T any, S ~string](name, accepted string, valid func(string) bool, at func(*T) *[]S) Field[T] {
	set := func(t *T, value any) bool {
		list, ok := value.([]any)
		if !ok {
			return false
		}
		read := make([]S, 0, len(list))
		for _, v := range list {
			s, ok := v.(string)
			if !ok || !valid(s) {
				return false
			}
			read = append(read, S(s))
		}
		*at(t) = read
		return true
	}
	return Field[T]{Name: name, Accepted: accepted, Default: "[]", set: set}
}

// Int is a key that holds a whole number from low to high, in a unit.
func Int[T any, N ~int | ~int64](name, unit string, low, high int64, preset N, at func(*T) *N) Field[T] {
	set := func(t *T, value any) bool {
		n, ok := value.(int64)
		if !ok || n < low || n > high {
			return false
		}
		*at(t) = N(n)
		return true
	}
	accepted := fmt.Sprintf("a whole number from %d to %d%s", low, high, spaced(unit))
	return Field[T]{Name: name, Accepted: accepted, Default: fmt.Sprint(preset), set: set}
}

// Float is a key that holds a number from low to high, in a unit.
func Float[T any, F ~float64](name, unit string, low, high float64, preset F, at func(*T) *F) Field[T] {
	set := func(t *T, value any) bool {
		n, ok := number(value)
		if !ok || math.IsNaN(n) || n < low || n > high {
			return false
		}
		*at(t) = F(n)
		return true
	}
	accepted := fmt.Sprintf("a number from %s to %s%s", decimal(low), decimal(high), spaced(unit))
	return Field[T]{Name: name, Accepted: accepted, Default: fmt.Sprint(preset), set: set}
}

// Bool is a key that holds true or false.
func Bool[T any](name string, preset bool, at func(*T) *bool) Field[T] {
	set := func(t *T, value any) bool {
		b, ok := value.(bool)
		if ok {
			*at(t) = b
		}
		return ok
	}
	return Field[T]{Name: name, Accepted: "true or false", Default: fmt.Sprint(preset), set: set}
}

// Duration is a key that holds a duration from low to high, as a string.
func Duration[T any](name string, low, high, preset time.Duration, at func(*T) *time.Duration) Field[T] {
	set := func(t *T, value any) bool {
		s, ok := value.(string)
		if !ok {
			return false
		}
		d, err := time.ParseDuration(s)
		if err != nil || d < low || d > high {
			return false
		}
		*at(t) = d
		return true
	}
	accepted := fmt.Sprintf("a duration from %q to %q", Short(low), Short(high))
	return Field[T]{Name: name, Accepted: accepted, Default: fmt.Sprintf("%q", Short(preset)), set: set}
}

// Choice is a key that holds one of a few words, each standing for a value.
func Choice[T any, V comparable](name string, words []string, values []V, preset string, at func(*T) *V) Field[T] {
	set := func(t *T, value any) bool {
		for i, word := range words {
			if value == word {
				*at(t) = values[i]
				return true
			}
		}
		return false
	}
	accepted := fmt.Sprintf("one of %q", words)
	return Field[T]{Name: name, Accepted: accepted, Default: fmt.Sprintf("%q", preset), set: set}
}

// Tables is a key that holds a list of tables, read by fields of their own.
func Tables[T, E any](name, accepted, preset string, fields []Field[E], at func(*T) *[]E) Field[T] {
	set := func(t *T, value any) bool {
		list, ok := value.([]any)
		if !ok {
			return false
		}
		read := make([]E, len(list))
		for i, v := range list {
			table, ok := v.(map[string]any)
			if !ok || !fill(table, fields, &read[i]) {
				return false
			}
		}
		*at(t) = read
		return true
	}
	return Field[T]{Name: name, Accepted: accepted, Default: preset, set: set}
}

// Read fills t from a table of the document, whose path is given, and reports
// unknown keys, missing keys and values that are not accepted.
func Read[T any](d *Document, path []string, table map[string]any, fields []Field[T], t *T) Problems {
	var problems Problems
	known := map[string]bool{}
	for _, f := range fields {
		known[f.Name] = true
		value, written := table[f.Name]
		at := append(append([]string(nil), path...), f.Name)
		switch {
		case !written && f.Needed:
			problems = append(problems, d.Problem(at, "key is missing", f.Accepted))
		case written && !f.set(t, value):
			problems = append(problems, d.Problem(at, fmt.Sprintf("%s is not accepted", shown(value)), f.Accepted))
		}
	}
	for name := range table {
		if !known[name] {
			at := append(append([]string(nil), path...), name)
			problems = append(problems, d.Problem(at, "unknown key", names(fields)))
		}
	}
	return problems
}

// Short gives a duration without trailing zero units.
func Short(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func fill[E any](table map[string]any, fields []Field[E], e *E) bool {
	used := 0
	for _, f := range fields {
		value, written := table[f.Name]
		if !written && f.Needed || written && !f.set(e, value) {
			return false
		}
		if written {
			used++
		}
	}
	return used == len(table)
}

func number(value any) (float64, bool) {
	switch n := value.(type) {
	case int64:
		return float64(n), true
	case float64:
		return n, true
	}
	return 0, false
}

func shown(value any) string {
	const limit = 60 // characters of a value in a message
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

// spaced sets a unit off from its number; one that begins with a comma stands
// close to it.
func spaced(unit string) string {
	if unit == "" || strings.HasPrefix(unit, ",") {
		return unit
	}
	return " " + unit
}

func decimal(n float64) string {
	return strconv.FormatFloat(n, 'f', -1, 64)
}

func names[T any](fields []Field[T]) string {
	all := make([]string, len(fields))
	for i, f := range fields {
		all[i] = f.Name
	}
	sort.Strings(all)
	return strings.Join(all, ", ")
}
