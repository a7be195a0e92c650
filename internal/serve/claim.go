package serve

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/internal/metric"
	"github.com/marigoldscale/marigoldscale/internal/shard"
)

const (
	// claimTimeout bounds the wait for a claim, so that a caller hears at once
	// when the platform is away.
	claimTimeout = 2 * time.Second
	// settleTimeout bounds the wait for a bill to become durable.
	settleTimeout = 2 * time.Second
	// unclaimTimeout bounds giving a claim back.
	unclaimTimeout = 10 * time.Second
	// unclaimedPause is when to come back after a claim failed.
	unclaimedPause = 2 * time.Second
)

// claim asks the journal for the right to run the request.
func (r *run) claim(ctx context.Context) {
	record := shard.Claim{
		Key:         r.request.Key,
		Nonce:       r.nonce,
		Router:      r.server.Self.ID,
		Fingerprint: r.request.Fingerprint,
		At:          r.server.Now(),
	}
	r.ask(func() flow.Event {
		ctx, span := r.server.Tracer.Start(ctx, "claim")
		defer span.End()
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		result, err := r.server.Journal.Claim(ctx, record)
		if err != nil {
			r.server.Log.Warn("claim failed", zap.String("request", r.request.Key.String()), zap.Error(err))
			return flow.Claimed{Result: shard.Unavailable{After: unclaimedPause}}
		}
		return flow.Claimed{Result: result}
	})
}

// unclaim gives the right back in the background.
func (r *run) unclaim(ctx context.Context) {
	record := shard.Release{Key: r.request.Key, Nonce: r.nonce, At: r.server.Now()}
	s := r.server
	ctx = context.WithoutCancel(ctx)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, unclaimTimeout)
		defer cancel()
		if err := s.Journal.Release(ctx, record); err != nil {
			s.Log.Warn("giving claim back", zap.String("request", record.Key.String()), zap.Error(err))
		}
	}()
}

// settle makes the bill and the outcome last.
func (r *run) settle(ctx context.Context, a flow.Settle) {
	bill := shard.Bill{
		Key:      r.request.Key,
		Release:  a.Release,
		Service:  r.request.Service,
		Prompt:   a.Usage.Prompt,
		Answer:   a.Usage.Answer,
		Cost:     a.Cost,
		At:       r.server.Now(),
		Attempts: a.Attempts,
	}
	r.ask(func() flow.Event {
		ctx, span := r.server.Tracer.Start(ctx, "bill")
		defer span.End()
		ctx, cancel := context.WithTimeout(ctx, settleTimeout)
		defer cancel()
		err := r.record(ctx, a, bill)
		r.countBill(bill, err)
		return flow.Settled{Durable: err == nil}
	})
}

func (r *run) record(ctx context.Context, a flow.Settle, bill shard.Bill) error {
	if a.Outcome == nil {
		return r.server.Journal.Bill(ctx, bill)
	}
	outcome := shard.Outcome{Key: bill.Key, Status: a.Outcome.Status, Body: a.Outcome.Body, At: bill.At}
	return r.server.Journal.Finish(ctx, outcome, bill)
}

func (r *run) countBill(bill shard.Bill, err error) {
	state := "durable"
	switch {
	case errors.Is(err, shard.ErrQueued):
		state = "queued"
	case err != nil:
		state = "failed"
		r.server.Log.Error("bill was not recorded", zap.String("request", bill.Key.String()), zap.Error(err))
	}
	r.server.Metrics.Count("bills_total", 1,
		metric.Label{Name: "team", Value: string(bill.Key.Team)},
		metric.Label{Name: "state", Value: state})
	r.server.Metrics.Count("billed_micros_total", int64(bill.Cost),
		metric.Label{Name: "team", Value: string(bill.Key.Team)})
}
