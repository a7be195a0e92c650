// Marigoldstand runs simulators of the platform, model engines, plain services
// and the rater for tests, and a load generator.
package main

import (
	"github.com/alecthomas/kong"
)

var version = "dev"

type commands struct {
	Platform platformCommand  `cmd:"" help:"Run a platform simulator: versioned objects and the list of instances."`
	Engine   engineCommand    `cmd:"" help:"Run a model engine simulator."`
	Plain    plainCommand     `cmd:"" help:"Run a plain service simulator that records what it executes."`
	Rater    raterCommand     `cmd:"" help:"Run a simulator of the service that rates answers."`
	Load     loadCommand      `cmd:"" help:"Send chat requests at a rate and print the latencies as JSON."`
	Ports    portsCommand     `cmd:"" help:"Print free loopback ports, one a line."`
	Version  kong.VersionFlag `help:"Print the version."`
}

func main() {
	var c commands
	parsed := kong.Parse(&c,
		kong.Name("marigoldstand"),
		kong.Description("Simulators of the services that marigoldscaled calls. Faults: PUT /admin/faults; records: GET /admin/runs."),
		kong.Vars{"version": version},
	)
	parsed.FatalIfErrorf(parsed.Run())
}
