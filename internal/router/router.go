// Package router implements the router daemon: the control thread and its I/O, the
// callers' API, the peer service and the admin API.
package router

import (
	"context"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/front"
	"github.com/marigoldscale/marigoldscale/internal/inlet"
	"github.com/marigoldscale/marigoldscale/internal/metric"
	"github.com/marigoldscale/marigoldscale/internal/peers"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/publsh"
	"github.com/marigoldscale/marigoldscale/internal/retry"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/serve"
	"github.com/marigoldscale/marigoldscale/internal/sess"
	"github.com/marigoldscale/marigoldscale/internal/setup"
	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/internal/trace"
)

const (
	// eventQueueSize is the capacity of the control thread's event queue.
	eventQueueSize = 8192
	// maxPrefixBlocks limits the prefix blocks indexed per endpoint.
	maxPrefixBlocks = 65536
	// maxSessionBindings limits the cached session bindings.
	maxSessionBindings = 200000
	// retryRatio is the maximum ratio of retries to first attempts.
	retryRatio = 0.1
	// maxPeerCalls limits the calls of a peer at once, if the memory is bounded. A call takes
	// a message of at most 4 MB, and ordinary ones 1 KB.
	maxPeerCalls = 256
	// maxIdlePerEndpoint limits the idle connections to one endpoint.
	maxIdlePerEndpoint = 256
	// endpointConnectTimeout limits connecting to an endpoint.
	endpointConnectTimeout = 2 * time.Second
	// platformConnectTimeout limits connecting to the platform.
	platformConnectTimeout = 2 * time.Second
)

// Router is a router daemon.
type Router struct {
	settings setup.Settings
	self     fleet.Router
	log      *zap.Logger
	metrics  *metric.Set
	tracer   *trace.Tracer
	started  time.Time

	control    *ctrl.Control
	events     chan ctrl.Event
	view       atomic.Pointer[ctrl.View]
	current    atomic.Pointer[published] // head and configuration that this router has applied
	platform   plat.Platform
	budget     *plat.Budget
	reader     *publsh.Reader
	readerLock sync.Mutex // guards reader
	peerPool   *peers.Pool
	engine     *engine.Client
	loads      *route.LoadTracker
	prefixes   *route.PrefixIndex
	gates      *serve.AdmissionGates
	journal    *shard.Journal
	copies     *copier
	permits    *permits
	bodyOwners *bodyOwners
	server     *serve.Server
	pending    *pendingRequests
	stats      stats

	callerListener net.Listener
	adminListener  net.Listener
	peerListener   net.Listener
	grpcServer     *grpc.Server
	peerRPC        inlet.RPC
	bounds         *bounds // nil for none
}

// New returns a router that listens on the callers', admin and peer addresses.
func New(ctx context.Context, settings setup.Settings, log *zap.Logger) (*Router, error) {
	r := &Router{
		settings: settings,
		log:      log.With(zap.String("router", string(settings.Router))),
		metrics:  metric.New(),
		started:  time.Now(),
		events:   make(chan ctrl.Event, eventQueueSize),
		loads:    route.NewLoadTracker(),
		gates:    serve.NewAdmissionGates(),
		pending:  newPendingRequests(),
	}
	r.bounds = newBounds(r, settings.Limits)
	if err := r.listen(); err != nil {
		return nil, err
	}
	r.self = fleet.Router{
		ID:    settings.Router,
		Zone:  settings.Zone,
		Peer:  r.peerListener.Addr().String(),
		Admin: r.adminListener.Addr().String(),
	}
	if err := r.initialize(ctx); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Router) listen() error {
	var err error
	if r.callerListener, err = net.Listen("tcp", r.settings.Listen); err != nil {
		return fmt.Errorf("opening callers' address: %w", err)
	}
	if r.adminListener, err = net.Listen("tcp", r.settings.Admin); err != nil {
		return fmt.Errorf("opening admin address: %w", err)
	}
	if r.peerListener, err = net.Listen("tcp", r.settings.Peer); err != nil {
		return fmt.Errorf("opening peer address: %w", err)
	}
	return nil
}

func (r *Router) initialize(ctx context.Context) error {
	tlsConfig, err := peers.TLS(peers.TLSFiles{Cert: r.settings.TLS.Cert, Key: r.settings.TLS.Key, CA: r.settings.TLS.CA})
	if err != nil {
		return fmt.Errorf("setting up TLS: %w", err)
	}
	r.tracer, err = trace.New(ctx, trace.Options{
		Router: r.settings.Router,
		File:   r.settings.Trace.File,
		OTLP:   r.settings.Trace.OTLP,
	})
	if err != nil {
		return fmt.Errorf("setting up tracing: %w", err)
	}
	r.prefixes, err = route.NewPrefixIndex(maxPrefixBlocks)
	if err != nil {
		return fmt.Errorf("creating prefix index: %w", err)
	}
	r.peerPool = peers.NewPool(peers.Credentials(tlsConfig))
	var options []grpc.ServerOption
	if r.bounds != nil {
		options = r.peerRPC.Options(maxPeerCalls)
	}
	r.grpcServer = peers.NewServer(peers.Credentials(tlsConfig), &peerServer{router: r}, options...)
	r.budget = plat.NewBudget(readRate(1), writeRate(1), time.Now)
	r.platform = plat.NewClient(r.settings.Platform, httpClient(platformConnectTimeout), r.budget, plat.DefaultRetryPolicy(), r.metrics.Registry())
	r.reader = publsh.NewReader(r.platform)
	r.engine = engine.NewClient(httpClient(endpointConnectTimeout))
	r.control = ctrl.New(r.self, ctrl.DefaultSettings(r.settings.Times.Heartbeat), r.started)
	r.journal = shard.New(r.self.ID, r.journalSettings(), r.platform, &forwarder{router: r}, time.Now, r.metrics.Registry(), r.log)
	r.copies = newCopier(r)
	r.permits = newPermits(r, permit.NewTracker(r.self.ID, permit.DefaultSettings().SafetyMargin))
	r.bodyOwners = &bodyOwners{router: r}
	return r.initializeServer()
}

func (r *Router) initializeServer() error {
	sealer, err := newSealer(r.settings.Token.Key)
	if err != nil {
		return err
	}
	cache, err := sess.NewCache(maxSessionBindings)
	if err != nil {
		return fmt.Errorf("creating session cache: %w", err)
	}
	dependencies := serve.Dependencies{
		Self:         r.self,
		View:         r.view.Load,
		SendEvent:    r.submitEvent,
		Loads:        r.loads,
		Prefixes:     r.prefixes,
		Gates:        r.gates,
		Journal:      r.journal,
		Copier:       r.copies,
		Engine:       r.engine,
		Permits:      r.permits,
		BodyOwners:   r.bodyOwners,
		Sealer:       sealer,
		SessionCache: cache,
		RetryBudget:  retry.NewBudget(retryRatio),
		Tracer:       r.tracer,
		Metrics:      r.metrics,
		Now:          time.Now,
		Log:          r.log,
	}
	if r.settings.Rater != "" {
		dependencies.Rater = serve.NewHTTPRater(r.settings.Rater, httpClient(endpointConnectTimeout))
	}
	r.server = serve.New(dependencies, r.started)
	return nil
}

func (r *Router) journalSettings() shard.Settings {
	s := shard.Defaults()
	s.Shards = r.settings.Journal.Shards
	s.BatchInterval = r.settings.Journal.Interval
	return s
}

// Run serves until ctx ends, then shuts down gracefully: requests in progress may
// complete within the drain time.
func (r *Router) Run(ctx context.Context) error {
	work, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	callers := r.newFront().Server()
	admin := r.adminServer()
	callerListener, bounded := r.bounds.wrapCallers(r.callerListener, callers)
	adminListener, peerListener := r.bounds.wrapAdmin(r.adminListener, admin), r.bounds.wrapPeers(r.peerListener, &r.peerRPC)
	var stopping atomic.Bool
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return r.controlLoop(work) })
	group.Go(func() error { return r.journal.Run(work) })
	group.Go(func() error { return r.pollLoop(work) })
	group.Go(func() error { return r.watchLoop(work) })
	group.Go(func() error { return r.seedLoop(work) })
	group.Go(func() error { return r.permits.loop(work) })
	group.Go(func() error { return r.copies.loop(work) })
	group.Go(func() error { return ignoreClosed(r.grpcServer.Serve(peerListener)) })
	group.Go(func() error { return ignoreClosed(admin.Serve(adminListener)) })
	group.Go(func() error {
		err := callers.Serve(callerListener)
		if stopping.Load() && errors.Is(err, net.ErrClosed) {
			return nil // a bounded listener is closed before its server
		}
		return ignoreClosed(err)
	})
	r.log.Info("router started",
		zap.String("listen", r.callerListener.Addr().String()),
		zap.String("admin", r.self.Admin),
		zap.String("peer", r.self.Peer))
	select {
	case <-ctx.Done():
		shutDown := callers.Shutdown
		if bounded != nil {
			shutDown = func(ctx context.Context) error {
				bounded.StopAt(time.Now()) // connections close after their next response
				return bounded.Shutdown(ctx)
			}
		}
		stopping.Store(true)
		r.drain(shutDown)
	case <-work.Done():
	}
	_ = callers.Close()
	_ = admin.Close()
	r.grpcServer.Stop()
	cancelWork()
	err := group.Wait()
	r.peerPool.Close()
	r.closeTracer()
	if err != nil {
		return fmt.Errorf("running router %q: %w", r.self.ID, err)
	}
	return nil
}

func (r *Router) newFront() *front.API {
	snapshot := func() *fleet.Snapshot {
		v := r.view.Load()
		if v == nil {
			return nil
		}
		return v.Snapshot
	}
	return front.New(r.server, snapshot, time.Now, front.Limits{
		BodyBytes:   int64(r.settings.Limits.Body),
		HeaderBytes: r.settings.Limits.Header,
		Requests:    r.settings.Limits.Streams,
		IdleTimeout: r.settings.Limits.Idle,
	}, r.log)
}

// submitEvent sends an event to the control thread. It blocks while the event
// queue is full.
func (r *Router) submitEvent(e ctrl.Event) {
	r.events <- e
}

func httpClient(connect time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: connect, KeepAlive: keepAliveInterval}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdlePerEndpoint,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// maxResponseHeaderBytes bounds the head of a response.
const maxResponseHeaderBytes = 256 << 10

// keepAliveInterval is the interval of TCP keep-alive probes.
const keepAliveInterval = 5 * time.Second

// Rate limits of platform calls for the whole fleet, divided evenly among the
// routers, and burst sizes per router.
const (
	fleetReadRate  = 2000.0 // calls a second
	fleetWriteRate = 400.0
	readBurst      = 200.0 // calls
	writeBurst     = 60.0
)

func readRate(routers int) plat.Rate {
	return plat.Rate{PerSecond: fleetReadRate / float64(routers), Burst: readBurst}
}

func writeRate(routers int) plat.Rate {
	return plat.Rate{PerSecond: fleetWriteRate / float64(routers), Burst: writeBurst}
}

func newSealer(text string) (*sess.Sealer, error) {
	raw, err := hex.DecodeString(text)
	var key sess.Key
	if err != nil || len(raw) != len(key) {
		return nil, fmt.Errorf("session token key must have %d hex digits", 2*len(key))
	}
	copy(key[:], raw)
	sealer, err := sess.NewSealer(key)
	if err != nil {
		return nil, fmt.Errorf("setting up session tokens: %w", err)
	}
	return sealer, nil
}

// CallerAddress returns the callers' listen address as host:port.
func (r *Router) CallerAddress() string {
	return r.callerListener.Addr().String()
}

// Self returns the description of this router that it sends to its peers.
func (r *Router) Self() fleet.Router {
	return r.self
}
