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
	Reason  string `required:"" help:"Why, for the record."`
	Default string `help:"Version that becomes the model's default; needed if the default is withdrawn." placeholder:"VERSION"`
	WaitFlag
}

// withdrawal is the result of Withdraw.
type withdrawal struct {
	Release   ident.Release    `json:"release"`
	Routers   []ident.RouterID `json:"routers"` // that stopped using it before it was published
	Published *published       `json:"published"`
}

// Help shows examples.
func (Withdraw) Help() string {
	return `Tells the routers first, which needs no platform and takes effect at once, and
then records the withdrawal in the configuration. A withdrawn version stays so:
only publish --restore lets the configuration use it again.

Examples:
  marigoldscale withdraw condor@v4 --reason "loses credits in statements"
  marigoldscale withdraw condor@v3 --reason "wrong totals" --default v2`
}

// Run withdraws the version.
func (c *Withdraw) Run(r *Run) error {
	release, err := ident.ParseRelease(c.Release)
	if err != nil {
		return badInput(err)
	}
	result := withdrawal{Release: release, Routers: r.tellRouters(release, c.Reason)}
	settings := []config.Setting{config.WithdrawRelease(release, c.Reason)}
	if c.Default != "" {
		to := ident.Release{Model: release.Model, Version: ident.VersionID(c.Default)}
		settings = append(settings, config.SetDefault(to))
	}
	done, err := r.force(publsh.Edit{Settings: settings}, 0, c.WaitFlag)
	if err != nil {
		return c.explain(result, err)
	}
	result.Published = &done
	if r.flags.JSON {
		return r.printJSON(result)
	}
	fmt.Fprintf(r.Out, "%s is withdrawn\n", release)
	return nil
}

// tellRouters spreads the withdrawal through any router that answers.
func (r *Run) tellRouters(release ident.Release, reason string) []ident.RouterID {
	request := status.WithdrawRequest{Release: release, Reason: reason, By: r.User}
	var reply status.WithdrawReply
	if err := r.askAny(http.MethodPost, "/v1/withdraw", request, &reply); err != nil {
		r.note("no router took the withdrawal directly: %v", err)
		return nil
	}
	r.note("%d routers have stopped using %s", len(reply.Routers), release)
	return reply.Routers
}

// explain says how far a withdrawal got that was not published.
func (c *Withdraw) explain(w withdrawal, err error) error {
	var refused *publsh.InvalidError
	if errors.As(err, &refused) && c.Default == "" {
		err = fmt.Errorf("%w\nif %s is its model's default, name another by --default", err, w.Release)
	}
	if len(w.Routers) > 0 {
		return fmt.Errorf("%d routers have withdrawn %s, but the configuration does not record it; run the command again: %w",
			len(w.Routers), w.Release, err)
	}
	return err
}
