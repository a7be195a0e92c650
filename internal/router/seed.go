package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// seedInterval is the time between rounds of asking the peers named in the
// settings.
const seedInterval = time.Second

// seedLoop makes this router known to the peers that its settings name, until
// it knows another router. It needs no platform, so that a router can start
// while that is away.
func (r *Router) seedLoop(ctx context.Context) error {
	for ctx.Err() == nil && len(r.settings.Peers) > 0 {
		if v := r.view.Load(); v != nil && len(v.Routers) > 1 {
			return nil
		}
		for _, address := range r.settings.Peers {
			if address != r.self.Peer {
				r.contactSeed(ctx, address)
			}
		}
		sleep(ctx, seedInterval)
	}
	return nil
}

func (r *Router) contactSeed(ctx context.Context, address string) {
	asked := time.Now()
	reply, err := r.callHeartbeat(ctx, ctrl.SendHeartbeat{
		To:        fleet.Router{Peer: address},
		Heartbeat: ctrl.Heartbeat{Router: r.self},
	})
	if err != nil {
		r.log.Debug("asking peer of the settings", zap.String("address", address), zap.Error(err))
		return
	}
	r.postEvent(ctx, ctrl.HeartbeatAcked{
		Router:          decodeRouter(reply.Router),
		SentAt:          asked,
		Generation:      ident.Generation(reply.Generation),
		ConfirmationAge: decodeAge(reply.ConfirmedMillis),
	})
}
