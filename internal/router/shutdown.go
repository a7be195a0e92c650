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
	// lingerTime is how long a stopping router still answers new requests with
	// a refusal, until its balancer has seen that it is not ready.
	shutdownDelay = time.Second
	// flushTimeout bounds the wait for the journal to become durable.
	flushTimeout = 20 * time.Second
)

// drain takes no new work, lets every request in progress end, and flushes the
// journal.
func (r *Router) drain(callers *http.Server) {
	r.log.Info("router is stopping", zap.Int("open", r.server.Open()))
	r.submitEvent(ctrl.Stop{})
	time.Sleep(shutdownDelay)
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.Times.Drain)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		r.log.Warn("requests were still in progress at the end of the drain time", zap.Int("open", r.server.Open()), zap.Error(err))
	}
	r.awaitRequests(ctx)
	flush, stop := context.WithTimeout(context.Background(), flushTimeout)
	defer stop()
	if err := r.journal.Flush(flush); err != nil {
		r.log.Error("journal was not flushed", zap.Int("pending", len(r.journal.Pending())), zap.Error(err))
		if err := r.copies.sync(context.Background()); err != nil {
			r.log.Error("pending records have no copies", zap.Error(err))
		}
	}
	r.log.Info("router stopped")
}

// awaitRuns waits for runs that outlive their caller's answer.
func (r *Router) awaitRequests(ctx context.Context) {
	const pause = 20 * time.Millisecond
	for r.server.Open() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

func (r *Router) closeTracer() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := r.tracer.Close(ctx); err != nil {
		r.log.Warn("closing spans", zap.Error(err))
	}
}

// closed drops the error by which a server tells that it was closed.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}
