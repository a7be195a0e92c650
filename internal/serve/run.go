package serve

import (
	"context"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/casc"
	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// eventBuffer is the number of buffered events of a run. A full buffer blocks the
	// endpoint's stream, so that it does not outrun a slow caller.
	eventBuffer = 64
	// outcomeGrace is how long after the deadline a run waits for the outcome of a
	// claimed request.
	outcomeGrace = time.Minute
)

// run is one request in progress. Except for the channels, its fields are used only
// by the goroutine of loop.
type run struct {
	server         *Server
	request        flow.Request
	sink           flow.Sink
	machine        *flow.Machine
	view           *ctrl.View
	cascade        casc.Cascade
	nonce          shard.Nonce
	blocks         []uint64
	attempts       map[ident.AttemptID]*attempt
	pendingReplies int // replies to actions in progress
	ticket         Ticket
	currentRelease ident.Release // of the current cascade step
	sinkFailed     bool          // a write to the sink has failed

	inbox    chan message
	result   chan flow.Result
	returned chan struct{} // closed when the caller's handler has returned
	done     chan struct{} // closed when loop has returned
}

// message is an event sent to the loop. All events use one channel, so that the end
// of an attempt never overtakes its frames.
type message struct {
	event flow.Event
	reply bool // to an action counted in pendingReplies
}

func newRun(s *Server, request flow.Request, sink flow.Sink) *run {
	r := &run{
		server:   s,
		request:  request,
		sink:     sink,
		attempts: map[ident.AttemptID]*attempt{},
		inbox:    make(chan message, eventBuffer),
		result:   make(chan flow.Result, 1),
		returned: make(chan struct{}),
		done:     make(chan struct{}),
	}
	prefix := s.attemptPrefix()
	r.nonce = shard.Nonce(prefix)
	r.machine = flow.New(request, prefix, s.RetryBudget, r.price)
	return r
}

// loop processes events until the request is done and no reply is pending.
func (r *run) loop(ctx context.Context) {
	defer r.finish()
	work, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.request.Deadline.Add(outcomeGrace))
	defer cancel()
	deadline := time.NewTimer(r.request.Deadline.Sub(r.server.Now()))
	defer deadline.Stop()
	r.view = r.server.View()
	callerGone := ctx.Done()
	r.step(work, flow.Start{})
	for !r.machine.Done() || r.pendingReplies > 0 {
		select {
		case m := <-r.inbox:
			if m.reply {
				r.pendingReplies--
			}
			r.step(work, m.event)
		case <-deadline.C:
			r.step(work, flow.DeadlineExceeded{})
		case <-callerGone:
			callerGone = nil
			r.step(work, flow.CallerGone{})
		case <-work.Done():
			r.step(work, flow.DeadlineExceeded{})
			return
		}
	}
}

// step passes an event to the state machine and executes the resulting actions,
// repeatedly until no action returns further events.
func (r *run) step(ctx context.Context, e flow.Event) {
	queue := []flow.Event{e}
	for len(queue) > 0 {
		e, queue = queue[0], queue[1:]
		for _, a := range r.machine.Step(r.server.Now(), e) {
			queue = append(queue, r.execute(ctx, a)...)
		}
	}
}

// post sends an event to the loop from another goroutine. It returns false if the
// loop has returned.
func (r *run) post(e flow.Event) bool {
	return r.enqueue(message{event: e})
}

func (r *run) enqueue(m message) bool {
	select {
	case r.inbox <- m:
		return true
	case <-r.done:
		return false
	}
}

// runAsync runs work in its own goroutine and posts the resulting event.
func (r *run) runAsync(work func() flow.Event) {
	r.pendingReplies++
	go func() {
		e := work()
		if !r.enqueue(message{event: e, reply: true}) {
			r.discard(e)
		}
	}()
}

// discard releases a claim that was granted after the loop had returned.
func (r *run) discard(e flow.Event) {
	claimed, ok := e.(flow.KeyClaimed)
	if !ok {
		return
	}
	if _, granted := claimed.Result.(shard.Granted); granted {
		r.releaseClaim(context.Background())
	}
}

func (r *run) finish() {
	close(r.done)
	for _, t := range r.attempts {
		t.cancel()
	}
	r.server.Gates.Done(r.server.Now(), r.ticket)
	r.server.inProgress.Add(-1)
	if r.request.Memory != nil {
		r.request.Memory.Release()
	}
	select {
	case r.result <- flow.Result{Refusal: &flow.Refusal{Code: flow.CodeEndpointFailed, Message: "internal error", Ran: flow.RanUnknown}}:
	default: // the result was sent before
	}
}
