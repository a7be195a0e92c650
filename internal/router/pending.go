package router

import (
	"context"
	"fmt"
	"sync"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
)

// questions holds what waits for an answer of the control thread. It is safe
// for use by many goroutines.
type pendingRequests struct {
	lock    sync.Mutex
	lastID  ctrl.CorrelationID
	waiting map[ctrl.CorrelationID]chan ctrl.Action
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{waiting: map[ctrl.CorrelationID]chan ctrl.Action{}}
}

// ask hands the control thread the event that makes builds for a ticket, and
// waits for its answer.
func (q *pendingRequests) request(ctx context.Context, tell func(ctrl.Event), build func(ctrl.CorrelationID) ctrl.Event) (ctrl.Action, error) {
	answer := make(chan ctrl.Action, 1)
	q.lock.Lock()
	q.lastID++
	ticket := q.lastID
	q.waiting[ticket] = answer
	q.lock.Unlock()
	tell(build(ticket))
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		q.lock.Lock()
		delete(q.waiting, ticket)
		q.lock.Unlock()
		return nil, fmt.Errorf("waiting for the control thread: %w", ctx.Err())
	}
}

func (q *pendingRequests) resolve(ticket ctrl.CorrelationID, a ctrl.Action) {
	q.lock.Lock()
	defer q.lock.Unlock()
	if waiting, ok := q.waiting[ticket]; ok {
		delete(q.waiting, ticket)
		waiting <- a
	}
}
