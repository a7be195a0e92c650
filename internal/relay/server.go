package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/inlet"
	"github.com/marigoldscale/marigoldscale/internal/metric"
	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/internal/proxy"
	"github.com/marigoldscale/marigoldscale/internal/retry"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// notReadyRetryAfter is the retry delay sent to callers while the router is
	// not ready. The load balancer has repeated its readiness check by then.
	notReadyRetryAfter = time.Second
	// stoppingRetryAfter is the retry delay sent to callers whose request came too late to
	// a router that stops. Another router can serve it at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// maxPrefixesPerEndpoint is the number of prompt prefixes tracked per endpoint.
	maxPrefixesPerEndpoint = 128
)

// Settings configure a Server.
type Settings struct {
	Router ident.RouterID
	Zone   ident.ZoneID
	// Regions maps each availability zone to its region.
	Regions map[ident.ZoneID]ident.RegionID
	// Retries limits the attempts of a request beyond the first, over all routers.
	Retries retry.FleetLimits
	// Fresh says that no earlier process has served callers, whose retries would count.
	Fresh bool
	// Buffer is the memory in bytes that responses may use together, 0 for a default.
	Buffer int64
	// Budget is the memory for all that callers make the router hold, of which Buffer is a
	// part. It is nil for no bound.
	Budget *inlet.Budget
}

// Control is the router's shared state as a Server uses it.
type Control interface {
	// View returns the latest view.
	View() *world.View
	// ConfigAge returns the time since the configuration in force was confirmed to be current.
	ConfigAge(now time.Time) time.Duration
	// SelectVersion returns the version of a service that a request should run on,
	// or "" for any.
	SelectVersion(now time.Time, v *world.View, service ident.ServiceID, key uint64, session ident.SessionKey) ident.VersionID
	// Observe records the result of an attempt.
	Observe(now time.Time, route paths.RouteID, session ident.SessionKey, report proxy.Report)
	// ObserveRun records how a run of a request ended.
	ObserveRun(now time.Time, r poison.RunEnd)
	// ObserveEnd reports that an endpoint has ended, whatever it ran.
	ObserveEnd(now time.Time, i poison.Incarnation)
	// FatalCause returns why a request is not to be run again since endpoints have
	// ended while they ran it, or poison.CauseNone. It names the part of the prompt, if
	// one is the cause.
	FatalCause(now time.Time, s poison.Subject) (cause poison.Cause, part string)
	// CrashesChanged returns a channel that is closed when more requests may not be
	// run again than before.
	CrashesChanged() <-chan struct{}
	// RemoteWork returns the unanswered work that other routers have sent to an
	// endpoint.
	RemoteWork(now time.Time, id ident.EndpointID) route.ModelBacklogs
	// RecordPrefixes records that an endpoint was sent a prompt with the given
	// prefix parts, whose hashes are those of route.HashParts.
	RecordPrefixes(now time.Time, id ident.EndpointID, hashes []uint64, parts []route.PromptPart)
	// ObserveLimit records what an endpoint says in an answer of the load that it
	// accepts; l holds no more than that.
	ObserveLimit(now time.Time, e *world.Endpoint, l route.EndpointLimit)
	// Brittle reports whether an endpoint says that it falls over if it has to turn
	// many requests away.
	Brittle(now time.Time, e *world.Endpoint) bool
	// Replaced reports whether another process answers at an endpoint's address, as this
	// or another router has seen.
	Replaced(now time.Time, e *world.Endpoint) bool
	// ObserveLeaving records that an endpoint said in an answer that it is leaving.
	ObserveLeaving(now time.Time, e *world.Endpoint)
	// Limit returns the rate that an endpoint accepts from all routers together, and
	// whether it names one.
	Limit(now time.Time, e *world.Endpoint) (rate float64, limited bool)
	// Routers returns the routers that share the endpoints, none while unknown.
	Routers() []ident.RouterID
	// RouterCount returns an upper bound on the number of routers that share the
	// endpoints.
	RouterCount() int
	// Peers returns the other routers that requests may be handed over to.
	Peers() []route.Peer
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	settings    Settings
	codec       HeaderCodec
	control     Control
	pool        *ConnPool
	loads       *route.LoadTracker
	estimator   *route.Estimator
	prefixes    *route.PrefixIndex
	coldLimiter *route.ColdLimiter
	limiter     *route.SharedLimiter
	pauses      *route.Pauses
	reach       *route.Reach
	handoffs    *route.Handoffs
	sizes       *proxy.Sizes
	objectives  *proxy.Objectives
	buffer      byteBudget
	blocks      inlet.Blocks // of requests' bodies
	log         *zap.Logger
	metrics     *metric.Set
	clock       func() time.Time

	started           time.Time
	lock              sync.Mutex
	retryBudgets      map[ident.ServiceID]*retry.WindowBudget
	retryDebts        map[ident.ServiceID]retry.Pool // of all routers
	retryDebtsTill    time.Time                      // when retryDebts no longer count
	retryDebtsUnknown time.Time                      // until when there may be debts that are not in retryDebts
	// retryDebtsLogged holds when a service's debt was last logged, which is done once in a
	// window at most.
	retryDebtsLogged map[ident.ServiceID]time.Time
	activeRequests   atomic.Int64
	draining         atomic.Bool
}

// New returns a Server.
func New(s Settings, codec HeaderCodec, control Control, log *zap.Logger, set *metric.Set, clock func() time.Time) (*Server, error) {
	prefixes, err := route.NewPrefixIndex(maxPrefixesPerEndpoint)
	if err != nil {
		return nil, err
	}
	if s.Buffer <= 0 {
		s.Buffer = defaultBufferBytes
	}
	return &Server{
		buffer:   byteBudget{limit: s.Buffer, total: s.Budget},
		settings: s, codec: codec, control: control,
		pool: NewConnPool(set.Registry(), clock), loads: route.NewLoadTracker(), estimator: route.NewEstimator(),
		prefixes: prefixes, coldLimiter: route.NewColdLimiter(string(s.Router)), limiter: route.NewSharedLimiter(s.Router), pauses: route.NewPauses(), reach: route.NewReach(), handoffs: route.NewHandoffs(), sizes: proxy.NewSizes(), objectives: proxy.NewObjectives(), log: log, metrics: set, clock: clock,
		retryBudgets: map[ident.ServiceID]*retry.WindowBudget{}, retryDebtsLogged: map[ident.ServiceID]time.Time{}, started: clock(),
	}, nil
}

// Drain makes further responses close their connections, so that callers connect
// to another router. Requests are still served.
func (s *Server) Drain() { s.draining.Store(true) }

// PendingWork returns the work of this router's own requests that wait for a
// first event, by endpoint.
func (s *Server) PendingWork() route.EndpointBacklogs { return s.estimator.Backlogs() }

// Speeds returns the speeds of models that this router has measured.
func (s *Server) Speeds() route.ModelSpeeds { return s.estimator.Speeds() }

// SetFleetSpeeds records the speeds of models that all routers have measured.
func (s *Server) SetFleetSpeeds(speeds route.ModelSpeeds) { s.estimator.SetFleetSpeeds(speeds) }

// RecordRemotePrefixes records the prompt prefixes that other routers have sent to
// an endpoint.
func (s *Server) RecordRemotePrefixes(id ident.EndpointID, hashes []uint64) {
	s.prefixes.RecordSent(id, hashes)
}

// BufferedBytes returns the memory that responses use together.
func (s *Server) BufferedBytes() int64 { return s.buffer.used.Load() }

// ActiveRequests returns the number of requests in progress.
func (s *Server) ActiveRequests() int64 { return s.activeRequests.Load() }

// Sweep closes expired connections and drops the state of removed endpoints.
func (s *Server) Sweep(now time.Time) {
	v := s.control.View()
	live := func(id ident.EndpointID) bool {
		_, ok := v.Endpoint(id)
		return ok || isRouter(id)
	}
	s.pool.Sweep(now, live)
	s.estimator.Retain(live)
	s.prefixes.Retain(live)
	s.pauses.Sweep(now)
	s.blocks.Trim()
	s.lock.Lock()
	defer s.lock.Unlock()
	for service, b := range s.retryBudgets {
		b.SetExtra(now, s.settings.Retries.ExtraOf(s.control.RouterCount()))
		label := metric.Label{Name: "service", Value: string(service)}
		retries, unread := b.Counted(now)
		s.metrics.Gauge("relay_retries_counted", retries, label)
		s.metrics.Gauge("relay_retries_unread", unread, label)
		if n := b.TakeWithheld(); n > 0 {
			s.metrics.Count("relay_retries_withheld_total", n, label)
		}
	}
}

// retryBudget returns the retry budget of a service. Each router limits its
// retries to the allowed share of its own requests, plus its part of the extra
// retries that all routers may send together.
func (s *Server) retryBudget(service ident.ServiceID) *retry.WindowBudget {
	s.lock.Lock()
	defer s.lock.Unlock()
	l, routers := s.settings.Retries, s.control.RouterCount()
	b := s.retryBudgets[service]
	if b == nil {
		b = l.NewBudget(s.started, s.settings.Fresh, routers)
		b.SetReserve(s.retryDebts[service].Fraction(), s.retryDebtsTill)
		b.SetUnknown(s.retryDebtsUnknown)
		s.retryBudgets[service] = b
	}
	b.SetExtra(s.clock(), l.ExtraOf(routers))
	return b
}

// RepeatUses returns what this router has used of the retry budgets, for other routers.
func (s *Server) RepeatUses(now time.Time) map[ident.ServiceID]retry.Use {
	s.lock.Lock()
	defer s.lock.Unlock()
	var uses map[ident.ServiceID]retry.Use
	for service, b := range s.retryBudgets {
		if u, tell := b.Report(now); tell {
			if uses == nil {
				uses = map[ident.ServiceID]retry.Use{}
			}
			uses[service] = u
		}
	}
	return uses
}

// SetRepeatDebts records what all routers together have used beyond their retry budgets.
// It counts until it is replaced, or the window has passed in which it was used.
func (s *Server) SetRepeatDebts(now time.Time, debts map[ident.ServiceID]retry.Pool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for service, p := range debts {
		if now.Sub(s.retryDebtsLogged[service]) >= s.settings.Retries.Window {
			s.log.Info("retries withheld", zap.String("service", string(service)), zap.Float64("debt", p.Debt), zap.Float64("gain", p.Gain))
			s.retryDebtsLogged[service] = now
		}
	}
	s.retryDebts, s.retryDebtsTill, s.retryDebtsUnknown = debts, now.Add(s.settings.Retries.Window), time.Time{}
	for service, b := range s.retryBudgets {
		b.SetReserve(debts[service].Fraction(), s.retryDebtsTill)
		b.SetUnknown(time.Time{})
	}
}

// LoseRepeatDebts records that the router is lost that told of debts. They are unknown
// until another one tells of them, or the window has passed in which they arose.
func (s *Server) LoseRepeatDebts(now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.retryDebtsUnknown = now.Add(s.settings.Retries.Window)
	for _, b := range s.retryBudgets {
		b.SetUnknown(s.retryDebtsUnknown)
	}
}

// ServeHTTP serves one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.serve(w, r, false) }

// serve serves one request of a caller, or one that another router hands over.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, handedOver bool) {
	s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	now := s.clock()
	head, err := s.codec.ParseRequest(r.Header)
	c := &call{server: s, w: w, r: r, head: head, arrived: now, handedOver: handedOver, conn: inlet.FromRequest(r)}
	if c.conn != nil && c.conn.Begin(r.ContentLength) {
		c.refuse(http.StatusServiceUnavailable, stoppingRetryAfter, "stopping")
		return
	}
	view := s.control.View()
	if view.Config == nil || !view.Ready {
		c.markUnreached()
		c.refuse(http.StatusServiceUnavailable, notReadyRetryAfter, "not ready")
		return
	}
	if handedOver && c.isBehind(view.Config.Generation) {
		c.markUnreached()
		c.refuse(http.StatusServiceUnavailable, notReadyRetryAfter, "configuration is behind")
		return
	}
	if err != nil {
		c.refuse(http.StatusBadRequest, 0, err.Error())
		return
	}
	request, ok := c.admit(view)
	if !ok {
		return
	}
	if !c.readBody(view.Config.Limits) {
		return
	}
	if handedOver {
		c.limitAttempts(&request)
	}
	c.run(r.Context(), request)
}

// admit finds the route and the team of a request. If there is none, it refuses
// the request and returns false.
func (c *call) admit(view *world.View) (proxy.Request, bool) {
	config := view.Config
	if config.Limits.MaxHeaderBytes > 0 && c.headSize() > config.Limits.MaxHeaderBytes {
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, 0, "request head is too long")
		return proxy.Request{}, false
	}
	found, ok := config.Match(routeHost(c.r), routePath(c.r))
	if !ok {
		c.refuseByConfig(view, http.StatusNotFound, "no route has this host and path")
		return proxy.Request{}, false
	}
	c.route = found
	q := proxy.Request{
		ID: c.head.ID, Route: found, Arrived: c.arrived, Deadline: c.deadline(found),
		Model: c.head.Model, PromptTokens: c.head.PromptTokens, MaxOutputTokens: c.head.MaxOutputTokens, Parts: c.head.Parts,
		Session: c.head.Session, LastEventID: c.head.LastEventID, Priority: found.Priority,
		Seed: xxhash.Sum64String(string(c.head.ID)),
	}
	if config.RequiresKey() && !found.Anonymous {
		team, known := config.TeamByKey(c.head.Key)
		if !known {
			c.refuseByConfig(view, http.StatusUnauthorized, "key is not known")
			return proxy.Request{}, false
		}
		c.team = team
		q.Team = team.ID
		if team.Priority != nil {
			q.Priority = *team.Priority
		}
	}
	q.Service = found.PickService(q.Seed)
	return q, true
}

// headSize returns the size of the request's head. Fields are counted with padding, and
// without it if that is less, so that a head of many short fields is not taken for longer
// than it is.
func (c *call) headSize() int {
	size := requestHeadSize(c.r)
	if c.conn != nil {
		if n, known := c.conn.HeadSize(); known {
			size = min(size, n)
		}
	}
	return size
}

// deadline returns the time at which the response to a request is due.
func (c *call) deadline(r *paths.Route) time.Time {
	timeout := c.head.Timeout
	if timeout <= 0 || r.Timeout > 0 && r.Timeout < timeout {
		timeout = r.Timeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return c.arrived.Add(timeout)
}

// defaultTimeout bounds a request if neither its caller nor its route sets a
// timeout.
const defaultTimeout = time.Minute

// attemptContext returns a context that does not depend on the caller's
// connection, since an attempt that must not run twice outlives the caller.
func attemptContext(deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.Background(), deadline.Add(attemptGrace))
}

// attemptGrace is the time after a request's deadline at which its attempts are
// cancelled, if they have not ended.
const attemptGrace = lateHeadTimeout
