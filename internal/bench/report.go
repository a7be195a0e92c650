package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Report is the outcome of a bench.
type Report struct {
	Version  string    `json:"version"`
	Seed     uint64    `json:"seed"`
	At       time.Time `json:"at"`
	Cores    int       `json:"cores"`
	Took     string    `json:"took"`
	Sections []Section `json:"sections"`
}

// Section is one measure with its bounds.
type Section struct {
	Name    string     `json:"name"`  // one word, by which it can be run alone
	About   string     `json:"about"` // what was done
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
	Bounds  []Bound    `json:"bounds"`
	Plots   []Plot     `json:"plots,omitempty"`
	Data    any        `json:"data"` // the rows as measured
}

// Bound is what a figure may not cross. Limits come from the letter's target,
// the brief, or a baseline of the same run.
type Bound struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Limit float64 `json:"limit"`
	Least bool    `json:"least"` // Limit is the least allowed, else the most
	Unit  string  `json:"unit"`
}

// Holds tells whether the bound was kept.
func (b Bound) Holds() bool {
	if b.Least {
		return b.Value >= b.Limit
	}
	return b.Value <= b.Limit
}

// atMost and atLeast make bounds.
func atMost(name string, value, limit float64, unit string) Bound {
	return Bound{Name: name, Value: value, Limit: limit, Unit: unit}
}

func atLeast(name string, value, limit float64, unit string) Bound {
	return Bound{Name: name, Value: value, Limit: limit, Least: true, Unit: unit}
}

// Broken gives the bounds that were crossed.
func (r *Report) Broken() []Bound {
	var broken []Bound
	for _, s := range r.Sections {
		for _, b := range s.Bounds {
			if !b.Holds() {
				broken = append(broken, b)
			}
		}
	}
	return broken
}

// JSON writes the report for scripts.
func (r *Report) JSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("writing report: %w", err)
	}
	return nil
}

// Text writes the report as tables.
func (r *Report) Text(w io.Writer) error {
	for _, s := range r.Sections {
		if err := s.text(w); err != nil {
			return fmt.Errorf("writing section %s: %w", s.Name, err)
		}
	}
	return nil
}

func (s Section) text(w io.Writer) error {
	fmt.Fprintf(w, "\n== %s: %s\n", s.Name, s.About)
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

// String gives the bound as one line.
func (b Bound) String() string {
	sign, word := "<=", "holds"
	if b.Least {
		sign = ">="
	}
	if !b.Holds() {
		word = "CROSSED"
	}
	return fmt.Sprintf("   %-7s %s: %.4g %s %.4g %s", word, b.Name, b.Value, sign, b.Limit, b.Unit)
}

// Markdown writes the report as a page that shows the plots beside it.
func (r *Report) Markdown(w io.Writer) error {
	fmt.Fprintf(w, "# Bench of %s\n\nSeed %d, %d cores, %s, in %s.\n", r.Version, r.Seed, r.Cores, r.At.UTC().Format(time.RFC3339), r.Took)
	for _, s := range r.Sections {
		fmt.Fprintf(w, "\n## %s\n\n%s\n\n| %s |\n|%s\n", s.Name, s.About, strings.Join(s.Columns, " | "), strings.Repeat(" --- |", len(s.Columns)))
		for _, row := range s.Rows {
			fmt.Fprintf(w, "| %s |\n", strings.Join(row, " | "))
		}
		fmt.Fprintln(w)
		for _, b := range s.Bounds {
			fmt.Fprintf(w, "- %s\n", strings.TrimSpace(b.String()))
		}
		for _, p := range s.Plots {
			fmt.Fprintf(w, "\n![%s](%s)\n", p.Title, p.File())
		}
	}
	return nil
}
