package router

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fence"
)

// commandLoad is the kind of a command to load a release.
const commandLoad = "load"

// sendCommand commands an endpoint to load a release, unless the zone's lease may
// have expired.
func (r *Router) sendCommand(ctx context.Context, a ctrl.SendCommand) {
	result := fence.CommandResult{Endpoint: a.Endpoint.ID, Term: a.Command.Term, Result: fence.ResultUnknown}
	if time.Now().Before(a.Command.Before) {
		call, cancel := context.WithTimeout(ctx, a.Command.Timeout)
		defer cancel()
		err := r.engine.SendCommand(call, a.Endpoint.Address, engine.Command{
			Kind:    commandLoad,
			Release: a.Command.State.Release,
			Role:    a.Command.State.Role,
			Term:    a.Command.Term,
		})
		r.log.Info("ordered endpoint to load its release",
			zap.String("endpoint", string(a.Endpoint.ID)),
			zap.String("release", a.Command.State.Release.String()),
			zap.Uint64("fence", uint64(a.Command.Term)),
			zap.Error(err))
		result.Result = commandResult(err)
	}
	r.postEvent(ctx, ctrl.CommandResult{Endpoint: a.Endpoint.ID, Event: result})
}

func commandResult(err error) fence.Result {
	switch {
	case err == nil:
		return fence.ResultAccepted
	case errors.Is(err, engine.ErrFenced):
		return fence.ResultFenced
	default:
		return fence.ResultUnknown
	}
}

// readCommand reads the last command that an endpoint has accepted.
func (r *Router) readCommand(ctx context.Context, a ctrl.ReadCommand) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	command, err := r.engine.FetchCommand(call, a.Endpoint.Address)
	if err != nil {
		return // the control thread requests the read again at its own interval
	}
	r.postEvent(ctx, ctrl.CommandResult{Endpoint: a.Endpoint.ID, Event: fence.Observed{
		Endpoint: a.Endpoint.ID,
		State:    fence.State{Release: command.Release, Loaded: command.Kind == commandLoad, Role: command.Role},
		Term:     command.Term,
	}})
}
