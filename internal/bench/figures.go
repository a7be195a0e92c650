package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"
)

// Figures is the input of the pages: the newest measurement of each section, and
// the values of its bounds in all runs.
type Figures struct {
	Note     string          `json:"note"` // the circumstances of the runs
	Sections []LatestSection `json:"sections"`
}

// LatestSection is the newest measurement of a section.
type LatestSection struct {
	Name        string          `json:"name"`
	StartedAt   time.Time       `json:"at"` // start of the run
	Version     string          `json:"version"`
	Seed        uint64          `json:"seed"`
	Cores       int             `json:"cores"`
	Description string          `json:"about"`
	Columns     []string        `json:"columns"`
	Rows        [][]string      `json:"rows"`
	Histories   []BoundHistory  `json:"spreads"`
	Data        json.RawMessage `json:"data,omitempty"`
}

// BoundHistory holds the values of one bound in several runs.
type BoundHistory struct {
	Name string  `json:"name"`
	Runs []Bound `json:"runs"` // oldest first, each with the limit of its run
}

// savedReport is a report read from a file, with the data of its sections not yet
// decoded.
type savedReport struct {
	Report
	Sections []savedSection `json:"sections"`
}

type savedSection struct {
	Section
	Data json.RawMessage `json:"data"`
}

// sectionsWithData are the sections whose data the capacity page is computed from.
var sectionsWithData = []string{"control", "calls", "overhead", "streams", "publish", "journal", "poll", "gossip"}

// NewFigures reads the reports of several runs. A report need not have all
// sections.
func NewFigures(paths []string, note string) (*Figures, error) {
	var reports []savedReport
	for _, path := range paths {
		var r savedReport
		if err := readJSON(path, &r); err != nil {
			return nil, err
		}
		reports = append(reports, r)
	}
	slices.SortStableFunc(reports, func(a, b savedReport) int { return a.StartedAt.Compare(b.StartedAt) })
	f := &Figures{Note: note}
	for _, name := range SectionNames() {
		f.addSection(name, reports)
	}
	return f, nil
}

// addSection adds the section from the reports that have it.
func (f *Figures) addSection(name string, reports []savedReport) {
	var newest *LatestSection
	runs := map[string][]Bound{}
	for _, r := range reports {
		for _, s := range r.Sections {
			if s.Name != name {
				continue
			}
			newest = newLatestSection(r, s)
			for _, b := range s.Bounds {
				runs[b.Name] = append(runs[b.Name], b)
			}
		}
	}
	if newest == nil {
		return
	}
	for i, s := range newest.Histories {
		newest.Histories[i].Runs = runs[s.Name]
	}
	f.Sections = append(f.Sections, *newest)
}

func newLatestSection(r savedReport, s savedSection) *LatestSection {
	f := &LatestSection{
		Name: s.Name, StartedAt: r.StartedAt.UTC().Truncate(time.Second), Version: r.Version, Seed: r.Seed, Cores: r.Cores,
		Description: s.Description, Columns: s.Columns, Rows: s.Rows,
	}
	if slices.Contains(sectionsWithData, s.Name) {
		f.Data = s.Data
	}
	for _, b := range s.Bounds {
		f.Histories = append(f.Histories, BoundHistory{Name: b.Name})
	}
	return f
}

// ReadFigures reads figures written by Save.
func ReadFigures(path string) (*Figures, error) {
	f := &Figures{}
	if err := readJSON(path, f); err != nil {
		return nil, err
	}
	return f, nil
}

// Save writes the figures to a JSON file, from which the pages can be generated
// again.
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

// findSection returns the section with a name, or an error if it was not measured.
func (f *Figures) findSection(name string) (LatestSection, error) {
	for _, s := range f.Sections {
		if s.Name == name {
			return s, nil
		}
	}
	return LatestSection{}, fmt.Errorf("section %q was not measured; run marigoldbench --only %s and name its report too", name, name)
}

// decodeData decodes the data of a section.
func (f *Figures) decodeData(name string, into any) error {
	s, err := f.findSection(name)
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
