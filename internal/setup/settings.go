// Package setup loads the settings of the router daemon from a TOML file.
package setup

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Settings holds the settings of one router.
type Settings struct {
	Router   ident.RouterID // the replacement of a router needs a new name
	Zone     ident.ZoneID
	Listen   string   // host:port for callers
	Admin    string   // host:port for operators and metrics
	Peer     string   // host:port for other routers
	Platform string   // URL of the platform's object API
	Rater    string   // URL of the service that rates answers; empty for none
	Peers    []string // host:port of routers to ask if the platform is unavailable at startup
	Log      Log
	TLS      TLS
	Trace    Trace
	Limits   Limits
	Journal  Journal
	Times    Times
	Token    Token
}

// Log holds the logging settings.
type Log struct {
	Level string // debug, info, warn or error
}

// TLS holds the paths of the PEM files for admin and peer connections. All are
// empty if the connections do not use TLS.
type TLS struct {
	Cert string
	Key  string
	CA   string // verifies the other side's certificate
}

// Trace holds the destinations of spans; an empty one is not used.
type Trace struct {
	File string // path of the file to which spans are appended
	OTLP string // host:port of an OTLP collector over gRPC
}

// Limits bounds what callers' requests and connections may use.
type Limits struct {
	Body    int           // bytes of a request's body
	Header  int           // bytes of a request's headers
	Streams int           // concurrently streamed responses
	Idle    time.Duration // after which a connection without progress is closed

	// Memory bounds what callers and peers can make the router hold, 0 for no bound. The
	// two below then apply too.
	Memory      float64 // of the machine, in MB
	Descriptors float64 // file descriptors that the process may have open
	Share       float64 // processor cores that the process may use
}

// Journal holds the settings of the journal of claims, bills and sessions.
type Journal struct {
	Shards   int           // must be equal on all routers
	Interval time.Duration // between group commits
	Compact  time.Duration // between compactions
}

// Times are the intervals and timeouts of the control loop.
type Times struct {
	Heartbeat time.Duration // between heartbeats to peers
	Report    time.Duration // between load reports from endpoints
	Stale     time.Duration // age at which a router with an unconfirmed configuration stops serving
	Drain     time.Duration // maximum wait for open streams during a graceful shutdown
	Watch     time.Duration // maximum duration of one watch call to the platform
}

// Token holds the key that protects session tokens, which callers send back.
type Token struct {
	Key string // 64 hex digits; must be equal on all routers
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Log:     Log{Level: "info"},
		Limits:  Limits{Body: 4 << 20, Header: 32 << 10, Streams: 10000, Idle: time.Minute, Descriptors: 65536, Share: 1},
		Journal: Journal{Shards: 16, Interval: 80 * time.Millisecond, Compact: time.Minute},
		Times: Times{
			Heartbeat: 500 * time.Millisecond,
			Report:    250 * time.Millisecond,
			Stale:     4 * time.Second,
			Drain:     10 * time.Minute,
			Watch:     10 * time.Second,
		},
	}
}
