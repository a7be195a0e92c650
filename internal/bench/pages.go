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

// The pages that are written from figures.
const (
	PageCapacity = "capacity.md"
	PageMeasures = "measures.md"
)

// kept marks a bound that no run crossed.
const kept = "yes"

// page is what a page's template sees.
type page struct {
	figures  *Figures
	Capacity Capacity
}

// Page writes a page from figures alone, so that it can be recomputed.
func (f *Figures) Page(name string) ([]byte, error) {
	capacity, err := NewCapacity(f)
	if err != nil {
		return nil, err
	}
	t, err := template.ParseFS(pageFiles, "pages/"+name)
	if err != nil {
		return nil, fmt.Errorf("reading page %q: %w", name, err)
	}
	var text bytes.Buffer
	if err := t.Execute(&text, page{figures: f, Capacity: capacity}); err != nil {
		return nil, fmt.Errorf("writing page %q: %w", name, err)
	}
	return text.Bytes(), nil
}

// Note tells of the circumstances of the runs.
func (p page) Note() string { return p.figures.Note }

// Table gives a section's newest rows, with the command that repeats them.
func (p page) Table(name string) (string, error) {
	s, err := p.figures.section(name)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s. Last run %s, seed %d, %d cores: `./bin/marigoldbench --only %s --seed %d`.\n\n",
		s.About, s.At.Format("2006-01-02 15:04 UTC"), s.Seed, s.Cores, name, s.Seed)
	b.WriteString(tableText(s.Columns, s.Rows))
	return b.String(), nil
}

// Bounds gives a section's bounded figures over the runs.
func (p page) Bounds(name string) (string, error) {
	s, err := p.figures.section(name)
	if err != nil {
		return "", err
	}
	var rows [][]string
	for _, x := range s.Spreads {
		rows = append(rows, x.cells())
	}
	return tableText([]string{"bounded figure", "least", "median", "most", "runs", "newest bound", "unit", "kept in all"}, rows), nil
}

func (x Spread) cells() []string {
	var values []float64
	sign, word := "<=", kept
	for _, b := range x.Runs {
		values = append(values, b.Value)
		if !b.Holds() {
			word = "**no**"
		}
	}
	slices.Sort(values)
	newest := x.Runs[len(x.Runs)-1]
	if newest.Least {
		sign = ">="
	}
	return []string{
		x.Name, number(values[0]), number((values[(len(values)-1)/2] + values[len(values)/2]) / 2), number(values[len(values)-1]),
		fmt.Sprint(len(values)), sign + " " + number(newest.Limit), newest.Unit, word,
	}
}

func tableText(columns []string, rows [][]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %s |\n|%s\n", strings.Join(columns, " | "), strings.Repeat(" --- |", len(columns)))
	for _, row := range rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// Weakest lists the bounds that were crossed in any run.
func (p page) Weakest() string {
	var rows [][]string
	for _, s := range p.figures.Sections {
		for _, x := range s.Spreads {
			if cells := x.cells(); cells[len(cells)-1] != kept {
				rows = append(rows, append([]string{s.Name}, cells[:len(cells)-1]...))
			}
		}
	}
	if len(rows) == 0 {
		return "none."
	}
	return tableText([]string{"section", "bounded figure", "least", "median", "most", "runs", "newest bound", "unit"}, rows)
}
