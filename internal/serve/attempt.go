package serve

import (
	"context"
	"net/http"
	"sync/atomic"
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
)

const (
	// crashReportTimeout limits how long a response is delayed while the owner of the
	// body is told that an endpoint crashed during the attempt.
	crashReportTimeout = 200 * time.Millisecond
	// crashPermitHold is how long a permit is held after a crash of the endpoint.
	crashPermitHold = 1500 * time.Millisecond
)

var (
	// errPermitExpired is returned if the permit expired before the attempt was sent.
	errPermitExpired = errors.New("permit for a cold endpoint has expired")
	// errWithdrawn is returned if the release was withdrawn after it was chosen.
	errWithdrawn = errors.New("release was withdrawn")
)

// attempt is an attempt in progress.
type attempt struct {
	server     *Server
	request    flow.Request
	action     flow.Dispatch
	body       []byte
	blocks     []uint64
	cancel     context.CancelFunc
	started    time.Time
	firstToken time.Duration // time to the first token, 0 until it arrives
	final      bool
	crashed    bool        // the endpoint may have crashed during the attempt
	superseded atomic.Bool // another attempt answers the request
	deadline   time.Time
}

// dispatch starts an attempt in its own goroutine.
func (r *run) dispatch(ctx context.Context, a flow.Dispatch) {
	ctx, cancel := context.WithCancel(ctx)
	t := &attempt{
		server:   r.server,
		request:  r.request,
		action:   a,
		body:     r.request.Body,
		blocks:   r.blocks,
		cancel:   cancel,
		started:  r.server.Now(),
		deadline: r.request.Deadline,
	}
	r.attempts[a.Attempt] = t
	r.server.Loads.Start(t.started, a.Endpoint.Spec.ID)
	r.pendingReplies++
	go func() {
		defer cancel()
		ended := t.run(ctx, r.post)
		r.enqueue(message{event: ended, reply: true})
	}()
}

func (r *run) cancel(a flow.Cancel) {
	if t, ok := r.attempts[a.Attempt]; ok {
		t.superseded.Store(a.Superseded)
		t.cancel()
	}
}

// run sends the attempt, reports how it ended and returns the result.
func (t *attempt) run(ctx context.Context, post func(flow.Event) bool) flow.AttemptEnded {
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
		stop := t.cancelOnExpiry(ctx)
		defer stop()
	}
	if err := t.checkSendable(); err != nil {
		ended.Error = errors.WithMessage(engine.ErrNotSent, err.Error())
	} else {
		ended.Answer, ended.Error = t.send(ctx, post)
	}
	t.reportEnd(ctx, ended)
	return ended
}

// checkSendable returns an error if the release was withdrawn or the permit expired
// after the endpoint was selected. It is called directly before sending.
func (t *attempt) checkSendable() error {
	if t.request.Service == "" && !t.server.View().Allowed(t.action.Release) {
		return errWithdrawn
	}
	if t.action.Cold && !t.server.Permits.Valid(t.server.Now(), t.action.Attempt) {
		return errPermitExpired
	}
	return nil
}

// release returns the permit. After a crash it is held until every router knows of
// the crash, so that no other suspected body is sent to the crashed endpoint and
// blamed for the crash.
func (t *attempt) release() {
	release := func() { t.server.Permits.Release(t.action.Endpoint, t.action.Attempt) }
	if t.crashed {
		time.AfterFunc(crashPermitHold, release)
		return
	}
	release()
}

// cancelOnExpiry cancels the attempt when its permit expires, until stop is called.
func (t *attempt) cancelOnExpiry(ctx context.Context) (stop func()) {
	expired := t.server.Permits.Expired(t.action.Attempt)
	done := make(chan struct{})
	go func() {
		select {
		case <-expired:
			t.cancel()
		case <-done:
		case <-ctx.Done():
		}
	}()
	return func() { close(done) }
}

func (t *attempt) send(ctx context.Context, post func(flow.Event) bool) (engine.Answer, error) {
	spec := t.action.Endpoint.Spec
	request := engine.Attempt{
		Address:        spec.Address,
		ID:             t.action.Attempt,
		RequestID:      t.request.Key.Request,
		Release:        t.action.Release,
		Body:           t.body,
		Path:           t.request.Path,
		IdempotencyKey: t.request.Idempotency,
		ResumeFrom:     t.action.ResumeFrom,
		Priority:       t.request.Team.Priority,
		Deadline:       t.deadline,
		TraceParent:    t.server.Tracer.Header(ctx),
	}
	if t.request.Service != "" {
		return t.server.Engine.Call(ctx, request)
	}
	body, err := engine.ChatBody(t.body, t.action.Release)
	if err != nil {
		return engine.Answer{}, errors.WithMessage(engine.ErrRejected, err.Error())
	}
	request.Body = body
	t.server.Prefixes.RecordSent(spec.ID, t.blocks)
	return engine.Answer{}, t.server.Engine.Stream(ctx, request, func(f engine.Frame) error {
		return t.receiveFrame(f, post)
	})
}

// errRequestEnded ends a stream whose request has ended.
var errRequestEnded = errors.New("request has ended")

func (t *attempt) receiveFrame(f engine.Frame, post func(flow.Event) bool) error {
	if t.firstToken == 0 {
		now := t.server.Now()
		t.firstToken = now.Sub(t.started)
		t.server.Loads.FirstToken(now, t.action.Endpoint.Spec.ID, t.action.Expected, t.firstToken)
		t.server.Metrics.Observe("first_token_micros", t.firstToken,
			metric.Label{Name: "model", Value: string(t.action.Release.Model)},
			metric.Label{Name: "version", Value: string(t.action.Release.Version)})
	}
	t.final = t.final || f.Final
	if !post(flow.FrameReceived{Frame: f}) {
		return errRequestEnded
	}
	return nil
}

// reportEnd reports how the attempt ended to the load tracker, the owner of the body
// and the control thread. A crash is reported to the owner before the caller is
// answered, so that a retry by the caller is treated as suspect on every router.
func (t *attempt) reportEnd(ctx context.Context, ended flow.AttemptEnded) {
	spec, err := t.action.Endpoint.Spec, ended.Error
	// An endpoint may fail with an error before it runs the body.
	complete := err == nil && ended.Answer.Status < http.StatusInternalServerError
	cancelled := ctx.Err() != nil && err != nil
	t.server.Loads.End(t.server.Now(), spec.ID, loadOutcome(err, cancelled))
	crashed := err != nil && !cancelled && mayHaveCrashed(err)
	t.crashed = crashed
	t.endClaim(ctx, complete, crashed)
	if cancelled {
		if !t.superseded.Load() {
			end := t.runEnd(false, false)
			end.Withdrawn = true
			t.server.SendEvent(ctrl.RunWithdrawn{Run: end})
		}
		return
	}
	t.server.SendEvent(ctrl.AttemptEnded{
		Endpoint:         spec.ID,
		Release:          t.action.Release,
		Team:             t.request.Key.Team,
		Run:              t.runEnd(complete, crashed),
		Outcome:          roll.Outcome{Failed: crashed, FirstToken: t.firstToken},
		Latency:          t.firstToken,
		ExpectedLatency:  t.action.Expected,
		ConnectionBroken: crashed,
		IsEvidence:       t.request.Service == "" && (err == nil || crashed),
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

// runEnd describes the end of the run, for the table of parts of prompts that crash
// endpoints.
func (t *attempt) runEnd(complete, crashed bool) poison.RunEnd {
	e := poison.RunEnd{
		Subject: t.request.Subject(), Incarnation: t.incarnation(), Started: t.started, Broke: crashed, Complete: complete,
	}
	if t.firstToken > 0 {
		e.Began = t.started.Add(t.firstToken)
	}
	return e
}

func (t *attempt) incarnation() poison.Incarnation {
	return poison.Incarnation{Endpoint: t.action.Endpoint.Spec.ID, BootID: t.action.Endpoint.Report.Boot}
}

func (t *attempt) endClaim(ctx context.Context, complete, crashed bool) {
	end := poison.ClaimEnd{Fingerprint: t.request.Fingerprint, Attempt: t.action.Attempt, Complete: complete}
	ctx = context.WithoutCancel(ctx)
	if !crashed {
		go t.sendClaimEnd(ctx, end)
		return
	}
	crash := t.incarnation()
	end.Crashed = &crash
	t.sendClaimEnd(ctx, end)
}

func (t *attempt) sendClaimEnd(ctx context.Context, end poison.ClaimEnd) {
	ctx, cancel := context.WithTimeout(ctx, crashReportTimeout)
	defer cancel()
	t.server.BodyOwners.End(ctx, end)
}

func loadOutcome(err error, cancelled bool) route.Outcome {
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

// mayHaveCrashed reports whether the endpoint may have crashed during the request.
func mayHaveCrashed(err error) bool {
	return errors.Is(err, engine.ErrConnectionBroken)
}
