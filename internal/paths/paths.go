// Package paths holds the configuration of pass-through routes: which service
// answers which host and path, for which teams, within which limits.
package paths

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// RouteID names a route.
type RouteID string

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of routes.
const (
	KindOnce       Kind = iota // at most one run for each request
	KindIdempotent             // may run more than once
	KindStream                 // answered by an event stream
)

// String gives the kind as it stands in logs.
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

// Route sends the requests of one host and path prefix to services.
type Route struct {
	ID            RouteID
	Host          string // without a port, in lower case
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration // longest time to the end of the answer, 0 for none
	TargetLatency time.Duration // time to the answer, or to a stream's first event, that earns its full value
	MaxEventGap   time.Duration // longest pause between events that is still on time, 0 for none
	Priority      int           // 0 is the most urgent
	Split         []WeightedService
	MaxAttempts   int // servers that one request may be sent to
	Anonymous     bool
	Affinity      bool             // requests tell the parts of their prompt
	Resume        bool             // a stream may go on elsewhere after its last event
	Models        []ident.ModelID  // the router chooses among these, smallest first
	Regions       []ident.RegionID // that may run the requests, empty for all
}

// Weighted is one service's share of a route.
type WeightedService struct {
	Service ident.ServiceID
	Weight  int
}

// Repeatable tells whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resume
}

// Service picks the service of a request by its seed, in proportion to the
// weights. It gives "" if the route names none.
func (r *Route) PickService(seed uint64) ident.ServiceID {
	total := 0
	for _, w := range r.Split {
		total += w.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(seed % uint64(total))
	for _, w := range r.Split {
		if at < w.Weight {
			return w.Service
		}
		at -= w.Weight
	}
	return ""
}

// Service is a group of endpoints that answer alike.
type Service struct {
	ID             ident.ServiceID
	MaxConnections int           // that one endpoint accepts from all callers
	ColdStart      time.Duration // that an endpoint stays cold after its start
	ColdRate       float64       // requests a second that a cold endpoint bears, 0 if it does not matter
	CacheTokens    ident.Tokens  // memory of one model engine, 0 for a plain service
	Slots          int           // requests that an engine runs at once
	EventTokens    int           // tokens of one event
	Models         []ident.ModelID
	Costs          map[ident.ModelID]float64 // price of 1,000 generated tokens
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int           // bytes of a request's head
	MaxBodyBytes   int           // bytes of a request's body
	HeaderTimeout  time.Duration // to send the head
	IdleTimeout    time.Duration // that a connection may stay unused
}

// Team is a group of callers with keys of its own.
type Team struct {
	ID       ident.TeamID
	Keys     []string
	Priority *int             // in place of the route's, if set
	Regions  []ident.RegionID // that may run its requests, empty for all
}

// Config is one whole configuration. It is immutable once made.
type Config struct {
	Generation ident.Generation
	Services   map[ident.ServiceID]*Service
	Limits     Limits
	routes     map[string][]*Route // by host, the longest prefix first
	teams      map[string]*Team    // by key
	serves     map[ident.ServiceID][]RouteID
	count      int
}

// New makes a configuration of its parts.
func New(generation ident.Generation, routes []*Route, services []*Service, teams []*Team, limits Limits) *Config {
	c := &Config{
		Generation: generation,
		Services:   make(map[ident.ServiceID]*Service, len(services)),
		Limits:     limits,
		routes:     map[string][]*Route{},
		teams:      map[string]*Team{},
		serves:     map[ident.ServiceID][]RouteID{},
		count:      len(routes),
	}
	for _, s := range services {
		c.Services[s.ID] = s
	}
	for _, r := range routes {
		c.routes[r.Host] = append(c.routes[r.Host], r)
		for _, w := range r.Split {
			c.serves[w.Service] = append(c.serves[w.Service], r.ID)
		}
	}
	for _, l := range c.routes {
		sort.SliceStable(l, func(i, j int) bool { return len(l[i].Prefix) > len(l[j].Prefix) })
	}
	for _, l := range c.serves {
		slices.Sort(l)
	}
	for _, t := range teams {
		for _, k := range t.Keys {
			c.teams[k] = t
		}
	}
	return c
}

// Routes gives the number of routes.
func (c *Config) RouteCount() int { return c.count }

// RoutesOf gives the routes that send requests to a service, sorted.
func (c *Config) RoutesOf(service ident.ServiceID) []RouteID { return c.serves[service] }

// Match finds the route of a host, in lower case and without a port, with the
// longest prefix that begins the path.
func (c *Config) Match(host, path string) (*Route, bool) {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Team finds the team that holds a key.
func (c *Config) TeamByKey(key string) (*Team, bool) {
	t, ok := c.teams[key]
	return t, ok
}

// Keyed tells whether requests need a key at all.
func (c *Config) RequiresKey() bool { return len(c.teams) > 0 }
