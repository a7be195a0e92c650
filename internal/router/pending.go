package router

import (
	"context"
	"fmt"
	"sync"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
)

// pendingRequests matches answers of the control thread to the goroutines that
// wait for them. It is safe for concurrent use.
type pendingRequests struct {
	lock    sync.Mutex
	lastID  ctrl.CorrelationID
	waiting map[ctrl.CorrelationID]chan ctrl.Action
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{waiting: map[ctrl.CorrelationID]chan ctrl.Action{}}
}

// request builds an event with a new correlation ID, submits it to the control
// thread and waits for the answer.
func (p *pendingRequests) request(ctx context.Context, submit func(ctrl.Event), build func(ctrl.CorrelationID) ctrl.Event) (ctrl.Action, error) {
	answer := make(chan ctrl.Action, 1)
	p.lock.Lock()
	p.lastID++
	id := p.lastID
	p.waiting[id] = answer
	p.lock.Unlock()
	submit(build(id))
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		p.lock.Lock()
		delete(p.waiting, id)
		p.lock.Unlock()
		return nil, fmt.Errorf("waiting for the control thread: %w", ctx.Err())
	}
}

func (p *pendingRequests) resolve(id ctrl.CorrelationID, a ctrl.Action) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if answer, ok := p.waiting[id]; ok {
		delete(p.waiting, id)
		answer <- a
	}
}
