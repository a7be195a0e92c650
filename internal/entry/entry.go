// Package entry runs a router of pass-through routes as a process: its
// listeners, its readiness, its reload and its stop.
package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/logs"
	"github.com/marigoldscale/marigoldscale/internal/metric"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/relay"
	"github.com/marigoldscale/marigoldscale/internal/setup"
	"github.com/marigoldscale/marigoldscale/internal/steer"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// readHeader bounds the time to send a request's head, apart from the
	// configured limits.
	readHeader = 10 * time.Second
	// idleLimit bounds the time that a caller's connection stays unused.
	idleLimit = 2 * time.Minute
	// maxHeader bounds a request's head in bytes, apart from the configured
	// limits.
	maxHeader = 1 << 20
	// sweepEvery is the pause between sweeps of what is too old.
	sweepEvery = time.Second
	// leaveTime is how long a stopping router still takes connections: the
	// balancer asks each second and needs two refusals.
	leaveTime = 3 * time.Second
	// stopMargin is the part of the grace period that is left for the end.
	stopMargin = 700 * time.Millisecond
	// logPatience is how long the last log lines may take.
	logPatience = 200 * time.Millisecond
)

// Wire is what is special to one platform.
type Wire struct {
	Calls relay.HeaderCodec
	Store plat.Dialect
	Kinds steer.Codec
	Ready string // path of the balancer's question
}

// Entry is one router of pass-through routes.
type Entry struct {
	settings atomic.Pointer[setup.Relay]
	wire     Wire
	log      *zap.Logger
	lost     *logs.Lost
	metrics  *metric.Set
	steer    *steer.Controller
	server   *relay.Server
	idle     *idleLimits
	stopping atomic.Bool
	clock    func() time.Time
}

// New makes an Entry.
func New(s setup.Relay, wire Wire, log *zap.Logger, lost *logs.Lost) (*Entry, error) {
	e := &Entry{wire: wire, log: log, lost: lost, metrics: metric.New(), clock: time.Now}
	e.settings.Store(&s)
	transport := storeTransport()
	client := &http.Client{Transport: transport}
	budget := plat.NewBudget(callRate(s.Limits.Reads), callRate(s.Limits.Writes), e.clock)
	store := plat.NewClientWithDialect(s.Platform, client, budget, storeRetry(), e.metrics.Registry(), wire.Store)
	guide, err := steer.New(steerSettings(s), wire.Kinds, store, log, e.clock, transport.CloseIdleConnections)
	if err != nil {
		return nil, fmt.Errorf("making the router's state: %w", err)
	}
	e.steer = guide
	server, err := relay.New(relaySettings(s), wire.Calls, e.steer, log, e.metrics, e.clock)
	if err != nil {
		return nil, fmt.Errorf("making the relay: %w", err)
	}
	e.server = server
	e.steer.SetLoadHooks(server.PendingWork, server.RecordRemotePrefixes)
	e.idle = newIdleLimits()
	return e, nil
}

func relaySettings(s setup.Relay) relay.Settings {
	regions := make(map[ident.ZoneID]ident.RegionID, len(s.Zones))
	for _, p := range s.Zones {
		regions[p.Zone] = p.Region
	}
	return relay.Settings{
		Router: s.Router, Zone: s.Zone, Regions: regions,
		Retries: relay.RetryLimits{Share: s.Retries.Share, Extra: s.Retries.Extra, Window: s.Retries.Window},
	}
}

// Run serves until ctx ends, and then for as long as the grace period allows
// for what is in progress.
func (e *Entry) Run(ctx context.Context) error {
	s := e.settings.Load()
	callers := &http.Server{
		Handler: e.server, ReadHeaderTimeout: readHeader, IdleTimeout: idleLimit,
		MaxHeaderBytes: maxHeader, ConnState: e.idle.changed, ErrorLog: zap.NewStdLog(e.log.Named("callers")),
	}
	ready := &http.Server{Handler: e.readiness(), ReadHeaderTimeout: readHeader, IdleTimeout: idleLimit}
	admin := &http.Server{Handler: e.admin(), ReadHeaderTimeout: readHeader, IdleTimeout: idleLimit}
	failed := make(chan error, 4)
	for _, l := range []struct {
		name    string
		address string
		server  *http.Server
	}{{"callers", s.Listen, callers}, {"readiness", s.Ready, ready}, {"metrics", s.Admin, admin}} {
		listener, err := net.Listen("tcp4", l.address)
		if err != nil {
			return fmt.Errorf("listening for %s at %s: %w", l.name, l.address, err)
		}
		go func() { failed <- l.server.Serve(listener) }()
	}
	links, err := net.Listen("tcp4", s.Feed)
	if err != nil {
		return fmt.Errorf("listening for routers at %s: %w", s.Feed, err)
	}
	go func() { failed <- e.steer.Hub().Serve(links) }()
	defer e.steer.Hub().Stop()
	e.log.Info("started", zap.String("router", string(s.Router)), zap.String("zone", string(s.Zone)),
		zap.String("listen", s.Listen), zap.String("platform", s.Platform))
	background, halt := context.WithCancel(context.Background())
	defer halt()
	go e.steer.Run(background)
	go e.sweep(background)
	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	e.stop(callers, e.settings.Load().Times.Grace)
	_ = ready.Close() // nothing is in progress there
	_ = admin.Close() // as above
	return nil
}

// stop ends the service: callers are sent elsewhere first, and what is in
// progress ends by itself while the grace period lasts.
func (e *Entry) stop(callers *http.Server, grace time.Duration) {
	e.stopping.Store(true)
	e.server.Drain()
	began := e.clock()
	e.log.Info("stopping", zap.Int64("running", e.server.ActiveRequests()), zap.Duration("grace", grace))
	time.Sleep(min(leaveTime, grace/2))
	rest := grace - stopMargin - e.clock().Sub(began)
	ctx, cancel := context.WithTimeout(context.Background(), max(0, rest))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		e.log.Warn("stopped with requests in progress", zap.Int64("running", e.server.ActiveRequests()), zap.Error(err))
		return
	}
	e.log.Info("stopped", zap.Duration("took", e.clock().Sub(began)))
}

// readiness answers the balancer.
func (e *Entry) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.wire.Ready, func(w http.ResponseWriter, _ *http.Request) {
		if !e.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

func (e *Entry) isReady() bool { return !e.stopping.Load() && e.steer.View().Ready }

// admin serves metrics.
func (e *Entry) admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		e.metrics.Gauge("relay_running", e.server.ActiveRequests())
		e.metrics.Gauge("log_lines_limited", e.lost.Limited.Load())
		e.metrics.Gauge("log_lines_lost", e.lost.Blocked.Load())
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		if err := e.metrics.Expose(w); err != nil {
			e.log.Warn("metrics not served", zap.Error(err))
		}
	})
	return mux
}

// sweep forgets what is too old until ctx ends.
func (e *Entry) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	was := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := e.clock()
		e.server.Sweep(now)
		if c := e.steer.View().Config; c != nil {
			e.idle.sweep(now, c.Limits.Idle)
		}
		if is := e.isReady(); is != was {
			was = is
			e.log.Info("readiness changed", zap.Bool("ready", is))
		}
	}
}

// Reload takes in changed settings. The grace period counts from then on, the
// rest at the next start.
func (e *Entry) Reload(s setup.Relay) {
	old := e.settings.Swap(&s)
	e.log.Info("settings read again", zap.Bool("changed", !sameSettings(*old, s)))
}
