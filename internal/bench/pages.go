package bench

import (
	"bytes"
	"embed"
	"fmt"
	"slices"
	"strings"
	"text/template"
)

//go:embed pages/*.md
var pageFiles embed.FS

// Templates of the pages.
const (
	PageCapacity = "capacity.md"
	PageMeasures = "measures.md"
)

// heldInAllRuns marks a bound that held in all runs.
const heldInAllRuns = "yes"

// page is the data of a page's template.
type page struct {
	figures  *Figures
	Capacity Capacity
}

// Page renders a page from the figures alone, so that it can be generated again.
func (f *Figures) Page(name string) ([]byte, error) {
	capacity, err := NewCapacity(f)
	if err != nil {
		return nil, err
	}
	t, err := template.ParseFS(pageFiles, "pages/"+name)
	if err != nil {
		return nil, fmt.Errorf("reading template of page %q: %w", name, err)
	}
	var text bytes.Buffer
	if err := t.Execute(&text, page{figures: f, Capacity: capacity}); err != nil {
		return nil, fmt.Errorf("rendering page %q: %w", name, err)
	}
	return text.Bytes(), nil
}

// Note returns the circumstances of the runs.
func (p page) Note() string { return p.figures.Note }

// Table returns a section's newest rows, with the command that measures them again.
func (p page) Table(name string) (string, error) {
	s, err := p.figures.findSection(name)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s. Last run %s, seed %d, %d cores: `./bin/marigoldbench --only %s --seed %d`.\n\n",
		s.Description, s.StartedAt.Format("2006-01-02 15:04 UTC"), s.Seed, s.Cores, name, s.Seed)
	b.WriteString(markdownTable(s.Columns, s.Rows))
	return b.String(), nil
}

// Bounds returns a table of a section's bounds, with their values over the runs.
func (p page) Bounds(name string) (string, error) {
	s, err := p.figures.findSection(name)
	if err != nil {
		return "", err
	}
	var rows [][]string
	for _, h := range s.Histories {
		rows = append(rows, h.tableRow())
	}
	return markdownTable([]string{"bounded figure", "least", "median", "most", "runs", "newest bound", "unit", "kept in all"}, rows), nil
}

func (h BoundHistory) tableRow() []string {
	var values []float64
	sign, held := "<=", heldInAllRuns
	for _, b := range h.Runs {
		values = append(values, b.Value)
		if !b.Holds() {
			held = "**no**"
		}
	}
	slices.Sort(values)
	newest := h.Runs[len(h.Runs)-1]
	if newest.IsMinimum {
		sign = ">="
	}
	return []string{
		h.Name, formatNumber(values[0]), formatNumber((values[(len(values)-1)/2] + values[len(values)/2]) / 2), formatNumber(values[len(values)-1]),
		fmt.Sprint(len(values)), sign + " " + formatNumber(newest.Limit), newest.Unit, held,
	}
}

func markdownTable(columns []string, rows [][]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %s |\n|%s\n", strings.Join(columns, " | "), strings.Repeat(" --- |", len(columns)))
	for _, row := range rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// CrossedBounds returns a table of the bounds that were crossed in any run.
func (p page) CrossedBounds() string {
	var rows [][]string
	for _, s := range p.figures.Sections {
		for _, h := range s.Histories {
			if cells := h.tableRow(); cells[len(cells)-1] != heldInAllRuns {
				rows = append(rows, append([]string{s.Name}, cells[:len(cells)-1]...))
			}
		}
	}
	if len(rows) == 0 {
		return "none."
	}
	return markdownTable([]string{"section", "bounded figure", "least", "median", "most", "runs", "newest bound", "unit"}, rows)
}
