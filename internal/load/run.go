package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Runner runs plans.
type Runner struct {
	client *http.Client
	seen   func(Answer)
}

// New gives a runner that sends through the client and hands each answer, also
// a failed one, to seen, which may be nil and is called concurrently.
func New(client *http.Client, seen func(Answer)) *Runner {
	if seen == nil {
		seen = func(Answer) {}
	}
	return &Runner{client: client, seen: seen}
}

// NewClient gives a client that keeps enough connections open for a load, and
// whose requests end after the timeout.
func NewClient(timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout: timeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1024,
			IdleConnTimeout:     time.Minute,
		},
	}
}

// Run sends the plan's requests, each at its time, and waits for the last
// answer. Ending ctx ends what is under way, and the result counts the rest.
func (r *Runner) Run(ctx context.Context, plan Plan) (Result, error) {
	if err := plan.Check(); err != nil {
		return Result{}, fmt.Errorf("checking plan: %w", err)
	}
	schedule := NewSchedule(plan)
	start := time.Now()
	rec := newRecorder(start)
	slots := make(chan struct{}, plan.limit())
	var sent sync.WaitGroup
	for {
		arrival, ok := schedule.Next()
		if !ok || !sleep(ctx, time.Until(start.Add(arrival.At))) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			r.finish(rec, Answer{Arrival: arrival, Outcome: OutcomeDropped, Ended: time.Now()})
			continue
		}
		sent.Add(1)
		go func() {
			defer sent.Done()
			r.finish(rec, Send(ctx, r.client, arrival))
			<-slots
		}()
	}
	sent.Wait()
	return rec.result(plan.Seed), nil
}

func (r *Runner) finish(rec *recorder, answer Answer) {
	rec.add(answer)
	r.seen(answer)
}

// sleep waits for d, and tells whether ctx lasted as long.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
