// Package serve runs requests: it carries out what the flow of each request
// decides, and tells the flow what came of it.
package serve

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/internal/metric"
	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/internal/retry"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/sess"
	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/internal/trace"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Journal keeps what must outlast this router.
type Journal interface {
	Claim(ctx context.Context, claim shard.Claim) (shard.Result, error)
	Finish(ctx context.Context, outcome shard.Outcome, bill shard.Bill) error
	Bill(ctx context.Context, bill shard.Bill) error
	Bind(ctx context.Context, bind shard.Binding) (ident.VersionID, error)
	Release(ctx context.Context, release shard.Release) error
}

// Permits gives slots on cold endpoints.
type Permits interface {
	// Ask asks the steward of the endpoint's zone for a slot, or for being the
	// endpoint's only suspect of crashes, and fails with *Denied if that cannot
	// be now.
	Ask(ctx context.Context, endpoint *fleet.Endpoint, attempt ident.AttemptID, alone bool) error
	// Check tells, right before sending, whether the attempt may still be sent.
	Check(now time.Time, attempt ident.AttemptID) bool
	// Ending gives a channel that is closed when the attempt must be cancelled.
	Ending(attempt ident.AttemptID) <-chan struct{}
	// Release gives the slot back.
	Release(endpoint *fleet.Endpoint, attempt ident.AttemptID)
}

// Guards asks the home routers of bodies whether these may run.
type Guards interface {
	// Claim asks before a run.
	Claim(ctx context.Context, claim poison.Claim) poison.Answer
	// End tells of the end of a claimed run; it returns when the home knows.
	End(ctx context.Context, ended poison.ClaimEnd)
}

// Copies keeps records at peers while the journal can't make them durable.
type Copies interface {
	// Copy returns when at least one peer holds the records, or fails.
	Copy(ctx context.Context, records []shard.Record) error
}

// Rater rates answers.
type Rater interface {
	Rate(ctx context.Context, answer Answer) (ident.Quality, error)
}

// Answer is what a rater rates.
type Answer struct {
	Request ident.RequestID `json:"request"`
	Team    ident.TeamID    `json:"team"`
	Class   ident.ClassID   `json:"class"`
	Release string          `json:"release"`
	Prompt  string          `json:"prompt"`
	Answer  string          `json:"answer"`
}

// Parts are what a server works with.
type Parts struct {
	Self     fleet.Router
	View     func() *ctrl.View
	Tell     func(ctrl.Event)
	Table    *route.LoadTracker
	Prefixes *route.PrefixIndex
	Gates    *Gates
	Journal  Journal
	Copies   Copies
	Engine   engine.Engine
	Permits  Permits
	Guards   Guards
	Rater    Rater // nil for none
	Sealer   *sess.Sealer
	Cache    *sess.Cache
	Budget   *retry.Budget
	Tracer   *trace.Tracer
	Metrics  *metric.Set
	Now      func() time.Time
	Log      *zap.Logger
}

// Server runs requests. It is safe for use by many goroutines.
type Server struct {
	Parts
	incarnation uint64 // makes attempt ids unique over this router's lives
	serial      atomic.Uint64
	open        atomic.Int64
	raterDown   atomic.Int64 // Unix nanoseconds until which the rater counts as down
}

// New makes a server; started is the time at which this router's life began.
func New(parts Parts, started time.Time) *Server {
	return &Server{Parts: parts, incarnation: uint64(started.UnixNano())}
}

// Open gives the number of requests in progress.
func (s *Server) Open() int {
	return int(s.open.Load())
}

// Run answers one request; see front.Runner.
func (s *Server) Run(ctx context.Context, request flow.Request, sink flow.Sink) flow.Result {
	salt := string(request.Model) + "/" + string(request.Service) + "/" + request.Path
	request.Fingerprint = poison.Fingerprint(salt, request.Body)
	r := newRun(s, request, sink)
	started := s.Now()
	ctx, span := s.Tracer.Start(s.Tracer.ContextFromHeader(ctx, request.Trace), "front", requestAttributes(request)...)
	defer span.End()
	s.open.Add(1)
	go r.loop(ctx)
	result := <-r.result
	close(r.gone)
	s.finish(request, result, s.Now().Sub(started))
	endSpan(span, result.Refusal)
	return result
}

// finish counts and logs a finished request.
func (s *Server) finish(request flow.Request, result flow.Result, took time.Duration) {
	outcome := "ok"
	if result.Refusal != nil {
		outcome = string(result.Refusal.Code)
	}
	name := "chat"
	if request.Service != "" {
		name = "service"
	}
	s.Metrics.Request(name, request.Key.Team, result.Release, outcome)
	s.Metrics.Observe("request_micros", took, metric.Label{Name: "route", Value: name})
	s.Log.Info("request finished",
		zap.String("team", string(request.Key.Team)),
		zap.String("request", string(request.Key.Request)),
		zap.String("release", releaseName(result.Release)),
		zap.String("outcome", outcome),
		zap.Int64("cost", int64(result.Cost)),
		zap.Duration("took", took))
}

// prefix gives the beginning of a new request's attempt ids.
func (s *Server) prefix() string {
	n := s.serial.Add(1)
	return string(s.Self.ID) + "." + strconv.FormatUint(s.incarnation, 36) + "." + strconv.FormatUint(n, 36) + "."
}

func releaseName(r ident.Release) string {
	if r.Model == "" {
		return ""
	}
	return r.String()
}
