package cmd

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/publsh"
	"github.com/marigoldscale/marigoldscale/internal/status"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Withdraw withdraws a version.
type Withdraw struct {
	Release string `arg:"" help:"Version to withdraw, as model@version."`
	Reason  string `required:"" help:"Reason, recorded with the withdrawal."`
	Default string `help:"New default version of the model; required if the default version is withdrawn." placeholder:"VERSION"`
	WaitFlag
}

// withdrawResult is the JSON result of Withdraw.
type withdrawResult struct {
	Release   ident.Release    `json:"release"`
	Routers   []ident.RouterID `json:"routers"` // that stopped using the release before the publication
	Published *publishResult   `json:"published"`
}

// Help returns the detailed help with examples.
func (Withdraw) Help() string {
	return `Notifies the routers first, which takes effect immediately and works without the
platform, and then records the withdrawal in the configuration. A withdrawal is
permanent unless publish --restore allows the configuration to use the version
again.

Examples:
  marigoldscale withdraw condor@v4 --reason "loses credits in statements"
  marigoldscale withdraw condor@v3 --reason "wrong totals" --default v2`
}

// Run withdraws the version at the routers and then in the configuration.
func (c *Withdraw) Run(r *Run) error {
	release, err := ident.ParseRelease(c.Release)
	if err != nil {
		return badInput(err)
	}
	result := withdrawResult{Release: release, Routers: r.withdrawAtRouters(release, c.Reason)}
	settings := []config.Setting{config.WithdrawRelease(release, c.Reason)}
	if c.Default != "" {
		to := ident.Release{Model: release.Model, Version: ident.VersionID(c.Default)}
		settings = append(settings, config.SetDefault(to))
	}
	published, err := r.publishChange(publsh.Edit{Settings: settings}, 0, c.WaitFlag)
	if err != nil {
		return c.wrapError(result, err)
	}
	result.Published = &published
	if r.flags.JSON {
		return r.printJSON(result)
	}
	fmt.Fprintf(r.Out, "%s is withdrawn\n", release)
	return nil
}

// withdrawAtRouters sends the withdrawal to the first router that responds, which
// forwards it, and returns the routers that have applied it.
func (r *Run) withdrawAtRouters(release ident.Release, reason string) []ident.RouterID {
	request := status.WithdrawRequest{Release: release, Reason: reason, By: r.User}
	var reply status.WithdrawReply
	if err := r.callAny(http.MethodPost, "/v1/withdraw", request, &reply); err != nil {
		r.progressf("no router accepted the withdrawal directly: %v", err)
		return nil
	}
	r.progressf("%d routers have stopped using %s", len(reply.Routers), release)
	return reply.Routers
}

// wrapError adds to the error of a failed publication which routers have already
// withdrawn the version, and how to go on.
func (c *Withdraw) wrapError(result withdrawResult, err error) error {
	var invalid *publsh.InvalidError
	if errors.As(err, &invalid) && c.Default == "" {
		err = fmt.Errorf("%w\nif %s is its model's default, name another by --default", err, result.Release)
	}
	if len(result.Routers) > 0 {
		return fmt.Errorf("%d routers have withdrawn %s, but the configuration does not record it; run the command again: %w",
			len(result.Routers), result.Release, err)
	}
	return err
}
