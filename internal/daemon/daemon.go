// Package daemon implements the command line of the router daemon.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/logs"
	"github.com/marigoldscale/marigoldscale/internal/router"
	"github.com/marigoldscale/marigoldscale/internal/setup"
)

// The exit codes of the daemon.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// arguments are the daemon's commands and flags.
type arguments struct {
	Serve   serveCommand     `cmd:"" default:"withargs" help:"Route between callers and model engines (default)."`
	Relay   relayCommand     `cmd:"" help:"Route pass-through requests on a platform that is a store of objects."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

// serveCommand runs a router that serves the callers' API itself.
type serveCommand struct {
	Config string `required:"" help:"Settings file, in TOML." type:"path"`
	Check  bool   `help:"Check the settings and exit."`
}

// Main runs the daemon until it receives SIGTERM or SIGINT, and returns its exit
// code.
func Main(version string, args []string) int {
	var flags arguments
	parser, err := kong.New(&flags,
		kong.Name("marigoldscaled"),
		kong.Description("Routes requests between callers and model engines."),
		kong.Vars{"version": version})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "marigoldscaled: %v\n", err)
		return exitSettings
	}
	if parsed.Command() == "relay" {
		return flags.Relay.run()
	}
	return flags.Serve.run()
}

// run runs the router until it receives SIGTERM or SIGINT, and returns the exit
// code.
func (c serveCommand) run() int {
	settings, err := setup.Load(c.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if c.Check {
		return exitOK
	}
	return run(settings)
}

func run(settings setup.Settings) int {
	log, err := logs.New(settings.Log.Level)
	if err != nil {
		fmt.Fprintf(os.Stderr, "marigoldscaled: %v\n", err)
		return exitSettings
	}
	if settings.Limits.Memory > 0 {
		limitHeap(settings.Limits.Memory)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	r, err := router.New(ctx, settings, log)
	if err != nil {
		log.Error("router does not start", zap.Error(err))
		return exitFailed
	}
	if err := r.Run(ctx); err != nil {
		log.Error("router failed", zap.Error(err))
		return exitFailed
	}
	return exitOK
}
