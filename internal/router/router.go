// Package router assembles the router daemon: the control thread with its
// drivers, the callers' API, the peer links and the admin address.
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

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/front"
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
	// eventBuffer bounds the events waiting for the control thread.
	eventBuffer = 8192
	// prefixBlocks bounds the prefix blocks remembered of each endpoint.
	prefixBlocks = 65536
	// sessionCache bounds the bindings remembered.
	sessionCache = 200000
	// retryShare is the share of first attempts that retries may add.
	retryShare = 0.1
	// idleEndpoint bounds the idle connections kept to one endpoint.
	idleEndpoint = 256
	// connectTimeout bounds connecting to an endpoint.
	connectTimeout = 2 * time.Second
	// platformTimeout bounds connecting to the platform.
	platformTimeout = 2 * time.Second
)

// Router is one router daemon.
type Router struct {
	settings setup.Settings
	self     fleet.Router
	log      *zap.Logger
	metrics  *metric.Set
	tracer   *trace.Tracer
	started  time.Time

	control  *ctrl.Control
	events   chan ctrl.Event
	view     atomic.Pointer[ctrl.View]
	known    atomic.Pointer[published] // head and configuration in force
	platform plat.Platform
	budget   *plat.Budget
	reader   *publsh.Reader
	reading  sync.Mutex // guards reader
	links    *peers.Pool
	engine   *engine.HTTP
	table    *route.LoadTracker
	prefixes *route.PrefixIndex
	gates    *serve.Gates
	journal  *shard.Journal
	copies   *copier
	permits  *permits
	guards   *guards
	server   *serve.Server
	asked    *questions
	stats    stats

	caller    net.Listener
	admin     net.Listener
	peerLinks net.Listener
	rpc       *grpc.Server
}

// New builds a router and opens its three addresses.
func New(ctx context.Context, settings setup.Settings, log *zap.Logger) (*Router, error) {
	r := &Router{
		settings: settings,
		log:      log.With(zap.String("router", string(settings.Router))),
		metrics:  metric.New(),
		started:  time.Now(),
		events:   make(chan ctrl.Event, eventBuffer),
		table:    route.NewLoadTracker(),
		gates:    serve.NewGates(),
		asked:    newQuestions(),
	}
	if err := r.listen(); err != nil {
		return nil, err
	}
	r.self = fleet.Router{
		ID:    settings.Router,
		Zone:  settings.Zone,
		Peer:  r.peerLinks.Addr().String(),
		Admin: r.admin.Addr().String(),
	}
	if err := r.assemble(ctx); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Router) listen() error {
	var err error
	if r.caller, err = net.Listen("tcp", r.settings.Listen); err != nil {
		return fmt.Errorf("opening callers' address: %w", err)
	}
	if r.admin, err = net.Listen("tcp", r.settings.Admin); err != nil {
		return fmt.Errorf("opening admin address: %w", err)
	}
	if r.peerLinks, err = net.Listen("tcp", r.settings.Peer); err != nil {
		return fmt.Errorf("opening peer address: %w", err)
	}
	return nil
}

func (r *Router) assemble(ctx context.Context) error {
	security, err := peers.TLS(peers.TLSFiles{Cert: r.settings.TLS.Cert, Key: r.settings.TLS.Key, CA: r.settings.TLS.CA})
	if err != nil {
		return fmt.Errorf("setting TLS up: %w", err)
	}
	r.tracer, err = trace.New(ctx, trace.Options{
		Router: r.settings.Router,
		File:   r.settings.Trace.File,
		OTLP:   r.settings.Trace.OTLP,
	})
	if err != nil {
		return fmt.Errorf("setting spans up: %w", err)
	}
	r.prefixes, err = route.NewPrefixIndex(prefixBlocks)
	if err != nil {
		return fmt.Errorf("setting prefix index up: %w", err)
	}
	r.links = peers.NewPool(peers.Credentials(security))
	r.rpc = peers.NewServer(peers.Credentials(security), &peerServer{router: r})
	r.budget = plat.NewBudget(readShare(1), writeShare(1), time.Now)
	r.platform = plat.NewClient(r.settings.Platform, httpClient(platformTimeout), r.budget, plat.DefaultRetryPolicy(), r.metrics.Registry())
	r.reader = publsh.NewReader(r.platform)
	r.engine = engine.New(httpClient(connectTimeout))
	r.control = ctrl.New(r.self, ctrl.DefaultSettings(r.settings.Times.Heartbeat), r.started)
	r.journal = shard.New(r.self.ID, r.journalSettings(), r.platform, &forwarder{router: r}, time.Now, r.metrics.Registry(), r.log)
	r.copies = newCopier(r)
	r.permits = newPermits(r, permit.NewTracker(r.self.ID, permit.DefaultSettings().SafetyMargin))
	r.guards = &guards{router: r}
	return r.assembleServer()
}

func (r *Router) assembleServer() error {
	sealer, err := newSealer(r.settings.Token.Key)
	if err != nil {
		return err
	}
	cache, err := sess.NewCache(sessionCache)
	if err != nil {
		return fmt.Errorf("setting session cache up: %w", err)
	}
	parts := serve.Parts{
		Self:     r.self,
		View:     r.view.Load,
		Tell:     r.tell,
		Table:    r.table,
		Prefixes: r.prefixes,
		Gates:    r.gates,
		Journal:  r.journal,
		Copies:   r.copies,
		Engine:   r.engine,
		Permits:  r.permits,
		Guards:   r.guards,
		Sealer:   sealer,
		Cache:    cache,
		Budget:   retry.NewBudget(retryShare),
		Tracer:   r.tracer,
		Metrics:  r.metrics,
		Now:      time.Now,
		Log:      r.log,
	}
	if r.settings.Rater != "" {
		parts.Rater = serve.NewHTTPRater(r.settings.Rater, httpClient(connectTimeout))
	}
	r.server = serve.New(parts, r.started)
	return nil
}

func (r *Router) journalSettings() shard.Settings {
	s := shard.Defaults()
	s.Shards = r.settings.Journal.Shards
	s.BatchInterval = r.settings.Journal.Interval
	return s
}

// Run serves until ctx ends, then shuts down gracefully: no request in
// progress is cut within the drain time.
func (r *Router) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	callers := r.front().Server()
	admin := r.adminServer()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return r.controlLoop(work) })
	group.Go(func() error { return r.journal.Run(work) })
	group.Go(func() error { return r.pollLoop(work) })
	group.Go(func() error { return r.watchLoop(work) })
	group.Go(func() error { return r.seedLoop(work) })
	group.Go(func() error { return r.permits.loop(work) })
	group.Go(func() error { return r.copies.loop(work) })
	group.Go(func() error { return closed(r.rpc.Serve(r.peerLinks)) })
	group.Go(func() error { return closed(admin.Serve(r.admin)) })
	group.Go(func() error { return closed(callers.Serve(r.caller)) })
	r.log.Info("router started",
		zap.String("listen", r.caller.Addr().String()),
		zap.String("admin", r.self.Admin),
		zap.String("peer", r.self.Peer))
	select {
	case <-ctx.Done():
		r.drain(callers)
	case <-work.Done():
	}
	_ = callers.Close()
	_ = admin.Close()
	r.rpc.Stop()
	stopWork()
	err := group.Wait()
	r.links.Close()
	r.closeTracer()
	if err != nil {
		return fmt.Errorf("running router %q: %w", r.self.ID, err)
	}
	return nil
}

func (r *Router) front() *front.Front {
	snapshot := func() *fleet.Snapshot {
		v := r.view.Load()
		if v == nil {
			return nil
		}
		return v.Snapshot
	}
	return front.New(r.server, snapshot, time.Now, front.Limits{
		Body:    int64(r.settings.Limits.Body),
		Header:  r.settings.Limits.Header,
		Streams: r.settings.Limits.Streams,
		Idle:    r.settings.Limits.Idle,
	}, r.log)
}

// tell hands an event to the control thread.
func (r *Router) tell(e ctrl.Event) {
	r.events <- e
}

func httpClient(connect time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: connect, KeepAlive: pingInterval}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idleEndpoint,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// pingInterval is the interval of TCP keep-alive probes.
const pingInterval = 5 * time.Second

// The platform's rates for the whole fleet, shared evenly between the routers,
// and the calls that one router may make at once.
const (
	fleetReads  = 2000.0 // calls a second
	fleetWrites = 400.0
	burstReads  = 200.0 // calls
	burstWrites = 60.0
)

func readShare(routers int) plat.Rate {
	return plat.Rate{PerSecond: fleetReads / float64(routers), Burst: burstReads}
}

func writeShare(routers int) plat.Rate {
	return plat.Rate{PerSecond: fleetWrites / float64(routers), Burst: burstWrites}
}

func newSealer(text string) (*sess.Sealer, error) {
	raw, err := hex.DecodeString(text)
	var key sess.Key
	if err != nil || len(raw) != len(key) {
		return nil, fmt.Errorf("session token key is not %d hex digits", 2*len(key))
	}
	copy(key[:], raw)
	sealer, err := sess.NewSealer(key)
	if err != nil {
		return nil, fmt.Errorf("setting session tokens up: %w", err)
	}
	return sealer, nil
}

// Caller gives the address on which callers are served, as host:port.
func (r *Router) Caller() string {
	return r.caller.Addr().String()
}

// Self describes this router as its peers see it.
func (r *Router) Self() fleet.Router {
	return r.self
}
