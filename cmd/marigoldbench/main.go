// Marigoldbench runs the benchmarks of marigoldscale and compares the results
// with baselines and bounds.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/marigoldscale/marigoldscale/internal/bench"
)

var version = "dev"

// The exit codes of a failed run and of a run that exceeds a bound.
const (
	exitFailed        = 1
	exitBoundExceeded = 3
)

const pageMode = 0o644

type arguments struct {
	Run      runCommand      `cmd:"" default:"withargs" help:"Run the benchmarks; fail if a bound is exceeded."`
	Capacity capacityCommand `cmd:"" help:"Write the pages on capacity and measures from reports."`
}

type runCommand struct {
	Out  string   `help:"Directory for the report." default:"out" type:"path"`
	Seed uint64   `help:"Seed of the random numbers." default:"20261203"`
	Only []string `help:"Sections to run: ${sections}. All if none is given." placeholder:"SECTION"`
}

type capacityCommand struct {
	Report   []string `help:"Reports of one or more runs." default:"out/report.json" type:"path"`
	Note     string   `help:"Circumstances of the runs, put on the pages." default:""`
	Slopes   string   `help:"File of figures from which the pages can be computed again." default:"docs/figures/slopes.json" type:"path"`
	Page     string   `help:"Capacity page." default:"docs/CAPACITY.md" type:"path"`
	Measures string   `help:"Page of the required measures." default:"docs/MEASURES.md" type:"path"`
}

func main() {
	var flags arguments
	command := kong.Parse(&flags,
		kong.Description("Runs the benchmarks of marigoldscale; fails if a bound is exceeded."),
		kong.Vars{"sections": strings.Join(bench.Names(), ", ")})
	if err := command.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "marigoldbench: %v\n", err)
		os.Exit(exitFailed)
	}
}

// Run runs the benchmarks and exits with exitBoundExceeded if a bound is exceeded.
func (r *runCommand) Run() error {
	report, err := bench.Run(bench.Options{
		Version: version,
		Seed:    r.Seed,
		Only:    r.Only,
		Dir:     r.Out,
	}, printSection)
	if err != nil {
		return fmt.Errorf("running benchmarks: %w", err)
	}
	exceeded := report.Broken()
	fmt.Printf("\n%d bounds exceeded, report in %s\n", len(exceeded), r.Out)
	for _, b := range exceeded {
		fmt.Println(b)
	}
	if len(exceeded) > 0 {
		os.Exit(exitBoundExceeded)
	}
	return nil
}

// Run writes the pages and the file of figures.
func (c *capacityCommand) Run() error {
	figures, err := bench.NewFigures(c.Report, c.Note)
	if err != nil {
		return fmt.Errorf("reading reports: %w", err)
	}
	pages := map[string]string{bench.PageCapacity: c.Page, bench.PageMeasures: c.Measures}
	for name, path := range pages {
		text, err := figures.Page(name)
		if err != nil {
			return fmt.Errorf("rendering page %q: %w", path, err)
		}
		if err := os.WriteFile(path, text, pageMode); err != nil {
			return fmt.Errorf("writing page: %w", err)
		}
	}
	return figures.Save(c.Slopes)
}

func printSection(s bench.Section) {
	report := bench.Report{Sections: []bench.Section{s}}
	if err := report.Text(os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "marigoldbench: %v\n", err)
	}
}
