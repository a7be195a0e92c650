// Package paths holds the configuration of pass-through routes: the hosts and
// paths that are routed to each service, the teams that may use them, and the
// limits on requests.
package paths

import (
	"encoding/json"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// RouteID identifies a route.
type RouteID string

// Kind is whether and how the requests of a route may be retried.
type Kind int

// The kinds of routes.
const (
	KindOnce       Kind = iota // each request runs at most once
	KindIdempotent             // requests may run more than once
	KindStream                 // requests are answered by an event stream
)

// String returns the kind as written to logs.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindStream:
		return "stream"
	default:
		return "once"
	}
}

// Route routes the requests of one host and path prefix to services.
type Route struct {
	ID            RouteID
	Host          string // without a port, in lower case
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration // limit on the time to the end of the answer, 0 for none
	TargetLatency time.Duration // objective for the time to the answer, or to a stream's first event, that earns the full value
	MaxEventGap   time.Duration // objective for the time between events, 0 for none
	Priority      int           // 0 is the most urgent
	Split         []WeightedService
	MaxAttempts   int              // number of endpoints that one request may be sent to
	Anonymous     bool             // requests need no key
	Affinity      bool             // requests list the parts of their prompt
	Resume        bool             // a stream may be continued on another endpoint after its last event
	Models        []ident.ModelID  // models that the router chooses from, smallest first
	Regions       []ident.RegionID // regions that may run the requests, empty for all
}

// WeightedService is a service with its weight in a route.
type WeightedService struct {
	Service ident.ServiceID
	Weight  int
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resume
}

// PickService returns the service of a request, selected by its seed in proportion
// to the weights, or "" if the route has none.
func (r *Route) PickService(seed uint64) ident.ServiceID {
	total := 0
	for _, w := range r.Split {
		total += w.Weight
	}
	if total <= 0 {
		return ""
	}
	position := int(seed % uint64(total))
	for _, w := range r.Split {
		if position < w.Weight {
			return w.Service
		}
		position -= w.Weight
	}
	return ""
}

// Service is a group of interchangeable endpoints.
type Service struct {
	ID             ident.ServiceID
	MaxConnections int           // connections that one endpoint accepts from all callers
	ColdStart      time.Duration // time that an endpoint stays cold after its start
	ColdRate       float64       // requests a second that a cold endpoint accepts, 0 for no limit
	CacheTokens    ident.Tokens  // key-value cache of one model engine, 0 for a plain service
	Slots          int           // requests that an engine runs concurrently
	EventTokens    int           // tokens of one stream event
	Models         []ident.ModelID
	Costs          map[ident.ModelID]float64 // price of 1,000 generated tokens
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration // to receive a request's headers
	IdleTimeout    time.Duration // of unused connections
}

// Team is a group of callers with their own API keys.
type Team struct {
	ID       ident.TeamID
	Keys     []string
	Priority *int             // overrides the route's priority, if set
	Regions  []ident.RegionID // regions that may run its requests, empty for all
}

// Access states whose requests a configuration admits: Open or TeamsOnly.
type Access interface{ access() }

// Open admits requests of any caller. They need no key.
type Open struct{}

// TeamsOnly admits requests with a key of one of the teams, and without any key those of
// anonymous routes. Without a team, or a key, it admits no others.
type TeamsOnly struct{ Teams []*Team }

func (Open) access()      {}
func (TeamsOnly) access() {}

// Config is a complete configuration. It is immutable.
type Config struct {
	Generation      ident.Generation
	Services        map[ident.ServiceID]*Service
	Limits          Limits
	routesByHost    map[string][]*Route // the longest prefix first
	teamsByKey      map[string]*Team
	routesByService map[ident.ServiceID][]RouteID
	routeCount      int
	requiresKey     bool
	digest          uint64
}

// New returns a configuration.
func New(generation ident.Generation, routes []*Route, services []*Service, access Access, limits Limits) *Config {
	c := &Config{
		Generation:      generation,
		Services:        make(map[ident.ServiceID]*Service, len(services)),
		Limits:          limits,
		routesByHost:    map[string][]*Route{},
		teamsByKey:      map[string]*Team{},
		routesByService: map[ident.ServiceID][]RouteID{},
		routeCount:      len(routes),
		digest:          digestOf(routes, services, access, limits),
	}
	for _, s := range services {
		c.Services[s.ID] = s
	}
	for _, r := range routes {
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
		for _, w := range r.Split {
			c.routesByService[w.Service] = append(c.routesByService[w.Service], r.ID)
		}
	}
	for _, l := range c.routesByHost {
		sort.SliceStable(l, func(i, j int) bool { return len(l[i].Prefix) > len(l[j].Prefix) })
	}
	for _, l := range c.routesByService {
		slices.Sort(l)
	}
	switch x := access.(type) {
	case Open:
	case TeamsOnly:
		c.requiresKey = true
		for _, t := range x.Teams {
			for _, k := range t.Keys {
				if k != "" { // what a request without a key has
					c.teamsByKey[k] = t
				}
			}
		}
	}
	return c
}

// digestOf returns a hash of the content of a configuration, without its generation.
func digestOf(routes []*Route, services []*Service, access Access, limits Limits) uint64 {
	text, _ := json.Marshal([]any{routes, services, access, limits}) // fails only on types that these have not
	return xxhash.Sum64(text)
}

// Digest returns a hash of all that the configuration holds but its generation.
func (c *Config) Digest() uint64 { return c.digest }

// SameContent reports whether two configurations differ in nothing but their generation.
func (c *Config) SameContent(other *Config) bool { return c.digest == other.digest }

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int { return c.routeCount }

// RoutesOf returns the ids of the routes to a service, sorted.
func (c *Config) RoutesOf(service ident.ServiceID) []RouteID { return c.routesByService[service] }

// Match returns the route of a host, in lower case and without a port, with the
// longest prefix of the path.
func (c *Config) Match(host, path string) (*Route, bool) {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// TeamByKey returns the team that owns a key.
func (c *Config) TeamByKey(key string) (*Team, bool) {
	t, ok := c.teamsByKey[key]
	return t, ok
}

// RequiresKey reports whether requests need a key at all, see TeamsOnly.
func (c *Config) RequiresKey() bool { return c.requiresKey }
