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
	// claimTimeout limits the wait for a claim, so that a caller is refused quickly
	// if the platform is not available.
	claimTimeout = 2 * time.Second
	// billTimeout limits the wait for a bill to become durable.
	billTimeout = 2 * time.Second
	// releaseTimeout limits the release of a claim.
	releaseTimeout = 10 * time.Second
	// claimRetryAfter is the retry delay for a caller whose claim failed.
	claimRetryAfter = 2 * time.Second
	// copyTimeout limits the wait for peers to store a copy of a bill that is not
	// durable.
	copyTimeout = 300 * time.Millisecond
	// oversizedAnswer is recorded in place of an answer larger than
	// shard.MaxBodyBytes.
	oversizedAnswer = `{"error":{"code":"answer_not_kept","message":"the call ran, but its answer was too large to keep","ran":"yes"}}`
)

// billState is where a bill is stored when its caller is answered.
type billState string

const (
	billDurable billState = "durable" // at the platform
	billCopied  billState = "copied"  // in memory, at this router and a peer
	billQueued  billState = "queued"  // in memory, at this router only
	billFailed  billState = "failed"  // nowhere
)

// claim requests the exclusive right to run the request from the journal.
func (r *run) claim(ctx context.Context) {
	record := shard.Claim{
		Key:         r.request.Key,
		Nonce:       r.nonce,
		Router:      r.server.Self.ID,
		Fingerprint: r.request.Fingerprint,
		At:          r.server.Now(),
	}
	r.runAsync(func() flow.Event {
		ctx, span := r.server.Tracer.Start(ctx, "claim")
		defer span.End()
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		result, err := r.server.Journal.Claim(ctx, record)
		if err != nil {
			r.server.Log.Warn("claim failed", zap.String("request", r.request.Key.String()), zap.Error(err))
			return flow.KeyClaimed{Result: shard.Unavailable{After: claimRetryAfter}}
		}
		return flow.KeyClaimed{Result: result}
	})
}

// releaseClaim releases the claim in the background.
func (r *run) releaseClaim(ctx context.Context) {
	record := shard.Release{Key: r.request.Key, Nonce: r.nonce, At: r.server.Now()}
	s := r.server
	ctx = context.WithoutCancel(ctx)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		if err := s.Journal.Release(ctx, record); err != nil {
			s.Log.Warn("giving claim back", zap.String("request", record.Key.String()), zap.Error(err))
		}
	}()
}

// recordBill records the bill and, for a claimed request, the outcome.
func (r *run) recordBill(ctx context.Context, a flow.RecordBill) {
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
	r.runAsync(func() flow.Event {
		ctx, span := r.server.Tracer.Start(ctx, "bill")
		defer span.End()
		records := r.billRecords(a, bill)
		state, err := r.persist(ctx, records)
		r.countBill(bill, state, err)
		return flow.BillRecorded{Durable: err == nil}
	})
}

// billRecords returns the bill, preceded by the outcome of a claimed request.
func (r *run) billRecords(a flow.RecordBill, bill shard.Bill) []shard.Record {
	if a.Outcome == nil {
		return []shard.Record{bill}
	}
	outcome := shard.Outcome{Key: bill.Key, Status: a.Outcome.Status, Body: a.Outcome.Body, At: bill.At}
	if len(outcome.Body) > shard.MaxBodyBytes {
		outcome.Body = []byte(oversizedAnswer)
	}
	return []shard.Record{outcome, bill}
}

// persist writes the records to the journal. If they are only queued there, it
// copies them to peers.
func (r *run) persist(ctx context.Context, records []shard.Record) (billState, error) {
	err := r.commit(ctx, records)
	switch {
	case err == nil:
		return billDurable, nil
	case !errors.Is(err, shard.ErrQueued):
		return billFailed, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	defer cancel()
	if copyErr := r.server.Copier.Copy(ctx, records); copyErr != nil {
		r.server.Log.Warn("no peer holds a copy of bill", zap.String("request", r.request.Key.String()), zap.Error(copyErr))
		return billQueued, err
	}
	return billCopied, err
}

func (r *run) commit(ctx context.Context, records []shard.Record) error {
	ctx, cancel := context.WithTimeout(ctx, billTimeout)
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
