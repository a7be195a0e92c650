package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Report is the result of a run.
type Report struct {
	Version   string    `json:"version"`
	Seed      uint64    `json:"seed"`
	StartedAt time.Time `json:"at"`
	Cores     int       `json:"cores"`
	Elapsed   string    `json:"took"`
	Sections  []Section `json:"sections"`
}

// Section is one measurement with its bounds.
type Section struct {
	Name        string     `json:"name"`  // one word, used to select the section
	Description string     `json:"about"` // what was measured, and how
	Columns     []string   `json:"columns"`
	Rows        [][]string `json:"rows"`
	Bounds      []Bound    `json:"bounds"`
	Plots       []Plot     `json:"plots,omitempty"`
	Data        any        `json:"data"` // the measured rows, not formatted
}

// Bound is a figure with its limit. Limits come from the requirements or from a
// baseline of the same run.
type Bound struct {
	Name      string  `json:"name"`
	Value     float64 `json:"value"`
	Limit     float64 `json:"limit"`
	IsMinimum bool    `json:"least"` // Limit is the minimum, else the maximum
	Unit      string  `json:"unit"`
}

// Holds reports whether the value is within the limit.
func (b Bound) Holds() bool {
	if b.IsMinimum {
		return b.Value >= b.Limit
	}
	return b.Value <= b.Limit
}

// atMost returns a bound with a maximum.
func atMost(name string, value, limit float64, unit string) Bound {
	return Bound{Name: name, Value: value, Limit: limit, Unit: unit}
}

// atLeast returns a bound with a minimum.
func atLeast(name string, value, limit float64, unit string) Bound {
	return Bound{Name: name, Value: value, Limit: limit, IsMinimum: true, Unit: unit}
}

// CrossedBounds returns the bounds whose value is not within the limit.
func (r *Report) CrossedBounds() []Bound {
	var crossed []Bound
	for _, s := range r.Sections {
		for _, b := range s.Bounds {
			if !b.Holds() {
				crossed = append(crossed, b)
			}
		}
	}
	return crossed
}

// JSON writes the report as JSON.
func (r *Report) JSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("writing report: %w", err)
	}
	return nil
}

// Text writes the report as text tables.
func (r *Report) Text(w io.Writer) error {
	for _, s := range r.Sections {
		if err := s.writeText(w); err != nil {
			return fmt.Errorf("writing section %s: %w", s.Name, err)
		}
	}
	return nil
}

func (s Section) writeText(w io.Writer) error {
	fmt.Fprintf(w, "\n== %s: %s\n", s.Name, s.Description)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(s.Columns, "\t"))
	for _, row := range s.Rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("writing table: %w", err)
	}
	for _, b := range s.Bounds {
		fmt.Fprintln(w, b)
	}
	return nil
}

// String returns the bound as one line.
func (b Bound) String() string {
	sign, word := "<=", "holds"
	if b.IsMinimum {
		sign = ">="
	}
	if !b.Holds() {
		word = "CROSSED"
	}
	return fmt.Sprintf("   %-7s %s: %.4g %s %.4g %s", word, b.Name, b.Value, sign, b.Limit, b.Unit)
}

// Markdown writes the report as a Markdown page that links the plots in its
// directory.
func (r *Report) Markdown(w io.Writer) error {
	fmt.Fprintf(w, "# Bench of %s\n\nSeed %d, %d cores, %s, in %s.\n", r.Version, r.Seed, r.Cores, r.StartedAt.UTC().Format(time.RFC3339), r.Elapsed)
	for _, s := range r.Sections {
		fmt.Fprintf(w, "\n## %s\n\n%s\n\n| %s |\n|%s\n", s.Name, s.Description, strings.Join(s.Columns, " | "), strings.Repeat(" --- |", len(s.Columns)))
		for _, row := range s.Rows {
			fmt.Fprintf(w, "| %s |\n", strings.Join(row, " | "))
		}
		fmt.Fprintln(w)
		for _, b := range s.Bounds {
			fmt.Fprintf(w, "- %s\n", strings.TrimSpace(b.String()))
		}
		for _, p := range s.Plots {
			fmt.Fprintf(w, "\n![%s](%s)\n", p.Title, p.FileName())
		}
	}
	return nil
}
