package serve

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/internal/metric"
	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// deathTimeout bounds how long an answer waits for the home of a body to
	// learn that an endpoint broke under it.
	deathTimeout = 200 * time.Millisecond
	// crashHold is how long a permit is kept after the endpoint broke.
	crashHold = 1500 * time.Millisecond
)

var (
	// errPermit means that a permit ran out before the attempt was sent.
	errPermit = errors.New("permit for a cold endpoint has run out")
	// errWithdrawn means that the release was withdrawn after its choice.
	errWithdrawn = errors.New("release was withdrawn")
)

// try is one attempt in flight.
type try struct {
	server   *Server
	request  flow.Request
	action   flow.Dispatch
	body     []byte
	blocks   []uint64
	cancel   context.CancelFunc
	started  time.Time
	first    time.Duration // time to the first token, 0 before it
	final    bool
	died     bool // the endpoint broke under it
	deadline time.Time
}

// dispatch sends an attempt in a goroutine of its own.
func (r *run) dispatch(ctx context.Context, a flow.Dispatch) {
	ctx, cancel := context.WithCancel(ctx)
	t := &try{
		server:   r.server,
		request:  r.request,
		action:   a,
		body:     r.request.Body,
		blocks:   r.blocks,
		cancel:   cancel,
		started:  r.server.Now(),
		deadline: r.request.Deadline,
	}
	r.tries[a.Attempt] = t
	r.server.Table.Start(t.started, a.Endpoint.Spec.ID)
	r.pending++
	go func() {
		defer cancel()
		ended := t.run(ctx, r.post)
		r.put(message{event: ended, answer: true})
	}()
}

func (r *run) cancel(attempt ident.AttemptID) {
	if t, ok := r.tries[attempt]; ok {
		t.cancel()
	}
}

// run sends the attempt and tells everyone what came of it.
func (t *try) run(ctx context.Context, post func(flow.Event) bool) flow.AttemptEnded {
	spec := t.action.Endpoint.Spec
	ctx, span := t.server.Tracer.Start(ctx, "endpoint",
		attribute.String("endpoint", string(spec.ID)),
		attribute.String("zone", string(spec.Zone)),
		attribute.String("attempt", string(t.action.Attempt)),
		attribute.String("release", releaseName(t.action.Release)))
	defer span.End()
	ended := flow.AttemptEnded{Attempt: t.action.Attempt}
	if t.action.Cold {
		defer t.release()
		stop := t.boundByPermit(ctx)
		defer stop()
	}
	if err := t.mayNotSend(); err != nil {
		ended.Error = errors.WithMessage(engine.ErrNotSent, err.Error())
	} else {
		ended.Answer, ended.Error = t.send(ctx, post)
	}
	t.conclude(ctx, ended.Error)
	return ended
}

// mayNotSend looks again, right before the sending, at what may have changed
// since the endpoint was chosen.
func (t *try) mayNotSend() error {
	if t.request.Service == "" && !t.server.View().Allowed(t.action.Release) {
		return errWithdrawn
	}
	if t.action.Cold && !t.server.Permits.Check(t.server.Now(), t.action.Attempt) {
		return errPermit
	}
	return nil
}

// release gives the permit back. After a crash it is kept until every router
// has heard of it, so that no other suspect is sent to the dead endpoint and
// blamed for its death.
func (t *try) release() {
	give := func() { t.server.Permits.Release(t.action.Endpoint, t.action.Attempt) }
	if t.died {
		time.AfterFunc(crashHold, give)
		return
	}
	give()
}

// boundByPermit cancels the attempt when its permit ends.
func (t *try) boundByPermit(ctx context.Context) (stop func()) {
	ending := t.server.Permits.Ending(t.action.Attempt)
	done := make(chan struct{})
	go func() {
		select {
		case <-ending:
			t.cancel()
		case <-done:
		case <-ctx.Done():
		}
	}()
	return func() { close(done) }
}

func (t *try) send(ctx context.Context, post func(flow.Event) bool) (engine.Answer, error) {
	spec := t.action.Endpoint.Spec
	run := engine.Run{
		Address:  spec.Address,
		Attempt:  t.action.Attempt,
		Request:  t.request.Key.Request,
		Release:  t.action.Release,
		Body:     t.body,
		Path:     t.request.Path,
		Key:      t.request.Idempotency,
		Resume:   t.action.ResumeFrom,
		Priority: t.request.Team.Priority,
		Deadline: t.deadline,
		Trace:    t.server.Tracer.Header(ctx),
	}
	if t.request.Service != "" {
		return t.server.Engine.Call(ctx, run)
	}
	body, err := engine.ChatBody(t.body, t.action.Release)
	if err != nil {
		return engine.Answer{}, errors.WithMessage(engine.ErrRejected, err.Error())
	}
	run.Body = body
	t.server.Prefixes.RecordSent(spec.ID, t.blocks)
	return engine.Answer{}, t.server.Engine.Stream(ctx, run, func(f engine.Frame) error {
		return t.frame(f, post)
	})
}

// errOver ends a stream whose request is over.
var errOver = errors.New("request is over")

func (t *try) frame(f engine.Frame, post func(flow.Event) bool) error {
	if t.first == 0 {
		now := t.server.Now()
		t.first = now.Sub(t.started)
		t.server.Table.FirstToken(now, t.action.Endpoint.Spec.ID, t.action.Expected, t.first)
		t.server.Metrics.Observe("first_token_micros", t.first,
			metric.Label{Name: "model", Value: string(t.action.Release.Model)},
			metric.Label{Name: "version", Value: string(t.action.Release.Version)})
	}
	t.final = t.final || f.Final
	if !post(flow.FrameReceived{Frame: f}) {
		return errOver
	}
	return nil
}

// conclude tells the endpoint table, the body's home and the control thread
// how the attempt ended. A death is told before the caller hears of it, so
// that the caller's repeat is known for one on every router.
func (t *try) conclude(ctx context.Context, err error) {
	spec := t.action.Endpoint.Spec
	cancelled := ctx.Err() != nil && err != nil
	t.server.Table.End(t.server.Now(), spec.ID, tableOutcome(err, cancelled))
	died := err != nil && !cancelled && isBroken(err)
	t.died = died
	t.endGuard(ctx, err == nil, died)
	if cancelled {
		return
	}
	t.server.Tell(ctrl.AttemptEnded{
		Endpoint:         spec.ID,
		Boot:             t.action.Endpoint.Report.Boot,
		Release:          t.action.Release,
		Team:             t.request.Key.Team,
		Fingerprint:      t.request.Fingerprint,
		Outcome:          roll.Outcome{Failed: died, FirstToken: t.first},
		Latency:          t.first,
		ExpectedLatency:  t.action.Expected,
		ConnectionBroken: died,
		IsEvidence:       t.request.Service == "" && (err == nil || died),
	})
	if err != nil {
		t.server.Metrics.Count("attempts_failed_total", 1, metric.Label{Name: "endpoint", Value: string(spec.ID)})
		t.server.Log.Info("attempt failed",
			zap.String("request", t.request.Key.String()),
			zap.String("attempt", string(t.action.Attempt)),
			zap.String("endpoint", string(spec.ID)),
			zap.Error(err))
	}
}

func (t *try) endGuard(ctx context.Context, whole, died bool) {
	ended := poison.ClaimEnd{Fingerprint: t.request.Fingerprint, Attempt: t.action.Attempt, Complete: whole}
	ctx = context.WithoutCancel(ctx)
	if !died {
		go t.tellHome(ctx, ended)
		return
	}
	ended.Crashed = &poison.Incarnation{Endpoint: t.action.Endpoint.Spec.ID, BootID: t.action.Endpoint.Report.Boot}
	t.tellHome(ctx, ended)
}

func (t *try) tellHome(ctx context.Context, ended poison.ClaimEnd) {
	ctx, cancel := context.WithTimeout(ctx, deathTimeout)
	defer cancel()
	t.server.Guards.End(ctx, ended)
}

func tableOutcome(err error, cancelled bool) route.Outcome {
	switch {
	case err == nil:
		return route.OutcomeDone
	case cancelled:
		return route.OutcomeCancelled
	case errors.Is(err, engine.ErrOverloaded):
		return route.OutcomeOverloaded
	default:
		return route.OutcomeFailed
	}
}

// isBroken tells whether the endpoint may have died while it ran the request.
func isBroken(err error) bool {
	return errors.Is(err, engine.ErrBroken)
}
