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

// do carries out one action and gives the events that answer it at once.
func (r *run) do(ctx context.Context, a flow.Action) []flow.Event {
	switch a := a.(type) {
	case flow.RequestAdmission:
		return r.admit()
	case flow.PlanModels:
		return r.plan()
	case flow.ResolveVersion:
		r.bind(ctx, a.Model)
	case flow.ClaimKey:
		r.claim(ctx)
	case flow.ReleaseKey:
		r.unclaim(ctx)
	case flow.CheckBody:
		r.guard(ctx, a)
	case flow.SelectEndpoint:
		return r.place(ctx, a)
	case flow.ReleaseSlot:
		r.forgo(a)
	case flow.Dispatch:
		r.dispatch(ctx, a)
	case flow.Cancel:
		r.cancel(a.Attempt)
	case flow.OpenResponse:
		return r.pass(func() error { return r.sink.Open(a.Meta) })
	case flow.WriteText:
		return r.pass(func() error { return r.sink.Text(a.Text) })
	case flow.RateAnswer:
		r.rate(ctx, a)
	case flow.ReportAnswer:
		r.report(ctx, a)
	case flow.RecordBill:
		r.settle(ctx, a)
	case flow.SetTimer:
		time.AfterFunc(a.After, func() { r.post(flow.TimerFired{Timer: a.Timer}) })
	case flow.Reply:
		r.result <- a.Result
	}
	return nil
}

// pass hands a piece to the caller, unless the caller is gone.
func (r *run) pass(write func() error) []flow.Event {
	select {
	case <-r.gone:
		return nil
	default:
	}
	if r.broken {
		return nil
	}
	if err := write(); err != nil {
		r.broken = true
		return []flow.Event{flow.CallerGone{}}
	}
	return nil
}

// price gives what an answer costs the team.
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

// rate has a held answer rated, and judges it.
func (r *run) rate(ctx context.Context, a flow.RateAnswer) {
	release := r.release()
	index := a.Step.Index
	ladder := r.ladder
	now := r.server.Now()
	patience := now.Add(ladder.Stages[index].RatingTimeout)
	if patience.After(r.request.Deadline) {
		patience = r.request.Deadline
	}
	r.ask(func() flow.Event {
		ctx, span := r.server.Tracer.Start(ctx, "rater")
		defer span.End()
		ctx, cancel := context.WithDeadline(ctx, patience)
		defer cancel()
		rating := r.server.rateAnswer(ctx, r.request, release, index > 0, a.Answer)
		verdict := casc.Decide(r.server.Now(), ladder, index, rating, r.request.Deadline)
		_, escalate := verdict.(casc.Escalate)
		r.server.Metrics.Count("cascade_verdicts_total", 1, metric.Label{Name: "accepted", Value: boolName(!escalate)})
		return flow.AnswerRated{Accept: !escalate}
	})
}

// report tells the control thread of an answer that was passed on or was
// empty, and has a sample of them rated.
func (r *run) report(ctx context.Context, a flow.ReportAnswer) {
	if a.Empty {
		r.server.Tell(ctrl.AttemptEnded{
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
		ctx, cancel := context.WithTimeout(ctx, backgroundRating)
		defer cancel()
		r.server.rateAnswer(ctx, request, a.Release, a.Step.Index > 0, a.Answer)
	}()
}

// sampled tells whether a finished answer is to be rated: those that the
// ladder wants, and all of a model under roll-out.
func (r *run) sampled(model ident.ModelID) bool {
	_, rolling := r.view.Config.Rollouts[model]
	return rolling || r.ladder.SampleFinal
}

// release gives the release of the present rung.
func (r *run) release() ident.Release {
	return r.bound
}

func boolName(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
