package cmd

import (
	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/publsh"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Rollout changes the roll-out of a model.
type Rollout struct {
	Start  RolloutStart  `cmd:"" help:"Start the roll-out of a version."`
	Pause  RolloutPause  `cmd:"" help:"Keep a roll-out at its current step."`
	Resume RolloutResume `cmd:"" help:"Continue a paused or aborted roll-out."`
	Abort  RolloutAbort  `cmd:"" help:"Send no new sessions to the new version."`
}

// Help returns the detailed help with examples.
func (Rollout) Help() string {
	return `Each command changes the overlay file operator/overlay.toml of the published
configuration. The operators' own files need no edit.

Examples:
  marigoldscale rollout start condor@v4
  marigoldscale rollout pause condor
  marigoldscale rollout resume condor
  marigoldscale rollout abort condor`
}

// RolloutStart starts a roll-out with the steps of the model's rollout table, or
// the default steps if it has none.
type RolloutStart struct {
	Release string `arg:"" help:"Version to roll out, as model@version."`
	WaitFlag
}

// Run starts the roll-out.
func (c *RolloutStart) Run(r *Run) error {
	release, err := ident.ParseRelease(c.Release)
	if err != nil {
		return badInput(err)
	}
	settings := []config.Setting{config.StartRollout(release), config.SetHold(release.Model, config.HoldNone)}
	return r.publishAndPrint(publsh.Edit{Settings: settings}, 0, c.WaitFlag)
}

// RolloutPause pauses a roll-out.
type RolloutPause struct {
	RolloutArg
}

// Run pauses the roll-out.
func (c *RolloutPause) Run(r *Run) error {
	return c.setHold(r, config.HoldPaused)
}

// RolloutResume resumes a roll-out.
type RolloutResume struct {
	RolloutArg
}

// Run resumes the roll-out.
func (c *RolloutResume) Run(r *Run) error {
	return c.setHold(r, config.HoldNone)
}

// RolloutAbort aborts a roll-out.
type RolloutAbort struct {
	RolloutArg
}

// Run aborts the roll-out.
func (c *RolloutAbort) Run(r *Run) error {
	return c.setHold(r, config.HoldAborted)
}

// RolloutArg is the model argument that the pause, resume and abort commands
// share.
type RolloutArg struct {
	Model string `arg:"" help:"Model of the roll-out."`
	WaitFlag
}

func (a RolloutArg) setHold(r *Run, state string) error {
	setting := config.SetHold(ident.ModelID(a.Model), state)
	return r.publishAndPrint(publsh.Edit{Settings: []config.Setting{setting}}, 0, a.WaitFlag)
}
