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

// table is what people read; its first row is the heading.
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

// printJSON prints a result for scripts.
func (r *Run) printJSON(result any) error {
	encoder := json.NewEncoder(r.Out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(result); err != nil {
		return fmt.Errorf("print the result: %w", err)
	}
	return nil
}

// printTables prints tables for people; one without rows is left out.
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
		return fmt.Errorf("print the result: %w", err)
	}
	return nil
}

// note prints progress for people; scripts get the result only.
func (r *Run) progressf(format string, args ...any) {
	if !r.flags.JSON {
		fmt.Fprintf(r.Err, format+"\n", args...)
	}
}

// ago gives the age of a time, or never.
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

// money gives an amount with six decimals, as none may be lost.
func formatMoney(m ident.Micros) string {
	sign := ""
	if m < 0 {
		sign, m = "-", -m
	}
	return fmt.Sprintf("%s%d.%06d", sign, m/1_000_000, m%1_000_000)
}
