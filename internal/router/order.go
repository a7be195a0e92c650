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

// orderLoad is the kind of an order to load a release.
const orderLoad = "load"

// sendOrder orders an endpoint to load a release, unless the zone's lease may have
// expired.
func (r *Router) sendOrder(ctx context.Context, a ctrl.SendOrder) {
	result := fence.CommandResult{Endpoint: a.Endpoint.ID, Term: a.Send.Term, Result: fence.ResultUnknown}
	if time.Now().Before(a.Send.Before) {
		call, cancel := context.WithTimeout(ctx, a.Send.Timeout)
		defer cancel()
		err := r.engine.SendCommand(call, a.Endpoint.Address, engine.Command{
			Kind:    orderLoad,
			Release: a.Send.State.Release,
			Role:    a.Send.State.Role,
			Term:   a.Send.Term,
		})
		r.log.Info("ordered endpoint to load its release",
			zap.String("endpoint", string(a.Endpoint.ID)),
			zap.String("release", a.Send.State.Release.String()),
			zap.Uint64("fence", uint64(a.Send.Term)),
			zap.Error(err))
		result.Result = orderResult(err)
	}
	r.postEvent(ctx, ctrl.OrderResult{Endpoint: a.Endpoint.ID, Event: result})
}

func orderResult(err error) fence.Result {
	switch {
	case err == nil:
		return fence.ResultAccepted
	case errors.Is(err, engine.ErrFenced):
		return fence.ResultFenced
	default:
		return fence.ResultUnknown
	}
}

// readOrder reads the last order that an endpoint has accepted.
func (r *Router) readOrder(ctx context.Context, a ctrl.ReadOrder) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	order, err := r.engine.FetchCommand(call, a.Endpoint.Address)
	if err != nil {
		return // the control thread requests the read again at its own interval
	}
	r.postEvent(ctx, ctrl.OrderResult{Endpoint: a.Endpoint.ID, Event: fence.Observed{
		Endpoint: a.Endpoint.ID,
		State:    fence.State{Release: order.Release, Loaded: order.Kind == orderLoad, Role: order.Role},
		Term:     order.Term,
	}})
}
