// Marigoldbench measures marigoldscale against its baselines and bounds.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/marigoldscale/marigoldscale/internal/bench"
)

var version = "dev"

// The exit codes.
const (
	exitFailed  = 1
	exitCrossed = 3
)

const pageMode = 0o644

type arguments struct {
	Run      runCommand      `cmd:"" default:"withargs" help:"Measure, and fail when a bound is crossed."`
	Capacity capacityCommand `cmd:"" help:"Write the capacity and measures pages from reports."`
}

type runCommand struct {
	Out  string   `help:"Directory for the report." default:"out" type:"path"`
	Seed uint64   `help:"Seed of all that is drawn." default:"20261203"`
	Only []string `help:"Sections to measure: ${sections}. All if none is named." placeholder:"SECTION"`
}

type capacityCommand struct {
	Report   []string `help:"Reports of one or more runs." default:"out/report.json" type:"path"`
	Note     string   `help:"Circumstances of the runs, put on the pages." default:""`
	Slopes   string   `help:"Copy of the figures, for the pages to be recomputed from." default:"docs/figures/slopes.json" type:"path"`
	Page     string   `help:"Capacity page." default:"docs/CAPACITY.md" type:"path"`
	Measures string   `help:"Page of the brief's measures." default:"docs/MEASURES.md" type:"path"`
}

func main() {
	var flags arguments
	command := kong.Parse(&flags,
		kong.Description("Measures marigoldscale; fails when a bound is crossed."),
		kong.Vars{"sections": strings.Join(bench.SectionNames(), ", ")})
	if err := command.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "marigoldbench: %v\n", err)
		os.Exit(exitFailed)
	}
}

// Run measures.
func (r *runCommand) Run() error {
	report, err := bench.Run(bench.Options{
		Version: version,
		Seed:    r.Seed,
		Only:    r.Only,
		Dir:     r.Out,
	}, show)
	if err != nil {
		return fmt.Errorf("running bench: %w", err)
	}
	broken := report.CrossedBounds()
	fmt.Printf("\n%d bounds crossed, report in %s\n", len(broken), r.Out)
	for _, b := range broken {
		fmt.Println(b)
	}
	if len(broken) > 0 {
		os.Exit(exitCrossed)
	}
	return nil
}

// Run writes the pages.
func (c *capacityCommand) Run() error {
	figures, err := bench.NewFigures(c.Report, c.Note)
	if err != nil {
		return fmt.Errorf("reading reports: %w", err)
	}
	pages := map[string]string{bench.PageCapacity: c.Page, bench.PageMeasures: c.Measures}
	for name, path := range pages {
		text, err := figures.Page(name)
		if err != nil {
			return fmt.Errorf("making page %q: %w", path, err)
		}
		if err := os.WriteFile(path, text, pageMode); err != nil {
			return fmt.Errorf("writing page: %w", err)
		}
	}
	return figures.Save(c.Slopes)
}

func show(s bench.Section) {
	report := bench.Report{Sections: []bench.Section{s}}
	if err := report.Text(os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "marigoldbench: %v\n", err)
	}
}
