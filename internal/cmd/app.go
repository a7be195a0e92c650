// Package cmd implements the operators' command line.
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

// Deps holds the dependencies of the commands, which tests replace.
type Deps struct {
	Version  string
	Out      io.Writer // results
	Err      io.Writer // progress and errors
	In       io.Reader // keys to hash, or logs
	Random   io.Reader // for keys and nonces
	User     string    // operator recorded with each change
	Now      func() time.Time
	Sleep    func(context.Context, time.Duration) error
	HTTP     func(Settings) (*http.Client, error)
	Platform func(url string, h *http.Client) plat.Platform
	Bills    func(context.Context, plat.Platform) ([]shard.Bill, error)
}

// Flags holds the commands and their common flags.
type Flags struct {
	Platform string           `help:"URL of the platform's object API." env:"MARIGOLD_PLATFORM" placeholder:"URL"`
	Admin    []string         `help:"URL of a router's admin address; repeat for more." env:"MARIGOLD_ADMIN" placeholder:"URL"`
	Settings string           `help:"TOML file with platform, admin, ca, cert and key." env:"MARIGOLD_SETTINGS" placeholder:"FILE"`
	JSON     bool             `name:"json" help:"Print JSON for scripts."`
	Version  kong.VersionFlag `help:"Print the version and exit."`

	Check    Check    `cmd:"" help:"Check a tree of configuration files, offline."`
	Publish  Publish  `cmd:"" help:"Publish a tree of configuration files."`
	Status   Status   `cmd:"" help:"Show routers, endpoints, zones and roll-outs."`
	Explain  Explain  `cmd:"" help:"Show how a team's request would be routed, and why."`
	Withdraw Withdraw `cmd:"" help:"Withdraw a version immediately."`
	Rollout  Rollout  `cmd:"" help:"Start, pause, resume or abort a roll-out."`
	Zone     Zone     `cmd:"" help:"Take an availability zone out of service, or return it."`
	Bills    Bills    `cmd:"" help:"Sum the bills in the journal."`
	Keys     Keys     `cmd:"" help:"Generate and hash teams' API keys."`
	Trace    Trace    `cmd:"" help:"Show the events of one request from routers' logs."`
	Causes   Causes   `cmd:"" help:"Count the causes of failed requests in routers' logs."`
}

// App is the command line application.
type App struct {
	deps Deps
}

// New returns the command line with the given dependencies.
func New(deps Deps) *App {
	return &App{deps: deps}
}

// Run runs one command and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) (code int) {
	var flags Flags
	defer func() {
		if request, ok := recover().(exitRequest); ok {
			code = int(request)
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

// Parser returns the parser of the command line, for the manual page.
func (a *App) Parser() (*kong.Kong, error) {
	return a.parser(&Flags{})
}

func (a *App) parser(flags *Flags) (*kong.Kong, error) {
	parser, err := kong.New(flags,
		kong.Name("marigoldscale"),
		kong.Description("Checks, publishes and inspects the configuration of marigoldscale routers."),
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

// exitRequest is the exit code that the parser panics with on --help and
// --version, since kong expects its exit function not to return.
type exitRequest int

// Run holds the context, settings and dependencies of one command.
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

// platform returns the client of the platform, or an error if no platform is
// configured.
func (r *Run) platform() (plat.Platform, error) {
	if r.settings.Platform == "" {
		return nil, badInput(errors.New("no platform given: use --platform, MARIGOLD_PLATFORM or platform in the settings file"))
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
