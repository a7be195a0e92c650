package router

import (
	"context"
	"fmt"
	"sync"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
)

// questions holds what waits for an answer of the control thread. It is safe
// for use by many goroutines.
type questions struct {
	lock   sync.Mutex
	serial ctrl.CorrelationID
	open   map[ctrl.CorrelationID]chan ctrl.Action
}

func newQuestions() *questions {
	return &questions{open: map[ctrl.CorrelationID]chan ctrl.Action{}}
}

// ask hands the control thread the event that makes builds for a ticket, and
// waits for its answer.
func (q *questions) ask(ctx context.Context, tell func(ctrl.Event), build func(ctrl.CorrelationID) ctrl.Event) (ctrl.Action, error) {
	answer := make(chan ctrl.Action, 1)
	q.lock.Lock()
	q.serial++
	ticket := q.serial
	q.open[ticket] = answer
	q.lock.Unlock()
	tell(build(ticket))
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		q.lock.Lock()
		delete(q.open, ticket)
		q.lock.Unlock()
		return nil, fmt.Errorf("waiting for the control thread: %w", ctx.Err())
	}
}

func (q *questions) answer(ticket ctrl.CorrelationID, a ctrl.Action) {
	q.lock.Lock()
	defer q.lock.Unlock()
	if waiting, ok := q.open[ticket]; ok {
		delete(q.open, ticket)
		waiting <- a
	}
}
