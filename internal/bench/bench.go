package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"
)

// Options configures a run.
type Options struct {
	Version string
	Seed    uint64
	Only    []string // names of the sections to run, empty for all
	Dir     string   // directory for the report, its page and the plots
}

// measurement produces one section of the report.
type measurement struct {
	name string
	run  func(seed uint64) (Section, error)
}

func measurements() []measurement {
	return []measurement{
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

// SectionNames returns the names of all sections.
func SectionNames() []string {
	var names []string
	for _, m := range measurements() {
		names = append(names, m.name)
	}
	return names
}

// Run runs the selected measurements, calls progress after each, and writes the
// report to options.Dir as JSON and as Markdown with plots.
func Run(options Options, progress func(Section)) (*Report, error) {
	report := &Report{Version: options.Version, Seed: options.Seed, StartedAt: time.Now(), Cores: runtime.NumCPU()}
	for _, m := range measurements() {
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
	report.Elapsed = time.Since(report.StartedAt).Round(time.Second).String()
	if err := report.save(options.Dir); err != nil {
		return nil, err
	}
	return report, nil
}

const dirMode, fileMode = 0o755, 0o644

func (r *Report) save(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return fmt.Errorf("creating directory of report: %w", err)
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
		return fmt.Errorf("creating report: %w", err)
	}
	defer text.Close()
	if err := r.JSON(text); err != nil {
		return err
	}
	page, err := os.OpenFile(filepath.Join(dir, "report.md"), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("creating page of report: %w", err)
	}
	defer page.Close()
	return r.Markdown(page)
}
