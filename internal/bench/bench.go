package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"
)

// Options say what to measure.
type Options struct {
	Version string
	Seed    uint64
	Only    []string // names of sections; empty for all
	Dir     string   // for the report, its page and plots
}

// measure is one section's measurement.
type measure struct {
	name string
	run  func(seed uint64) (Section, error)
}

func measures() []measure {
	return []measure{
		{"route", benchRoute},
		{"rollout", benchRollout},
		{"cascade", benchCascade},
		{"control", benchControl},
		{"publish", benchPublish},
		{"calls", benchCalls},
		{"overhead", benchOverhead},
		{"streams", benchStreams},
		{"zone", benchZone},
		{"crash", benchCrash},
		{"poll", benchPoll},
		{"journal", benchJournal},
		{"gossip", benchGossip},
		{"admit", benchAdmit},
	}
}

// Names gives the names of all sections.
func Names() []string {
	var names []string
	for _, m := range measures() {
		names = append(names, m.name)
	}
	return names
}

// Run measures, tells of each section when it is done, and writes the report
// into the directory as JSON, as a page and with plots.
func Run(options Options, progress func(Section)) (*Report, error) {
	report := &Report{Version: options.Version, Seed: options.Seed, At: time.Now(), Cores: runtime.NumCPU()}
	for _, m := range measures() {
		if len(options.Only) > 0 && !slices.Contains(options.Only, m.name) {
			continue
		}
		section, err := m.run(options.Seed)
		if err != nil {
			return nil, fmt.Errorf("measuring %s: %w", m.name, err)
		}
		report.Sections = append(report.Sections, section)
		progress(section)
	}
	report.Took = time.Since(report.At).Round(time.Second).String()
	if err := report.save(options.Dir); err != nil {
		return nil, err
	}
	return report, nil
}

const dirMode, fileMode = 0o755, 0o644

func (r *Report) save(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return fmt.Errorf("making report's directory: %w", err)
	}
	for _, s := range r.Sections {
		for _, p := range s.Plots {
			if err := p.Draw(dir); err != nil {
				return err
			}
		}
	}
	return r.saveFiles(dir)
}

func (r *Report) saveFiles(dir string) error {
	text, err := os.OpenFile(filepath.Join(dir, "report.json"), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("making report: %w", err)
	}
	defer text.Close()
	if err := r.JSON(text); err != nil {
		return err
	}
	page, err := os.OpenFile(filepath.Join(dir, "report.md"), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("making report's page: %w", err)
	}
	defer page.Close()
	return r.Markdown(page)
}
