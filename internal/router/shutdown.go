package router

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
)

const (
	// shutdownDelay is the time for which a stopping router still replies to new
	// requests with a refusal, until its load balancer has seen that it is not ready.
	shutdownDelay = time.Second
	// flushTimeout limits the wait for pending journal records to become durable.
	flushTimeout = 20 * time.Second
)

// drain refuses new work, waits for requests in progress and flushes the journal.
// shutDown closes the callers' connections as they become idle.
func (r *Router) drain(shutDown func(context.Context) error) {
	r.log.Info("router is stopping", zap.Int("open", r.server.InProgress()))
	r.submitEvent(ctrl.Stop{})
	time.Sleep(shutdownDelay)
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.Times.Drain)
	defer cancel()
	if err := shutDown(ctx); err != nil {
		r.log.Warn("requests were still in progress at the end of the drain time", zap.Int("open", r.server.InProgress()), zap.Error(err))
	}
	r.awaitRequests(ctx)
	flushCtx, cancelFlush := context.WithTimeout(context.Background(), flushTimeout)
	defer cancelFlush()
	if err := r.journal.Flush(flushCtx); err != nil {
		r.log.Error("flushing the journal failed", zap.Int("pending", len(r.journal.Pending())), zap.Error(err))
		if err := r.copies.sync(context.Background()); err != nil {
			r.log.Error("copying pending records to peers failed", zap.Error(err))
		}
	}
	r.log.Info("router stopped")
}

// awaitRequests waits for requests that continue after the reply to the caller.
func (r *Router) awaitRequests(ctx context.Context) {
	const pollInterval = 20 * time.Millisecond
	for r.server.InProgress() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
}

func (r *Router) closeTracer() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := r.tracer.Close(ctx); err != nil {
		r.log.Warn("closing tracer", zap.Error(err))
	}
}

// ignoreClosed returns nil for errors that report an orderly server shutdown.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}
