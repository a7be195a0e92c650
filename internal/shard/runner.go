package shard

import (
	"context"
	"fmt"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

const (
	// inboxSize is the number of buffered messages per runner.
	inboxSize = 256
	// unloadAfter is the time after which an unused log is unloaded.
	unloadAfter = 10 * time.Minute
)

// runner runs the log of one shard in a goroutine of its own, and each platform
// call in another.
type runner struct {
	journal *Journal
	shard   ID
	writer  Nonce
	metrics logMetrics
	inbox   chan message

	log          *Log
	logsCreated  int // logs created so far, to make their writers unique
	reported     Counts
	lastProposal ProposalID
	waiters      map[ProposalID]*waiter
	flushes      []chan struct{}
	lastUsed     time.Time
}

// message is an input of the runner's goroutine: an event for the log, with the
// waiter if it proposes or cancels, or a request for the pending records or for a
// flush.
type message struct {
	event   Event
	waiter  *waiter
	pending chan []Record
	flush   chan struct{}
}

// waiter receives the result of a proposal.
type waiter struct {
	proposal ProposalID
	result   chan Result
}

func newWaiter() *waiter {
	return &waiter{result: make(chan Result, 1)}
}

func newRunner(j *Journal, shard ID, writer Nonce, m logMetrics) *runner {
	r := &runner{
		journal: j, shard: shard, writer: writer, metrics: m,
		inbox: make(chan message, inboxSize), waiters: map[ProposalID]*waiter{},
	}
	r.unload()
	return r
}

// commit proposes a record and waits for its result. When ctx ends, it cancels the
// proposal and returns the result that the log then gives.
func (r *runner) commit(ctx context.Context, record Record, retain bool) Result {
	w := newWaiter()
	refused := Unavailable{After: r.journal.settings.RetryDelay, Full: true}
	select {
	case r.inbox <- message{event: Propose{Record: record, Retain: retain}, waiter: w}:
	case <-ctx.Done():
		return refused
	case <-r.journal.done:
		return refused
	}
	select {
	case result := <-w.result:
		return result
	case <-r.journal.done:
		return r.finalResult(w)
	case <-ctx.Done():
	}
	r.send(message{event: Cancel{}, waiter: w})
	select {
	case result := <-w.result:
		return result
	case <-r.journal.done:
		return r.finalResult(w)
	}
}

// finalResult returns the result of a proposal after the runner has stopped.
func (r *runner) finalResult(w *waiter) Result {
	select {
	case result := <-w.result:
		return result
	default:
		return Unavailable{After: r.journal.settings.RetryDelay, Written: true}
	}
}

func (r *runner) pending() []Record {
	m := message{pending: make(chan []Record, 1)}
	r.send(m)
	select {
	case records := <-m.pending:
		return records
	case <-r.journal.done:
		return nil
	}
}

func (r *runner) flush(ctx context.Context) error {
	m := message{flush: make(chan struct{})}
	r.send(m)
	select {
	case <-m.flush:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%d records are pending: %w", len(r.pending()), ErrQueued)
	case <-r.journal.done:
		return ErrFull
	}
}

func (r *runner) send(m message) {
	select {
	case r.inbox <- m:
	case <-r.journal.done:
	}
}

func (r *runner) run(ctx context.Context) {
	timer := time.NewTimer(unloadAfter)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			r.step(ctx, Tick{})
		case m := <-r.inbox:
			r.handle(ctx, m)
		}
		timer.Reset(r.timeUntilTick())
	}
}

// timeUntilTick returns the time until the log needs a tick, or unloadAfter if it
// needs none. It unloads a log that has been unused for unloadAfter.
func (r *runner) timeUntilTick() time.Duration {
	now := r.journal.now()
	if due, ok := r.log.Due(); ok {
		return max(due.Sub(now), 0)
	}
	if r.log.Idle() && now.Sub(r.lastUsed) >= unloadAfter {
		r.unload()
	}
	return unloadAfter
}

func (r *runner) handle(ctx context.Context, m message) {
	switch {
	case m.pending != nil:
		m.pending <- r.log.Pending()
		return
	case m.flush != nil:
		r.flushes = append(r.flushes, m.flush)
		r.notifyFlushed()
		return
	}
	r.lastUsed = r.journal.now()
	switch e := m.event.(type) {
	case Propose:
		r.lastProposal++
		m.waiter.proposal = r.lastProposal
		r.waiters[r.lastProposal] = m.waiter
		e.Proposal = r.lastProposal
		r.step(ctx, e)
	case Cancel:
		r.step(ctx, Cancel{Proposal: m.waiter.proposal})
	default:
		r.step(ctx, m.event)
	}
}

func (r *runner) step(ctx context.Context, e Event) {
	for _, a := range r.log.Step(r.journal.now(), e) {
		r.perform(ctx, a)
	}
	counts := r.log.Counts()
	r.metrics.add(counts, r.reported)
	r.reported = counts
	r.notifyFlushed()
}

// perform performs an action; platform calls run in the background.
func (r *runner) perform(ctx context.Context, action Action) {
	switch a := action.(type) {
	case Reply:
		if w, ok := r.waiters[a.Proposal]; ok {
			delete(r.waiters, a.Proposal)
			w.result <- a.Result
		}
	case WriteObject:
		go r.call(ctx, func(ctx context.Context, p plat.Platform) Event {
			version, err := p.Put(ctx, a.Class, a.Key, a.Value, a.Expect)
			return WriteDone{Call: a.Call, Version: version, Err: err}
		}, WriteDone{Call: a.Call, Err: plat.ErrUnavailable})
	case ReadObject:
		go r.call(ctx, func(ctx context.Context, p plat.Platform) Event {
			object, err := p.Get(ctx, a.Class, a.Key)
			return ReadDone{Call: a.Call, Object: object, Err: err}
		}, ReadDone{Call: a.Call, Err: plat.ErrUnavailable})
	case ListObjects:
		go r.call(ctx, func(ctx context.Context, p plat.Platform) Event {
			objects, err := p.List(ctx, a.Class, a.Prefix)
			return ListDone{Call: a.Call, Objects: objects, Err: err}
		}, ListDone{Call: a.Call, Err: plat.ErrUnavailable})
	case DeleteObject:
		go func() {
			ctx, cancel := context.WithTimeout(ctx, r.journal.settings.CallTimeout)
			defer cancel()
			// If this fails, the part is deleted by the next router that loads the log.
			_ = r.journal.platform.Delete(ctx, plat.ClassStatus, a.Key, a.Expect)
		}()
	}
}

// call calls the platform and sends the resulting event to the runner. Until the
// journal's layout is verified, it sends unavailable instead.
func (r *runner) call(ctx context.Context, call func(context.Context, plat.Platform) Event, unavailable Event) {
	if !r.journal.layoutVerified.Load() {
		r.send(message{event: unavailable})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.journal.settings.CallTimeout)
	defer cancel()
	r.send(message{event: call(ctx, r.journal.platform)})
}

// notifyFlushed ends the waiting flushes if no record is pending.
func (r *runner) notifyFlushed() {
	if len(r.flushes) == 0 || len(r.log.Pending()) > 0 {
		return
	}
	for _, f := range r.flushes {
		close(f)
	}
	r.flushes = nil
}

// unload replaces the log by one that is loaded again at the next proposal.
func (r *runner) unload() {
	r.logsCreated++
	r.log = NewLog(r.shard, Nonce(fmt.Sprintf("%s.%d", r.writer, r.logsCreated)), r.journal.settings)
	r.reported = Counts{}
}
