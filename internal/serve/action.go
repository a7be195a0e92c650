package serve

import (
	"context"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/casc"
	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/internal/metric"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// execute executes one action and returns the events that answer it immediately.
func (r *run) execute(ctx context.Context, a flow.Action) []flow.Event {
	switch a := a.(type) {
	case flow.RequestAdmission:
		return r.admit()
	case flow.PlanModels:
		return r.plan()
	case flow.ResolveVersion:
		r.resolveVersion(ctx, a.Model)
	case flow.ClaimKey:
		r.claim(ctx)
	case flow.ReleaseKey:
		r.releaseClaim(ctx)
	case flow.CheckBody:
		r.checkBody(ctx, a)
	case flow.SelectEndpoint:
		return r.selectEndpoint(ctx, a)
	case flow.ReleaseSlot:
		r.releaseSlot(a)
	case flow.Dispatch:
		r.dispatch(ctx, a)
	case flow.Cancel:
		r.cancel(a)
	case flow.OpenResponse:
		return r.forward(func() error { return r.sink.Open(a.Meta) })
	case flow.WriteText:
		return r.forward(func() error { return r.sink.Text(a.Text) })
	case flow.RateAnswer:
		r.rate(ctx, a)
	case flow.ReportAnswer:
		r.report(ctx, a)
	case flow.RecordBill:
		r.recordBill(ctx, a)
	case flow.SetTimer:
		time.AfterFunc(a.After, func() { r.post(flow.TimerFired{Timer: a.Timer}) })
	case flow.Reply:
		r.result <- a.Result
	}
	return nil
}

// forward calls write, which writes to the caller, unless the caller has
// disconnected.
func (r *run) forward(write func() error) []flow.Event {
	select {
	case <-r.returned:
		return nil
	default:
	}
	if r.sinkFailed {
		return nil
	}
	if err := write(); err != nil {
		r.sinkFailed = true
		return []flow.Event{flow.CallerGone{}}
	}
	return nil
}

// price returns what the team pays for an answer.
func (r *run) price(release ident.Release, usage engine.Usage) ident.Micros {
	if r.request.Service != "" {
		if service, ok := r.view.Config.Services[r.request.Service]; ok {
			return service.Price
		}
		return 0
	}
	model, ok := r.view.Config.Models[release.Model]
	if !ok {
		return 0
	}
	const tokensPerPrice = 1000
	tokens := ident.Micros(usage.Prompt + usage.Answer)
	return (tokens*model.Price + tokensPerPrice - 1) / tokensPerPrice
}

// rate requests the rating of a withheld answer and decides whether to forward it
// or to escalate.
func (r *run) rate(ctx context.Context, a flow.RateAnswer) {
	release := r.release()
	index := a.Step.Index
	cascade := r.cascade
	now := r.server.Now()
	ratingDeadline := now.Add(cascade.Stages[index].RatingTimeout)
	if ratingDeadline.After(r.request.Deadline) {
		ratingDeadline = r.request.Deadline
	}
	r.runAsync(func() flow.Event {
		ctx, span := r.server.Tracer.Start(ctx, "rater")
		defer span.End()
		ctx, cancel := context.WithDeadline(ctx, ratingDeadline)
		defer cancel()
		rating := r.server.rateAnswer(ctx, r.request, release, index > 0, a.Answer)
		decision := casc.Decide(r.server.Now(), cascade, index, rating, r.request.Deadline)
		_, escalate := decision.(casc.Escalate)
		r.server.Metrics.Count("cascade_verdicts_total", 1, metric.Label{Name: "accepted", Value: yesNo(!escalate)})
		return flow.AnswerRated{Accept: !escalate}
	})
}

// report reports an empty answer to the control thread, or requests the rating of
// a forwarded answer if it is sampled.
func (r *run) report(ctx context.Context, a flow.ReportAnswer) {
	if a.Empty {
		r.server.SendEvent(ctrl.AttemptEnded{
			Release:    a.Release,
			Team:       r.request.Key.Team,
			Outcome:    roll.Outcome{Empty: true},
			IsEvidence: true,
		})
		return
	}
	if !a.Rate {
		return
	}
	request := r.request
	ctx = context.WithoutCancel(ctx)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, backgroundRatingTimeout)
		defer cancel()
		r.server.rateAnswer(ctx, request, a.Release, a.Step.Index > 0, a.Answer)
	}()
}

// needsRating reports whether an answer that was not rated before it was forwarded
// is rated afterwards: if the cascade samples it, or its model has a roll-out.
func (r *run) needsRating(model ident.ModelID) bool {
	_, rolling := r.view.Config.Rollouts[model]
	return rolling || r.cascade.SampleFinal
}

// release returns the release used in the current cascade step.
func (r *run) release() ident.Release {
	return r.currentRelease
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
