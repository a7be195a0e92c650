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

type arguments struct {
	Out  string   `help:"Directory for the report." default:"out" type:"path"`
	Seed uint64   `help:"Seed of all that is drawn." default:"20261203"`
	Only []string `help:"Sections to measure: ${sections}. All if none is named." placeholder:"SECTION"`
}

func main() {
	var flags arguments
	kong.Parse(&flags,
		kong.Description("Measures marigoldscale; fails when a bound is crossed."),
		kong.Vars{"sections": strings.Join(bench.Names(), ", ")})
	report, err := bench.Run(bench.Options{
		Version: version,
		Seed:    flags.Seed,
		Only:    flags.Only,
		Dir:     flags.Out,
	}, show)
	if err != nil {
		fmt.Fprintf(os.Stderr, "marigoldbench: %v\n", err)
		os.Exit(exitFailed)
	}
	broken := report.Broken()
	fmt.Printf("\n%d bounds crossed, report in %s\n", len(broken), flags.Out)
	for _, b := range broken {
		fmt.Println(b)
	}
	if len(broken) > 0 {
		os.Exit(exitCrossed)
	}
}

func show(s bench.Section) {
	report := bench.Report{Sections: []bench.Section{s}}
	if err := report.Text(os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "marigoldbench: %v\n", err)
	}
}
