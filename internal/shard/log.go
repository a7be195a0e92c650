package shard

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// Log commits the records of one shard. It is a pure machine: Step takes the
// time and an event and gives the calls to make and the answers to hand out.
//
// The batches lie in a ring of objects that are overwritten in turn. A batch
// is written on the condition that its slot still holds the batch one round
// before, so each sequence is written once, by whoever comes first, and a
// writer that was frozen for rounds can't write into the past, as it could if
// old batches were deleted and the write were a create.
type Log struct {
	shard    ID
	writer   Nonce // names this log's writes, with a count
	settings Settings

	state  *State
	loaded bool
	next   Sequence       // of the batch to write
	slots  []plat.Version // of the ring, as last seen
	tail   []Batch        // batches that no checkpoint covers

	queue   []proposal
	phase   phase
	call    Call // outstanding in phase
	calls   Call // handed out so far
	flight  Batch
	lost    bool      // last write met a conflict
	written time.Time // start of the last batch
	away    time.Time // platform is not asked before this, while it is away

	check  checkpoint
	counts Counts
	out    []Action
}

// phase is the call to the platform that the log waits for.
type phase int

const (
	phaseIdle phase = iota
	phaseLoad
	phaseWrite
	phaseRead
)

// Counts are the totals of a log since it was made.
type Counts struct {
	Batches     int // written by this log
	Records     int // in them
	Bytes       int // of batches and checkpoints
	Conflicts   int // writes lost to another router
	Uncertain   int // writes whose answer was lost
	Refused     int // claims answered Unavailable
	Full        int // records that found the queue full
	Checkpoints int
	Loads       int
}

// NewLog makes the log of a shard, not loaded yet. The writer must be unique
// over all routers and restarts.
func NewLog(shard ID, writer Nonce, settings Settings) *Log {
	return &Log{
		shard: shard, writer: writer, settings: settings,
		state: NewState(), next: 1, slots: make([]plat.Version, settings.Ring),
	}
}

// Step takes in one event and gives the actions that follow from it.
func (l *Log) Step(now time.Time, event Event) []Action {
	l.out = nil
	switch e := event.(type) {
	case Propose:
		l.propose(now, e)
	case Abandon:
		l.abandon(now, e.Ticket)
	case Put:
		l.put(now, e)
	case Got:
		l.got(now, e)
	case Listed:
		l.listed(now, e)
	case Tick:
	}
	l.advance(now)
	return l.out
}

// Due gives the time at which the log wants a Tick, if it wants one.
func (l *Log) Due() (time.Time, bool) {
	if l.phase != phaseIdle || len(l.queue) == 0 {
		return time.Time{}, false
	}
	due := l.written.Add(l.settings.Interval)
	if l.away.After(due) {
		due = l.away
	}
	if !l.full() {
		return due, true
	}
	if l.check.retry.After(due) {
		due = l.check.retry
	}
	return due, l.check.stage == stageNone
}

// Pending gives the records that are not durable yet and must not be lost.
func (l *Log) Pending() []Record {
	var records []Record
	for _, p := range l.queue {
		if _, ok := p.record.(Claim); !ok {
			records = append(records, p.record)
		}
	}
	return records
}

// Counts gives the totals so far.
func (l *Log) Counts() Counts {
	return l.counts
}

// Idle tells whether the log neither waits for a call nor holds a record, so
// that it can be dropped and loaded again later.
func (l *Log) Idle() bool {
	return l.phase == phaseIdle && l.check.stage == stageNone && len(l.queue) == 0
}

// advance makes the next call.
func (l *Log) advance(now time.Time) {
	if l.phase != phaseIdle || len(l.queue) == 0 || now.Before(l.away) {
		return
	}
	if !l.loaded {
		l.load()
		return
	}
	l.startCheckpoint(now)
	if l.full() || now.Before(l.written.Add(l.settings.Interval)) {
		return
	}
	batch, text := l.gather()
	if len(batch.Records) == 0 {
		l.written = now
		l.read()
		return
	}
	l.write(now, batch, text)
}

func (l *Log) write(now time.Time, batch Batch, text []byte) {
	l.written = now
	l.flight = batch
	l.begin(phaseWrite)
	l.counts.Bytes += len(text)
	l.act(WriteObject{
		Call: l.call, Class: classOf(batch), Key: l.slotKey(l.next), Value: text,
		Expect: *l.slot(l.next),
	})
}

// read looks whether another router wrote the next batch.
func (l *Log) read() {
	l.begin(phaseRead)
	l.act(ReadObject{Call: l.call, Class: plat.ClassClaim, Key: l.slotKey(l.next)})
}

func (l *Log) load() {
	l.begin(phaseLoad)
	l.counts.Loads++
	l.act(ListObjects{Call: l.call, Class: plat.ClassClaim, Prefix: l.shard.Prefix()})
}

func (l *Log) put(now time.Time, e Put) {
	if l.phase != phaseWrite || e.Call != l.call {
		l.checkpointPut(now, e)
		return
	}
	l.phase = phaseIdle
	l.landed(errors.Is(e.Err, plat.ErrUncertain))
	switch {
	case e.Err == nil:
		l.counts.Batches++
		l.counts.Records += len(l.flight.Records)
		l.append(l.flight, e.Version)
		l.settle(true)
	case errors.Is(e.Err, plat.ErrConflict):
		l.counts.Conflicts++
		l.lost = true
		l.read()
	case errors.Is(e.Err, plat.ErrUncertain):
		l.counts.Uncertain++
		l.read()
	default:
		l.fail(now)
	}
}

func (l *Log) got(now time.Time, e Got) {
	if l.phase != phaseRead || e.Call != l.call {
		l.checkpointGot(now, e)
		return
	}
	l.phase = phaseIdle
	if errors.Is(e.Err, plat.ErrNotFound) {
		l.settle(true)
		return
	}
	if e.Err != nil {
		l.fail(now)
		return
	}
	batch, err := decodeBatch(e.Object.Value)
	switch {
	case err != nil:
		l.fail(now)
	case batch.Sequence > l.next, batch.Sequence < l.next && l.lost:
		l.lost = false
		l.loaded = false
		l.load()
	case batch.Sequence < l.next:
		l.settle(true)
	default:
		l.lost = false
		l.append(batch, e.Object.Version)
		l.settle(false)
		if l.waiting() {
			l.read()
		}
	}
}

func (l *Log) listed(now time.Time, e Listed) {
	if l.phase != phaseLoad || e.Call != l.call {
		return
	}
	l.phase = phaseIdle
	if e.Err != nil || !l.rebuild(e.Objects) {
		l.fail(now)
		return
	}
	l.loaded = true
	l.settle(true)
}

// full tells whether the next slot holds a batch that no checkpoint covers.
func (l *Log) full() bool {
	return l.loaded && l.next > l.check.manifest.Covers+Sequence(len(l.slots))
}

// fail leaves the platform alone for a while, and tells who waits.
func (l *Log) fail(now time.Time) {
	l.phase = phaseIdle
	l.away = now.Add(l.settings.Retry)
	l.refuse(now)
}

// append takes a committed batch in.
func (l *Log) append(batch Batch, version plat.Version) {
	l.state.Apply(batch)
	l.tail = append(l.tail, batch)
	*l.slot(batch.Sequence) = version
	l.next = batch.Sequence + 1
}

func (l *Log) begin(p phase) {
	l.phase = p
	l.call = l.newCall()
	for i := range l.queue {
		l.queue[i].asked = true
	}
}

func (l *Log) newCall() Call {
	l.calls++
	return l.calls
}

func (l *Log) nonce() Nonce {
	return Nonce(fmt.Sprintf("%s.%d", l.writer, l.calls+1))
}

func (l *Log) act(a Action) {
	l.out = append(l.out, a)
}

func (l *Log) reply(ticket Ticket, result Result) {
	l.act(Reply{Ticket: ticket, Result: result})
}

func (l *Log) slot(s Sequence) *plat.Version {
	return &l.slots[int(s)%len(l.slots)]
}

func (l *Log) slotKey(s Sequence) plat.Key {
	return l.shard.ringKey(int(s) % len(l.slots))
}

func classOf(batch Batch) plat.Class {
	for _, r := range batch.Records {
		if isClaim(r) {
			return plat.ClassClaim
		}
	}
	return plat.ClassBill
}
