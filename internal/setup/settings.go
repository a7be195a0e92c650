// Package setup reads the settings of the router daemon from one TOML file.
package setup

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Settings are the settings of one router.
type Settings struct {
	Router   ident.RouterID // a replaced router takes a new name
	Zone     ident.ZoneID
	Listen   string   // host:port for callers
	Admin    string   // host:port for operators and metrics
	Peer     string   // host:port for other routers
	Platform string   // URL of the platform's object API
	Rater    string   // URL of the service that rates answers; empty for none
	Peers    []string // host:port of routers to ask when the platform is away at the start
	Log      Log
	TLS      TLS
	Trace    Trace
	Limits   Limits
	Journal  Journal
	Times    Times
	Token    Token
}

// Log says how much is logged.
type Log struct {
	Level string // debug, info, warn or error
}

// TLS names the PEM files for the admin and peer links; all are empty when the
// links are plain.
type TLS struct {
	Cert string
	Key  string
	CA   string // checks the other side's certificate
}

// Trace says where spans go; either may be empty.
type Trace struct {
	File string // path of a file that spans are appended to
	OTLP string // host:port of an OTLP collector over gRPC
}

// Limits bound what one caller may cost.
type Limits struct {
	Body    int           // bytes of a request's body
	Header  int           // bytes of a request's headers
	Streams int           // answers streamed at once
	Idle    time.Duration // a connection without progress is closed after it
}

// Journal shapes the journal of claims, bills and sessions.
type Journal struct {
	Shards   int           // equal on all routers
	Interval time.Duration // between group commits
	Compact  time.Duration // between compactions
}

// Times are the intervals and timeouts of the control thread.
type Times struct {
	Heartbeat time.Duration // between heartbeats to peers
	Report    time.Duration // between load reports from endpoints
	Stale     time.Duration // age at which an unconfirmed configuration stops serving
	Drain     time.Duration // longest wait for streams at a planned stop
	Watch     time.Duration // longest wait of one watch of the platform
}

// Token seals what callers hand back.
type Token struct {
	Key string // 64 hex digits, equal on all routers
}

// Default gives the settings that hold where the file says nothing.
func Default() Settings {
	return Settings{
		Log:     Log{Level: "info"},
		Limits:  Limits{Body: 4 << 20, Header: 32 << 10, Streams: 10000, Idle: time.Minute},
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
