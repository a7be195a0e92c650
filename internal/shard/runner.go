package shard

import (
	"context"
	"fmt"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

const (
	// inboxSize is how many messages to a runner wait before senders do.
	inboxSize = 256
	// unloadAfter is how long an unused log is kept in memory.
	unloadAfter = 10 * time.Minute
)

// runner drives the log of one shard: a goroutine that owns it, and one more
// for each call to the platform.
type runner struct {
	journal *Journal
	shard   ID
	writer  Nonce
	meter   meter
	inbox   chan message

	log     *Log
	loads   int // logs made so far
	counted Counts
	tickets ProposalID
	waiters map[ProposalID]*waiter
	flushes []chan struct{}
	used    time.Time
}

// message is an input of the runner's goroutine: an event of the log with the
// waiter that proposes or abandons, or one of the requests beside it.
type message struct {
	event  Event
	waiter *waiter
	list   chan []Record
	flush  chan struct{}
}

// waiter is whoever waits for the answer to a proposal.
type waiter struct {
	ticket ProposalID
	result chan Result
}

func newWaiter() *waiter {
	return &waiter{result: make(chan Result, 1)}
}

func newRunner(j *Journal, shard ID, writer Nonce, m meter) *runner {
	r := &runner{
		journal: j, shard: shard, writer: writer, meter: m,
		inbox: make(chan message, inboxSize), waiters: map[ProposalID]*waiter{},
	}
	r.unload()
	return r
}

// commit proposes a record and waits for its answer. When ctx ends it gives
// the answer that the log then has.
func (r *runner) commit(ctx context.Context, record Record, keep bool) Result {
	w := newWaiter()
	refused := Unavailable{After: r.journal.settings.RetryDelay, Full: true}
	select {
	case r.inbox <- message{event: Propose{Record: record, Retain: keep}, waiter: w}:
	case <-ctx.Done():
		return refused
	case <-r.journal.done:
		return refused
	}
	select {
	case result := <-w.result:
		return result
	case <-r.journal.done:
		return r.last(w)
	case <-ctx.Done():
	}
	r.post(message{event: Cancel{}, waiter: w})
	select {
	case result := <-w.result:
		return result
	case <-r.journal.done:
		return r.last(w)
	}
}

// last gives the answer of a proposal after the runner has ended.
func (r *runner) last(w *waiter) Result {
	select {
	case result := <-w.result:
		return result
	default:
		return Unavailable{After: r.journal.settings.RetryDelay, Written: true}
	}
}

func (r *runner) pending() []Record {
	m := message{list: make(chan []Record, 1)}
	r.post(m)
	select {
	case records := <-m.list:
		return records
	case <-r.journal.done:
		return nil
	}
}

func (r *runner) flush(ctx context.Context) error {
	m := message{flush: make(chan struct{})}
	r.post(m)
	select {
	case <-m.flush:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%d records are pending: %w", len(r.pending()), ErrQueued)
	case <-r.journal.done:
		return ErrFull
	}
}

func (r *runner) post(m message) {
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
		timer.Reset(r.pause())
	}
}

// pause gives the time until the log wants a tick or may be unloaded.
func (r *runner) pause() time.Duration {
	now := r.journal.now()
	if due, ok := r.log.Due(); ok {
		return max(due.Sub(now), 0)
	}
	if r.log.Idle() && now.Sub(r.used) >= unloadAfter {
		r.unload()
	}
	return unloadAfter
}

func (r *runner) handle(ctx context.Context, m message) {
	switch {
	case m.list != nil:
		m.list <- r.log.Pending()
		return
	case m.flush != nil:
		r.flushes = append(r.flushes, m.flush)
		r.flushed()
		return
	}
	r.used = r.journal.now()
	switch e := m.event.(type) {
	case Propose:
		r.tickets++
		m.waiter.ticket = r.tickets
		r.waiters[r.tickets] = m.waiter
		e.Proposal = r.tickets
		r.step(ctx, e)
	case Cancel:
		r.step(ctx, Cancel{Proposal: m.waiter.ticket})
	default:
		r.step(ctx, m.event)
	}
}

func (r *runner) step(ctx context.Context, e Event) {
	for _, a := range r.log.Step(r.journal.now(), e) {
		r.do(ctx, a)
	}
	counts := r.log.Counts()
	r.meter.add(counts, r.counted)
	r.counted = counts
	r.flushed()
}

// do carries out an action; calls go on in the background.
func (r *runner) do(ctx context.Context, action Action) {
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
			// A part that stays is removed by the next router that loads the log.
			_ = r.journal.platform.Delete(ctx, plat.ClassStatus, a.Key, a.Expect)
		}()
	}
}

// call asks the platform, or answers with away while the journal's shape is
// not known.
func (r *runner) call(ctx context.Context, ask func(context.Context, plat.Platform) Event, away Event) {
	if !r.journal.agreed.Load() {
		r.post(message{event: away})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.journal.settings.CallTimeout)
	defer cancel()
	r.post(message{event: ask(ctx, r.journal.platform)})
}

// flushed answers those who wait for the log to be empty.
func (r *runner) flushed() {
	if len(r.flushes) == 0 || len(r.log.Pending()) > 0 {
		return
	}
	for _, f := range r.flushes {
		close(f)
	}
	r.flushes = nil
}

// unload replaces the log by an empty one, which loads itself when needed.
func (r *runner) unload() {
	r.loads++
	r.log = NewLog(r.shard, Nonce(fmt.Sprintf("%s.%d", r.writer, r.loads)), r.journal.settings)
	r.counted = Counts{}
}
