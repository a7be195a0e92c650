package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// seedInterval is the interval between attempts to contact the seed peers of the
// settings.
const seedInterval = time.Second

// seedLoop sends heartbeats to the seed peers of the settings until this router
// knows another router. It does not use the platform, so that a router can start
// during a platform outage.
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
	sentAt := time.Now()
	reply, err := r.callHeartbeat(ctx, ctrl.SendHeartbeat{
		To:        fleet.Router{Peer: address},
		Heartbeat: ctrl.Heartbeat{Router: r.self},
	})
	if err != nil {
		r.log.Debug("contacting seed peer", zap.String("address", address), zap.Error(err))
		return
	}
	r.postEvent(ctx, ctrl.HeartbeatAcked{
		Router:          decodeRouter(reply.Router),
		SentAt:          sentAt,
		Generation:      ident.Generation(reply.Generation),
		ConfirmationAge: decodeAge(reply.ConfirmedMillis),
	})
}
