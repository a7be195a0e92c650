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
	// eventBuffer bounds the events waiting for one run; a full buffer makes an
	// endpoint's stream wait for a slow caller.
	eventBuffer = 64
	// outcomeGrace is how long the outcome of a claimed request is awaited
	// after its caller was answered.
	outcomeGrace = time.Minute
)

// run is one request in progress. Its fields belong to the goroutine of loop,
// but for the channels.
type run struct {
	server  *Server
	request flow.Request
	sink    flow.Sink
	flow    *flow.Machine
	view    *ctrl.View
	ladder  casc.Cascade
	nonce   shard.Nonce
	blocks  []uint64
	tries   map[ident.AttemptID]*try
	pending int // answers still to come
	ticket  Ticket
	bound   ident.Release // of the present rung
	broken  bool          // the sink has failed

	inbox  chan message
	result chan flow.Result
	gone   chan struct{} // closed when the caller's handler has returned
	over   chan struct{} // closed when loop has returned
}

// message is an event on its way to the loop. One channel carries all of them,
// so that an attempt's end never overtakes its frames.
type message struct {
	event  flow.Event
	answer bool // to a counted action
}

func newRun(s *Server, request flow.Request, sink flow.Sink) *run {
	r := &run{
		server:  s,
		request: request,
		sink:    sink,
		tries:   map[ident.AttemptID]*try{},
		inbox:   make(chan message, eventBuffer),
		result:  make(chan flow.Result, 1),
		gone:    make(chan struct{}),
		over:    make(chan struct{}),
	}
	prefix := s.prefix()
	r.nonce = shard.Nonce(prefix)
	r.flow = flow.New(request, prefix, s.Budget, r.price)
	return r
}

// loop feeds the flow until nothing is left to do.
func (r *run) loop(ctx context.Context) {
	defer r.finish()
	work, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.request.Deadline.Add(outcomeGrace))
	defer cancel()
	deadline := time.NewTimer(r.request.Deadline.Sub(r.server.Now()))
	defer deadline.Stop()
	r.view = r.server.View()
	left := ctx.Done()
	r.feed(work, flow.Start{})
	for !r.flow.Done() || r.pending > 0 {
		select {
		case m := <-r.inbox:
			if m.answer {
				r.pending--
			}
			r.feed(work, m.event)
		case <-deadline.C:
			r.feed(work, flow.DeadlineExceeded{})
		case <-left:
			left = nil
			r.feed(work, flow.CallerGone{})
		case <-work.Done():
			r.feed(work, flow.DeadlineExceeded{})
			return
		}
	}
}

// feed steps the flow and does what it decides, and so on until it waits.
func (r *run) feed(ctx context.Context, e flow.Event) {
	queue := []flow.Event{e}
	for len(queue) > 0 {
		e, queue = queue[0], queue[1:]
		for _, a := range r.flow.Step(r.server.Now(), e) {
			queue = append(queue, r.do(ctx, a)...)
		}
	}
}

// post hands an event to the loop, from another goroutine. It fails when the
// run is over.
func (r *run) post(e flow.Event) bool {
	return r.put(message{event: e})
}

func (r *run) put(m message) bool {
	select {
	case r.inbox <- m:
		return true
	case <-r.over:
		return false
	}
}

// ask does work that one event answers in a goroutine of its own.
func (r *run) ask(work func() flow.Event) {
	r.pending++
	go func() {
		e := work()
		if !r.put(message{event: e, answer: true}) {
			r.abandon(e)
		}
	}()
}

// abandon gives back what was granted after the run had ended.
func (r *run) abandon(e flow.Event) {
	claimed, ok := e.(flow.KeyClaimed)
	if !ok {
		return
	}
	if _, granted := claimed.Result.(shard.Granted); granted {
		r.unclaim(context.Background())
	}
}

func (r *run) finish() {
	close(r.over)
	for _, t := range r.tries {
		t.cancel()
	}
	r.server.Gates.Done(r.server.Now(), r.ticket)
	r.server.open.Add(-1)
	select {
	case r.result <- flow.Result{Refusal: &flow.Refusal{Code: flow.CodeEndpointFailed, Message: "internal error", Ran: flow.RanUnknown}}:
	default: // the reply was given before
	}
}
