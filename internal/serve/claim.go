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
	// copyTimeout bounds the wait for peers to hold a bill that is not durable.
	copyTimeout = 300 * time.Millisecond
	// tooLarge is kept in place of an answer that is larger than shard.MaxBodyBytes.
	tooLarge = `{"error":{"code":"answer_not_kept","message":"the call ran, but its answer was too large to keep","ran":"yes"}}`
)

// billState says what holds a bill when its caller is answered.
type billState string

const (
	billDurable billState = "durable" // the platform
	billCopied  billState = "copied"  // this router and a peer
	billQueued  billState = "queued"  // this router alone
	billFailed  billState = "failed"  // nobody
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
			return flow.KeyClaimed{Result: shard.Unavailable{After: unclaimedPause}}
		}
		return flow.KeyClaimed{Result: result}
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
func (r *run) settle(ctx context.Context, a flow.RecordBill) {
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
		records := r.records(a, bill)
		state, err := r.record(ctx, records)
		r.countBill(bill, state, err)
		return flow.BillRecorded{Durable: err == nil}
	})
}

// records gives the bill, with the outcome of a claimed request before it.
func (r *run) records(a flow.RecordBill, bill shard.Bill) []shard.Record {
	if a.Outcome == nil {
		return []shard.Record{bill}
	}
	outcome := shard.Outcome{Key: bill.Key, Status: a.Outcome.Status, Body: a.Outcome.Body, At: bill.At}
	if len(outcome.Body) > shard.MaxBodyBytes {
		outcome.Body = []byte(tooLarge)
	}
	return []shard.Record{outcome, bill}
}

// record has the journal make the records durable, or else peers hold copies.
func (r *run) record(ctx context.Context, records []shard.Record) (billState, error) {
	err := r.commit(ctx, records)
	switch {
	case err == nil:
		return billDurable, nil
	case !errors.Is(err, shard.ErrQueued):
		return billFailed, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	defer cancel()
	if copyErr := r.server.Copies.Copy(ctx, records); copyErr != nil {
		r.server.Log.Warn("no peer holds a copy of bill", zap.String("request", r.request.Key.String()), zap.Error(copyErr))
		return billQueued, err
	}
	return billCopied, err
}

func (r *run) commit(ctx context.Context, records []shard.Record) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	bill := records[len(records)-1].(shard.Bill)
	if outcome, claimed := records[0].(shard.Outcome); claimed {
		return r.server.Journal.Finish(ctx, outcome, bill)
	}
	return r.server.Journal.Bill(ctx, bill)
}

func (r *run) countBill(bill shard.Bill, state billState, err error) {
	if state == billFailed {
		r.server.Log.Error("bill was not recorded", zap.String("request", bill.Key.String()), zap.Error(err))
	}
	r.server.Metrics.Count("bills_total", 1,
		metric.Label{Name: "team", Value: string(bill.Key.Team)},
		metric.Label{Name: "state", Value: string(state)})
	r.server.Metrics.Count("billed_micros_total", int64(bill.Cost),
		metric.Label{Name: "team", Value: string(bill.Key.Team)})
}
