package cmd

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const columnGap = 2 // spaces between columns

// table is a result printed as text. Its first row is the heading.
type table struct {
	title string
	rows  [][]string
}

func newTable(title string, heading ...string) *table {
	return &table{title: title, rows: [][]string{heading}}
}

func (t *table) addRow(cells ...string) {
	t.rows = append(t.rows, cells)
}

// printJSON prints a result as JSON.
func (r *Run) printJSON(result any) error {
	encoder := json.NewEncoder(r.Out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(result); err != nil {
		return fmt.Errorf("printing the result: %w", err)
	}
	return nil
}

// printTables prints tables as text, without those that have no rows.
func (r *Run) printTables(tables ...*table) error {
	w := tabwriter.NewWriter(r.Out, 0, 0, columnGap, ' ', 0)
	first := true
	for _, t := range tables {
		if len(t.rows) < 2 {
			continue
		}
		if !first {
			fmt.Fprintln(w)
		}
		first = false
		if t.title != "" {
			fmt.Fprintf(w, "%s\n", t.title)
		}
		for _, row := range t.rows {
			fmt.Fprintln(w, strings.Join(row, "\t"))
		}
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("printing the result: %w", err)
	}
	return nil
}

// progressf prints a progress line. With --json it prints nothing, so that
// scripts get only the result.
func (r *Run) progressf(format string, args ...any) {
	if !r.flags.JSON {
		fmt.Fprintf(r.Err, format+"\n", args...)
	}
}

// formatAge formats the time since t, or "never" for the zero time.
func (r *Run) formatAge(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return r.Now().Sub(t).Round(100*time.Millisecond).String() + " ago"
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// formatMoney formats an amount with six decimals, the full precision of
// ident.Micros.
func formatMoney(m ident.Micros) string {
	sign := ""
	if m < 0 {
		sign, m = "-", -m
	}
	return fmt.Sprintf("%s%d.%06d", sign, m/1_000_000, m%1_000_000)
}
