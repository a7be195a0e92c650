// Package serve runs requests. It drives the state machine of package flow for each
// request: it executes the actions and returns their results as events.
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

// Journal stores the records that must survive this router.
type Journal interface {
	Claim(ctx context.Context, claim shard.Claim) (shard.Result, error)
	Finish(ctx context.Context, outcome shard.Outcome, bill shard.Bill) error
	Bill(ctx context.Context, bill shard.Bill) error
	Bind(ctx context.Context, binding shard.Binding) (ident.VersionID, error)
	Release(ctx context.Context, release shard.Release) error
}

// Permits manages slots on cold endpoints.
type Permits interface {
	// Acquire requests a slot from the steward of the endpoint's zone. If isolated is
	// set, no other attempt suspected of crashes may run on the endpoint at the same
	// time. It returns a *PermitDeniedError if the slot is denied now.
	Acquire(ctx context.Context, endpoint *fleet.Endpoint, attempt ident.AttemptID, isolated bool) error
	// Valid reports whether the attempt may still be sent. It is called directly
	// before sending.
	Valid(now time.Time, attempt ident.AttemptID) bool
	// Expired returns a channel that is closed when the attempt must be cancelled.
	Expired(attempt ident.AttemptID) <-chan struct{}
	// Release returns the slot.
	Release(endpoint *fleet.Endpoint, attempt ident.AttemptID)
}

// BodyOwners calls the routers that own the fingerprints of bodies, since some
// bodies crash endpoints; see package poison.
type BodyOwners interface {
	// Claim asks whether a body may run.
	Claim(ctx context.Context, claim poison.Claim) poison.Answer
	// End reports the end of a claimed run. It returns when the owner has received
	// the report.
	End(ctx context.Context, ended poison.ClaimEnd)
}

// Copier copies records to peers while the journal cannot make them durable.
type Copier interface {
	// Copy returns when at least one peer has stored the records, or an error if none
	// has.
	Copy(ctx context.Context, records []shard.Record) error
}

// Rater rates answers.
type Rater interface {
	Rate(ctx context.Context, request RatingRequest) (ident.Quality, error)
}

// RatingRequest is an answer to be rated, with its request.
type RatingRequest struct {
	Request ident.RequestID `json:"request"`
	Team    ident.TeamID    `json:"team"`
	Class   ident.ClassID   `json:"class"`
	Release string          `json:"release"`
	Prompt  string          `json:"prompt"`
	Answer  string          `json:"answer"`
}

// Dependencies are the components that a Server uses.
type Dependencies struct {
	Self         fleet.Router
	View         func() *ctrl.View
	SendEvent    func(ctrl.Event)
	Loads        *route.LoadTracker
	Prefixes     *route.PrefixIndex
	Gates        *AdmissionGates
	Journal      Journal
	Copier       Copier
	Engine       engine.Engine
	Permits      Permits
	BodyOwners   BodyOwners
	Rater        Rater // nil if there is none
	Sealer       *sess.Sealer
	SessionCache *sess.Cache
	RetryBudget  *retry.Budget
	Tracer       *trace.Tracer
	Metrics      *metric.Set
	Now          func() time.Time
	Log          *zap.Logger
}

// Server runs requests. It is safe for concurrent use.
type Server struct {
	Dependencies
	incarnation    uint64 // start time, which makes attempt ids unique across restarts
	requestCount   atomic.Uint64
	inProgress     atomic.Int64
	raterDownUntil atomic.Int64 // Unix nanoseconds until which the rater counts as down
}

// New returns a Server. The time of the router's start makes its attempt ids unique.
func New(dependencies Dependencies, started time.Time) *Server {
	return &Server{Dependencies: dependencies, incarnation: uint64(started.UnixNano())}
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int {
	return int(s.inProgress.Load())
}

// Run implements front.Runner.
func (s *Server) Run(ctx context.Context, request flow.Request, sink flow.Sink) flow.Result {
	salt := string(request.Model) + "/" + string(request.Service) + "/" + request.Path
	request.Fingerprint = poison.Fingerprint(salt, request.Body)
	request.Parts = poison.BodyParts(request.Body)
	if request.Memory != nil {
		request.Memory.Retain() // until the run ends, which may be after the caller has left
	}
	r := newRun(s, request, sink)
	started := s.Now()
	ctx, span := s.Tracer.Start(s.Tracer.ContextFromHeader(ctx, request.Trace), "front", requestAttributes(request)...)
	defer span.End()
	s.inProgress.Add(1)
	go r.loop(ctx)
	result := <-r.result
	close(r.returned)
	s.logFinished(request, result, s.Now().Sub(started))
	endSpan(span, result.Refusal)
	return result
}

// logFinished records the metrics of a finished request and logs it.
func (s *Server) logFinished(request flow.Request, result flow.Result, took time.Duration) {
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

// attemptPrefix returns the prefix of the attempt ids of a new request.
func (s *Server) attemptPrefix() string {
	n := s.requestCount.Add(1)
	return string(s.Self.ID) + "." + strconv.FormatUint(s.incarnation, 36) + "." + strconv.FormatUint(n, 36) + "."
}

func releaseName(r ident.Release) string {
	if r.Model == "" {
		return ""
	}
	return r.String()
}
