package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/strict"
)

// Runner sends the requests of plans.
type Runner struct {
	client     *http.Client
	onResponse func(Response)
}

// NewRunner returns a runner that sends through the client and passes each
// response, failed and dropped ones included, to onResponse, which may be nil
// and is called concurrently.
func NewRunner(client *http.Client, onResponse func(Response)) *Runner {
	if onResponse == nil {
		onResponse = func(Response) {}
	}
	return &Runner{client: client, onResponse: onResponse}
}

// NewClient returns a client that keeps up to 1024 idle connections per host,
// and whose requests end after the timeout.
func NewClient(timeout time.Duration) *http.Client {
	return strict.NewClient(&http.Client{
		Timeout: timeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1024,
			IdleConnTimeout:     time.Minute,
		},
	})
}

// Run sends the plan's requests, each at its scheduled time, and waits for the
// last response. If ctx is cancelled, it sends no more requests, cancels those
// in flight, and returns the result so far.
func (r *Runner) Run(ctx context.Context, plan Plan) (Result, error) {
	if err := plan.Validate(); err != nil {
		return Result{}, fmt.Errorf("invalid plan: %w", err)
	}
	schedule := NewSchedule(plan)
	start := time.Now()
	recorded := newRecorder(start)
	slots := make(chan struct{}, plan.maxInFlight())
	var inFlight sync.WaitGroup
	for {
		arrival, ok := schedule.Next()
		if !ok || !sleep(ctx, time.Until(start.Add(arrival.Offset))) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			r.report(recorded, Response{Arrival: arrival, Outcome: OutcomeDropped, EndedAt: time.Now()})
			continue
		}
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			r.report(recorded, Send(ctx, r.client, arrival))
			<-slots
		}()
	}
	inFlight.Wait()
	return recorded.result(plan.Seed), nil
}

func (r *Runner) report(recorded *recorder, response Response) {
	recorded.add(response)
	r.onResponse(response)
}

// sleep waits for d and reports whether ctx is still active after it.
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
