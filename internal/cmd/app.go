// Package cmd is the operators' command line.
package cmd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/publsh"
	"github.com/marigoldscale/marigoldscale/internal/shard"
)

// Deps is what the commands need from the world.
type Deps struct {
	Version  string
	Out      io.Writer // results
	Err      io.Writer // progress and errors
	In       io.Reader // keys to hash
	Random   io.Reader // for keys and nonces
	User     string    // the operator, as recorded with each change
	Now      func() time.Time
	Sleep    func(context.Context, time.Duration) error
	HTTP     func(Settings) (*http.Client, error)
	Platform func(url string, h *http.Client) plat.Platform
	Bills    func(context.Context, plat.Platform) ([]shard.Bill, error)
}

// Flags are the commands and the flags that all of them share.
type Flags struct {
	Platform string           `help:"URL of the platform's object API." env:"MARIGOLD_PLATFORM" placeholder:"URL"`
	Admin    []string         `help:"URL of a router's admin address; repeat it for more." env:"MARIGOLD_ADMIN" placeholder:"URL"`
	Settings string           `help:"TOML file with platform, admin, ca, cert and key." env:"MARIGOLD_SETTINGS" placeholder:"FILE"`
	JSON     bool             `name:"json" help:"Print JSON for scripts."`
	Version  kong.VersionFlag `help:"Print the version and exit."`

	Check    Check    `cmd:"" help:"Check a tree of files, offline."`
	Publish  Publish  `cmd:"" help:"Put a tree of files in force."`
	Status   Status   `cmd:"" help:"Show routers, endpoints, zones and roll-outs."`
	Explain  Explain  `cmd:"" help:"Show what would run where for a team's request, and why."`
	Withdraw Withdraw `cmd:"" help:"Withdraw a version at once."`
	Rollout  Rollout  `cmd:"" help:"Start, pause, resume or abort a roll-out."`
	Zone     Zone     `cmd:"" help:"Take an availability zone out, or put it back."`
	Bills    Bills    `cmd:"" help:"Add up the bills in the journal."`
	Keys     Keys     `cmd:"" help:"Make and hash teams' API keys."`
	Trace    Trace    `cmd:"" help:"Show the course of one request from routers' logs."`
	Causes   Causes   `cmd:"" help:"Sum up from routers' logs why requests failed."`
}

// App runs commands.
type App struct {
	deps Deps
}

// New gives the command line with its dependencies.
func New(deps Deps) *App {
	return &App{deps: deps}
}

// Run runs one command and gives the exit code.
func (a *App) Run(ctx context.Context, args []string) (code int) {
	var flags Flags
	defer func() {
		if left, ok := recover().(exitRequest); ok {
			code = int(left)
		}
	}()
	parser, err := a.parser(&flags)
	if err != nil {
		return a.reportError(&flags, err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return a.reportError(&flags, badInput(err))
	}
	run, err := a.newRun(ctx, &flags)
	if err != nil {
		return a.reportError(&flags, err)
	}
	if err := parsed.Run(run); err != nil {
		return a.reportError(&flags, err)
	}
	return exitOK
}

// Parser gives the grammar of the command line, for the manual's generator.
func (a *App) Parser() (*kong.Kong, error) {
	return a.parser(&Flags{})
}

func (a *App) parser(flags *Flags) (*kong.Kong, error) {
	parser, err := kong.New(flags,
		kong.Name("marigoldscale"),
		kong.Description("Drives marigoldscale routers: checks, publishes and inspects their configuration."),
		kong.Vars{"version": a.deps.Version},
		kong.Writers(a.deps.Out, a.deps.Err),
		kong.Exit(func(code int) { panic(exitRequest(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, NoExpandSubcommands: true}),
	)
	if err != nil {
		return nil, fmt.Errorf("command line: %w", err)
	}
	return parser, nil
}

// exited carries the exit code of --help and --version out of the parser.
type exitRequest int

// Run is one command under way.
type Run struct {
	Deps
	ctx      context.Context
	flags    *Flags
	settings Settings
	http     *http.Client
}

func (a *App) newRun(ctx context.Context, flags *Flags) (*Run, error) {
	settings, err := loadSettings(flags)
	if err != nil {
		return nil, err
	}
	h, err := a.deps.HTTP(settings)
	if err != nil {
		return nil, badInput(err)
	}
	return &Run{Deps: a.deps, ctx: ctx, flags: flags, settings: settings, http: h}, nil
}

// platform gives the client of the platform, or says how to name it.
func (r *Run) platform() (plat.Platform, error) {
	if r.settings.Platform == "" {
		return nil, badInput(errors.New("no platform is named: use --platform, MARIGOLD_PLATFORM or platform in the settings file"))
	}
	return r.Platform(r.settings.Platform, r.http), nil
}

func (r *Run) publisher() (*publsh.Publisher, plat.Platform, error) {
	platform, err := r.platform()
	if err != nil {
		return nil, nil, err
	}
	return publsh.NewPublisher(platform, r.Now, r.Sleep), platform, nil
}
