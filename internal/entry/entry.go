// Package entry runs a router of pass-through routes as a process: listeners,
// readiness, reload and graceful shutdown.
package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/inlet"
	"github.com/marigoldscale/marigoldscale/internal/logs"
	"github.com/marigoldscale/marigoldscale/internal/metric"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/relay"
	"github.com/marigoldscale/marigoldscale/internal/retry"
	"github.com/marigoldscale/marigoldscale/internal/setup"
	"github.com/marigoldscale/marigoldscale/internal/strict"
	"github.com/marigoldscale/marigoldscale/internal/syncer"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// headerTimeout bounds the time to read a request's header, independently of
	// the configured limits.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the time that a caller's connection is idle.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request's header, independently of the configured
	// limits.
	maxHeaderBytes = 1 << 20
	// sweepInterval is the time between two removals of expired state.
	sweepInterval = time.Second
	// responseMemoryDivisor is the part of the router's memory that responses may use
	// together: one in so many.
	responseMemoryDivisor = 4
	// logFlushTimeout bounds the writing of the last log lines.
	logFlushTimeout = 200 * time.Millisecond
)

// Adapters translate between one platform's protocol and the router.
type Adapters struct {
	Requests  relay.HeaderCodec
	Store     plat.Dialect
	Codec     syncer.Codec
	ReadyPath string // path of the load balancer's readiness probe
}

// Router is a router of pass-through routes.
type Router struct {
	settings   atomic.Pointer[setup.Relay]
	adapters   Adapters
	log        *zap.Logger
	lostLines  *logs.Dropped
	metrics    *metric.Set
	controller *syncer.Controller
	server     *relay.Server
	budget     *inlet.Budget // of callers
	feedBudget *inlet.Budget
	listeners  []*service
	stopping   atomic.Bool
	clock      func() time.Time
}

// New returns a router that is not yet listening.
func New(s setup.Relay, adapters Adapters, log *zap.Logger, lost *logs.Dropped) (*Router, error) {
	r := &Router{budget: callerBudget(s.Limits), feedBudget: feedBudget(s.Limits), adapters: adapters, log: log, lostLines: lost, metrics: metric.New(), clock: time.Now}
	r.settings.Store(&s)
	client := strict.NewClient(&http.Client{Transport: storeTransport()})
	budget := plat.NewBudget(callRate(s.Limits.Reads), callRate(s.Limits.Writes), r.clock)
	store := plat.NewClientWithDialect(s.Platform, client, budget, storeRetryPolicy(), r.metrics.Registry(), adapters.Store)
	controller, err := syncer.New(steerSettings(s), adapters.Codec, store, log, r.clock, client.CloseIdleConnections)
	if err != nil {
		return nil, fmt.Errorf("create controller: %w", err)
	}
	r.controller = controller
	relaySettings := relaySettings(s)
	relaySettings.Budget = r.budget
	server, err := relay.New(relaySettings, adapters.Requests, r.controller, log, r.metrics, r.clock)
	if err != nil {
		return nil, fmt.Errorf("create relay server: %w", err)
	}
	r.server = server
	r.controller.SetLoadHooks(server.PendingWork, server.RecordRemotePrefixes)
	r.controller.SetSpeedHooks(server.Speeds, server.SetFleetSpeeds)
	r.controller.SetRepeatHooks(syncer.RepeatHooks{Limits: relaySettings.Retries, Uses: server.RepeatUses, Apply: server.SetRepeatDebts, Lost: server.LoseRepeatDebts})
	return r, nil
}

func relaySettings(s setup.Relay) relay.Settings {
	regions := make(map[ident.ZoneID]ident.RegionID, len(s.Zones))
	for _, z := range s.Zones {
		regions[z.Zone] = z.Region
	}
	return relay.Settings{
		Router: s.Router, Zone: s.Zone, Regions: regions, Buffer: int64(s.Limits.Memory*(1<<20)) / responseMemoryDivisor,
		Retries: retry.FleetLimits{Share: s.Retries.Share, Extra: s.Retries.Extra, Window: s.Retries.Window}, Fresh: s.First,
	}
}

// Run serves until ctx ends, and then shuts down within the grace period.
func (r *Router) Run(ctx context.Context) error {
	s := r.settings.Load()
	failed := make(chan error, 5)
	for _, x := range r.services(s) {
		if x.address == "" {
			continue // not set
		}
		if err := r.listen(x); err != nil {
			return err
		}
		r.listeners = append(r.listeners, x)
		go func() { failed <- x.server.Serve(x.listener) }()
	}
	feedListener, err := net.Listen("tcp4", s.Feed)
	if err != nil {
		return fmt.Errorf("listen for routers on %q: %w", s.Feed, err)
	}
	go func() {
		failed <- r.controller.Hub().ServeBounded(feedListener, inlet.Settings{Budget: r.feedBudget, Report: r.reportLimit("feed")})
	}()
	defer r.controller.Hub().Stop()
	r.log.Info("started", zap.String("router", string(s.Router)), zap.String("zone", string(s.Zone)),
		zap.String("listen", s.Listen), zap.String("platform", s.Platform))
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.controller.Run(background)
	go r.runSweeps(background)
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	r.shutDown(r.settings.Load().Times.Grace)
	for _, x := range r.listeners {
		_ = x.server.Close() // no probe needs to complete, and the time of requests is over
	}
	return nil
}

// readinessHandler serves the load balancer's readiness probe.
func (r *Router) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+r.adapters.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !r.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

func (r *Router) isReady() bool { return !r.stopping.Load() && r.controller.View().Ready }

// adminHandler serves metrics.
func (r *Router) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		r.metrics.Gauge("relay_running", r.server.ActiveRequests())
		bytes, conns := r.budget.Used()
		r.metrics.Gauge("callers_bytes", bytes)
		r.metrics.Gauge("callers_connections", int64(conns))
		if v := r.controller.View(); v.Config != nil {
			r.metrics.Gauge("config_generation", int64(v.Config.Generation))
			r.metrics.Gauge("config_revision", int64(v.ConfigRevision.Counter()))
			r.metrics.Gauge("config_age", r.controller.ConfigAge(r.clock()).Milliseconds())
		}
		r.metrics.Gauge("log_lines_limited", r.lostLines.RateLimited.Load())
		r.metrics.Gauge("log_lines_lost", r.lostLines.QueueFull.Load())
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		if err := r.metrics.Expose(w); err != nil {
			r.log.Warn("metrics not served", zap.Error(err))
		}
	})
	return mux
}

// runSweeps removes expired state and logs changes of readiness until ctx ends.
func (r *Router) runSweeps(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	wasReady := false
	var limited, lost int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := r.clock()
		r.server.Sweep(now)
		if c := r.controller.View().Config; c != nil {
			r.closeIdle(now, c.Limits.IdleTimeout)
		}
		if l, q := r.lostLines.RateLimited.Load(), r.lostLines.QueueFull.Load(); l != limited || q != lost {
			r.log.Warn("log lines left out", zap.Int64("limited", l-limited), zap.Int64("lost", q-lost))
			limited, lost = l, q
		}
		if ready := r.isReady(); ready != wasReady {
			wasReady = ready
			r.log.Info("readiness changed", zap.Bool("ready", ready))
		}
	}
}

// Reload replaces the settings. A changed grace period takes effect at once, all
// other settings at the next start.
func (r *Router) Reload(s setup.Relay) {
	old := r.settings.Swap(&s)
	r.log.Info("settings read again", zap.Bool("changed", !sameSettings(*old, s)))
}
