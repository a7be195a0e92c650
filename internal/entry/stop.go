package entry

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/inlet"
)

const (
	// drainDelay is how long after the stop signal a request may still be taken: the
	// load balancer probes every second and needs two failures.
	drainDelay = 3 * time.Second
	// signalMargin is taken off drainDelay, since a busy router handles the signal late:
	// 16 ms late in a test, and by up to two periods of 100 ms if its processor share is
	// used up. No request that is sent after drainDelay is then begun and broken off.
	signalMargin = 200 * time.Millisecond
	// shutdownMargin is the part of the grace period reserved for work after the
	// callers' connections are closed.
	shutdownMargin = 700 * time.Millisecond
	// shutdownMarginDivisor bounds shutdownMargin to a part of the grace period: one in so
	// many, so that requests are broken off only in its last sixth.
	shutdownMarginDivisor = 8
)

// stopTimes returns when a router that begins to stop at the given time takes the last
// request, and when it breaks off those that are left.
func stopTimes(now time.Time, grace time.Duration) (lastRequest, breakOff time.Time) {
	margin := min(shutdownMargin, grace/shutdownMarginDivisor)
	return now.Add(min(drainDelay-signalMargin, grace/2)), now.Add(grace - margin)
}

// shutDown fails readiness, waits until the load balancer has moved callers away,
// and then waits within the grace period for requests in progress to complete.
// Requests that begin later are refused, as not run.
func (r *Router) shutDown(grace time.Duration) {
	started := r.clock()
	last, breakOff := stopTimes(started, grace)
	var traffic []*inlet.Listener
	for _, x := range r.listeners {
		if x.traffic {
			x.listener.StopAt(last)
			traffic = append(traffic, x.listener)
		}
	}
	r.stopping.Store(true)
	r.server.Drain()
	r.log.Info("stopping", zap.Int64("running", r.server.ActiveRequests()), zap.Duration("grace", grace))
	time.Sleep(last.Sub(r.clock()))
	ctx, cancel := context.WithDeadline(context.Background(), breakOff)
	defer cancel()
	if err := shutDownAll(ctx, traffic); err != nil {
		r.log.Warn("stopped with requests in progress", zap.Int64("running", r.server.ActiveRequests()), zap.Error(err))
		return
	}
	r.log.Info("stopped", zap.Duration("took", r.clock().Sub(started)))
}

// shutDownAll shuts listeners down at the same time, and returns the first error.
func shutDownAll(ctx context.Context, listeners []*inlet.Listener) error {
	results := make(chan error, len(listeners))
	for _, l := range listeners {
		go func() { results <- l.Shutdown(ctx) }()
	}
	var first error
	for range listeners {
		if err := <-results; err != nil && first == nil {
			first = fmt.Errorf("shut a listener down: %w", err)
		}
	}
	return first
}
