package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"
)

// Figures are what the pages are written from: the newest measurement of each
// section, and the spread of its bounded figures over all runs.
type Figures struct {
	Note     string   `json:"note"` // on the circumstances of the runs
	Sections []Figure `json:"sections"`
}

// Figure is one section as measured last.
type Figure struct {
	Name    string          `json:"name"`
	At      time.Time       `json:"at"` // start of the run
	Version string          `json:"version"`
	Seed    uint64          `json:"seed"`
	Cores   int             `json:"cores"`
	About   string          `json:"about"`
	Columns []string        `json:"columns"`
	Rows    [][]string      `json:"rows"`
	Spreads []Spread        `json:"spreads"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// Spread is a bounded figure over several runs.
type Spread struct {
	Name string  `json:"name"`
	Runs []Bound `json:"runs"` // oldest first, each with the limit of its own run
}

// savedReport is a report as read back, with the data of sections undecoded.
type savedReport struct {
	Report
	Sections []savedSection `json:"sections"`
}

type savedSection struct {
	Section
	Data json.RawMessage `json:"data"`
}

// dataSections are those whose data the capacity page is worked out from.
var dataSections = []string{"control", "calls", "overhead", "streams", "publish", "journal", "poll", "gossip"}

// NewFigures reads reports of several runs, which need not have all sections.
func NewFigures(paths []string, note string) (*Figures, error) {
	var reports []savedReport
	for _, path := range paths {
		var r savedReport
		if err := readJSON(path, &r); err != nil {
			return nil, err
		}
		reports = append(reports, r)
	}
	slices.SortStableFunc(reports, func(a, b savedReport) int { return a.At.Compare(b.At) })
	f := &Figures{Note: note}
	for _, name := range Names() {
		f.add(name, reports)
	}
	return f, nil
}

// add takes in one section of all reports that have it.
func (f *Figures) add(name string, reports []savedReport) {
	var newest *Figure
	runs := map[string][]Bound{}
	for _, r := range reports {
		for _, s := range r.Sections {
			if s.Name != name {
				continue
			}
			newest = newFigure(r, s)
			for _, b := range s.Bounds {
				runs[b.Name] = append(runs[b.Name], b)
			}
		}
	}
	if newest == nil {
		return
	}
	for i, s := range newest.Spreads {
		newest.Spreads[i].Runs = runs[s.Name]
	}
	f.Sections = append(f.Sections, *newest)
}

func newFigure(r savedReport, s savedSection) *Figure {
	f := &Figure{
		Name: s.Name, At: r.At.UTC().Truncate(time.Second), Version: r.Version, Seed: r.Seed, Cores: r.Cores,
		About: s.About, Columns: s.Columns, Rows: s.Rows,
	}
	if slices.Contains(dataSections, s.Name) {
		f.Data = s.Data
	}
	for _, b := range s.Bounds {
		f.Spreads = append(f.Spreads, Spread{Name: b.Name})
	}
	return f
}

// ReadFigures reads what Save wrote.
func ReadFigures(path string) (*Figures, error) {
	f := &Figures{}
	if err := readJSON(path, f); err != nil {
		return nil, err
	}
	return f, nil
}

// Save writes the figures for the pages to be recomputed from.
func (f *Figures) Save(path string) error {
	text, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return fmt.Errorf("encoding figures: %w", err)
	}
	if err := os.WriteFile(path, append(text, '\n'), fileMode); err != nil {
		return fmt.Errorf("writing figures: %w", err)
	}
	return nil
}

// section finds a section by its name.
func (f *Figures) section(name string) (Figure, error) {
	for _, s := range f.Sections {
		if s.Name == name {
			return s, nil
		}
	}
	return Figure{}, fmt.Errorf("section %q was not measured; run marigoldbench --only %s and name its report too", name, name)
}

// decode reads the data of a section.
func (f *Figures) decode(name string, into any) error {
	s, err := f.section(name)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(s.Data, into); err != nil {
		return fmt.Errorf("decoding section %q: %w", name, err)
	}
	return nil
}

func readJSON(path string, into any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("reading figures: %w", err)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("decoding %q: %w", path, err)
	}
	return nil
}
