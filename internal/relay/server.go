package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/metric"
	"github.com/marigoldscale/marigoldscale/internal/pass"
	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/internal/retry"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// unreadyAfter is when to come back to a router that does not know enough
	// yet: the balancer has looked again by then.
	unreadyAfter = time.Second
	// prefixEntries is the number of shared prefixes remembered of an endpoint.
	prefixEntries = 128
)

// Settings are what a Server needs to know of its place.
type Settings struct {
	Router ident.RouterID
	Zone   ident.ZoneID
	// Regions gives the region of each availability zone.
	Regions map[ident.ZoneID]ident.RegionID
	// Retries bounds the arrivals beyond the first, over all routers.
	Retries RetryLimits
}

// RetryLimits bound how often requests are sent again, summed over all routers
// and in any window.
type RetryLimits struct {
	Share  ident.Share // of the requests
	Extra  int         // beyond the share, in each window
	Window time.Duration
}

// Control is what a Server asks of the router's shared state.
type Control interface {
	// View gives the newest view.
	View() *world.View
	// Version picks the version of a service for a request, "" for any.
	Version(now time.Time, v *world.View, service ident.ServiceID, key uint64, session ident.SessionKey) ident.VersionID
	// Observe takes in how an attempt fared.
	Observe(now time.Time, route paths.RouteID, session ident.SessionKey, report pass.Report)
	// Others gives what other routers have sent to an endpoint and what has not
	// answered yet.
	Others(now time.Time, id ident.EndpointID) route.ModelBacklogs
	// Reads takes in that an endpoint was sent the shared parts of a prompt.
	Reads(now time.Time, id ident.EndpointID, chain []uint64, parts []route.PromptPart)
	// Routers gives the number of routers that share the endpoints, at most.
	Routers() int
}

// Server answers callers. Its fields are safe for use by many goroutines.
type Server struct {
	settings Settings
	dialect  Dialect
	control  Control
	links    *Links
	loads    *route.LoadTracker
	tempo    *route.Estimator
	prefixes *route.PrefixIndex
	cold     *route.ColdLimiter
	log      *zap.Logger
	metrics  *metric.Set
	clock    func() time.Time

	lock     sync.Mutex
	budgets  map[ident.ServiceID]*retry.Window
	running  atomic.Int64
	stopping atomic.Bool
}

// New makes a Server.
func New(s Settings, dialect Dialect, control Control, log *zap.Logger, set *metric.Set, clock func() time.Time) (*Server, error) {
	prefixes, err := route.NewPrefixIndex(prefixEntries)
	if err != nil {
		return nil, err
	}
	return &Server{
		settings: s, dialect: dialect, control: control,
		links: NewLinks(set.Registry(), clock), loads: route.NewLoadTracker(), tempo: route.NewEstimator(),
		prefixes: prefixes, cold: route.NewColdLimiter(string(s.Router)), log: log, metrics: set, clock: clock,
		budgets: map[ident.ServiceID]*retry.Window{},
	}, nil
}

// Stop makes answers tell callers to open their next connection elsewhere.
func (s *Server) Stop() { s.stopping.Store(true) }

// Waiting gives what waits at endpoints for a first event, of this router's own
// requests.
func (s *Server) Waiting() route.EndpointBacklogs { return s.tempo.Backlogs() }

// Heard takes in which shared parts of prompts other routers have sent to an
// endpoint.
func (s *Server) Heard(id ident.EndpointID, chain []uint64) { s.prefixes.RecordSent(id, chain) }

// Running gives the number of requests in progress.
func (s *Server) Running() int64 { return s.running.Load() }

// Sweep forgets what is too old, and all endpoints that are gone.
func (s *Server) Sweep(now time.Time) {
	v := s.control.View()
	live := func(id ident.EndpointID) bool {
		_, ok := v.Endpoint(id)
		return ok
	}
	s.links.Sweep(now, live)
	s.tempo.Retain(live)
	s.prefixes.Retain(live)
}

// budget gives the retry budget of a service. Each router keeps to its own
// requests' share and to a part of the allowance that all of them have.
func (s *Server) budget(service ident.ServiceID) *retry.Window {
	s.lock.Lock()
	defer s.lock.Unlock()
	b := s.budgets[service]
	if b == nil {
		l := s.settings.Retries
		extra := max(1, float64(l.Extra)*retrySlack/float64(max(1, s.control.Routers())))
		b = retry.NewWindow(l.Share*retryMargin, extra, l.Window)
		s.budgets[service] = b
	}
	return b
}

const (
	// retryMargin keeps the routers together under the allowed share, since
	// requests and their repeats fall into different windows.
	retryMargin = 0.95
	// retrySlack is the part of the allowance beyond the share that is used.
	retrySlack = 0.8
)

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	now := s.clock()
	ask, err := s.dialect.Ask(r.Header)
	c := &call{server: s, w: w, r: r, ask: ask, arrived: now}
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	view := s.control.View()
	if view.Config == nil || !view.Ready {
		c.refuse(http.StatusServiceUnavailable, unreadyAfter, "not ready")
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
	if !c.read(view.Config.Limits) {
		return
	}
	c.course(r.Context(), request)
}

// admit finds the route and the team of a request, or refuses it.
func (c *call) admit(view *world.View) (pass.Request, bool) {
	config := view.Config
	if config.Limits.MaxHeaderBytes > 0 && headSize(c.r) > config.Limits.MaxHeaderBytes {
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, 0, "request head is too long")
		return pass.Request{}, false
	}
	found, ok := config.Match(hostOf(c.r), pathOf(c.r))
	if !ok {
		c.refuse(http.StatusNotFound, 0, "no route has this host and path")
		return pass.Request{}, false
	}
	c.route = found
	q := pass.Request{
		ID: c.ask.ID, Route: found, Arrived: c.arrived, Limit: c.limit(found),
		Model: c.ask.Model, Prompt: c.ask.Prompt, Output: c.ask.Output, Parts: c.ask.Parts,
		Session: c.ask.Session, After: c.ask.After, Priority: found.Priority,
		Seed: xxhash.Sum64String(string(c.ask.ID)),
	}
	if config.RequiresKey() && !found.Anonymous {
		team, known := config.TeamByKey(c.ask.Key)
		if !known {
			c.refuse(http.StatusUnauthorized, 0, "key is not known")
			return pass.Request{}, false
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

// limit is when the final answer of a request is due.
func (c *call) limit(r *paths.Route) time.Time {
	left := c.ask.Left
	if left <= 0 || r.Timeout > 0 && r.Timeout < left {
		left = r.Timeout
	}
	if left <= 0 {
		left = defaultTimeout
	}
	return c.arrived.Add(left)
}

// defaultTimeout bounds a request whose caller and route name no time.
const defaultTimeout = time.Minute

// background keeps an attempt's values apart from its caller's connection: an
// attempt that must not run twice outlives the caller.
func background(limit time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.Background(), limit.Add(attemptSlack))
}

// attemptSlack is how long after a request's limit its attempts are ended, if
// nothing else has ended them.
const attemptSlack = time.Second
