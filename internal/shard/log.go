package shard

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// Log commits the records of one shard. It is a deterministic state machine
// without I/O: Step takes the time and an event, and returns the platform calls
// to make and the replies to send.
//
// Batches are stored in a ring of objects that are overwritten in turn. A batch
// is written on the condition that its slot still holds the batch one ring length
// earlier. So each sequence number is written once, by the first writer, and a
// writer that was suspended for several rounds of the ring can't overwrite newer
// batches. If old batches were deleted and new ones created, such a writer could
// create a batch again whose sequence number has been used and deleted.
type Log struct {
	shard    ID
	writer   Nonce // prefix of the nonces of this log's writes
	settings Settings

	state  *State
	loaded bool
	next   Sequence       // of the next batch
	slots  []plat.Version // of the ring's objects, as last seen
	tail   []Batch        // batches not covered by a checkpoint

	queue            []proposal
	phase            phase
	call             CallID    // in progress, of phase
	lastCall         CallID    // last one issued
	inFlight         Batch     // of the write in progress
	conflicted       bool      // last write failed with a conflict
	lastWrite        time.Time // start of the last batch write
	unavailableUntil time.Time // no calls before this time, after a failed one

	checkpoint checkpoint
	counts     Counts
	actions    []Action
}

// phase is the kind of platform call that the log waits for, apart from those
// of its checkpoint.
type phase int

const (
	phaseIdle phase = iota
	phaseLoad
	phaseWrite
	phaseRead
)

// Counts are the totals of a log since it was created.
type Counts struct {
	Batches     int // written by this log
	Records     int // in those batches
	Bytes       int // of written batches and checkpoints
	Conflicts   int // writes that another router's write preceded
	Uncertain   int // writes whose result is unknown
	Refused     int // proposals with result Unavailable because of the platform
	QueueFull   int // records rejected because the queue was full or they could not be encoded
	Checkpoints int
	Loads       int
}

// NewLog returns the log of a shard, which loads its state before its first
// write. The writer must be unique across all routers and restarts.
func NewLog(shard ID, writer Nonce, settings Settings) *Log {
	return &Log{
		shard: shard, writer: writer, settings: settings,
		state: NewState(), next: 1, slots: make([]plat.Version, settings.RingSize),
	}
}

// Step handles one event and returns the resulting actions.
func (l *Log) Step(now time.Time, event Event) []Action {
	l.actions = nil
	switch e := event.(type) {
	case Propose:
		l.propose(now, e)
	case Cancel:
		l.cancel(now, e.Proposal)
	case WriteDone:
		l.handleWriteDone(now, e)
	case ReadDone:
		l.handleReadDone(now, e)
	case ListDone:
		l.handleListDone(now, e)
	case Tick:
	}
	l.advance(now)
	return l.actions
}

// Due returns the time at which the log needs a Tick, if it needs one.
func (l *Log) Due() (time.Time, bool) {
	if l.phase != phaseIdle || len(l.queue) == 0 {
		return time.Time{}, false
	}
	due := l.lastWrite.Add(l.settings.BatchInterval)
	if l.unavailableUntil.After(due) {
		due = l.unavailableUntil
	}
	if !l.ringFull() {
		return due, true
	}
	if l.checkpoint.retryAt.After(due) {
		due = l.checkpoint.retryAt
	}
	return due, l.checkpoint.stage == stageNone
}

// Pending returns the records that are not durable yet, except for claims.
func (l *Log) Pending() []Record {
	var records []Record
	for _, p := range l.queue {
		if _, ok := p.record.(Claim); !ok {
			records = append(records, p.record)
		}
	}
	return records
}

// Counts returns the totals since the log was created.
func (l *Log) Counts() Counts {
	return l.counts
}

// Idle reports whether the log has no call in progress and no queued record, so
// that it can be unloaded.
func (l *Log) Idle() bool {
	return l.phase == phaseIdle && l.checkpoint.stage == stageNone && len(l.queue) == 0
}

// advance starts the next platform call, if one is due.
func (l *Log) advance(now time.Time) {
	if l.phase != phaseIdle || len(l.queue) == 0 || now.Before(l.unavailableUntil) {
		return
	}
	if !l.loaded {
		l.load()
		return
	}
	l.startCheckpoint(now)
	if l.ringFull() || now.Before(l.lastWrite.Add(l.settings.BatchInterval)) {
		return
	}
	batch, text := l.buildBatch()
	if len(batch.Records) == 0 {
		l.lastWrite = now
		l.readNext()
		return
	}
	l.write(now, batch, text)
}

func (l *Log) write(now time.Time, batch Batch, text []byte) {
	l.lastWrite = now
	l.inFlight = batch
	l.beginCall(phaseWrite)
	l.counts.Bytes += len(text)
	l.emit(WriteObject{
		Call: l.call, Class: callClass(batch), Key: l.slotKey(l.next), Value: text,
		Expect: *l.slotVersion(l.next),
	})
}

// readNext reads the next slot, which another router may have written.
func (l *Log) readNext() {
	l.beginCall(phaseRead)
	l.emit(ReadObject{Call: l.call, Class: plat.ClassClaim, Key: l.slotKey(l.next)})
}

func (l *Log) load() {
	l.beginCall(phaseLoad)
	l.counts.Loads++
	l.emit(ListObjects{Call: l.call, Class: plat.ClassClaim, Prefix: l.shard.Prefix()})
}

func (l *Log) handleWriteDone(now time.Time, e WriteDone) {
	if l.phase != phaseWrite || e.Call != l.call {
		l.handleCheckpointWrite(now, e)
		return
	}
	l.phase = phaseIdle
	l.recordWriteEnd(errors.Is(e.Err, plat.ErrUncertain))
	switch {
	case e.Err == nil:
		l.counts.Batches++
		l.counts.Records += len(l.inFlight.Records)
		l.applyBatch(l.inFlight, e.Version)
		l.replyDecided(true)
	case errors.Is(e.Err, plat.ErrConflict):
		l.counts.Conflicts++
		l.conflicted = true
		l.readNext()
	case errors.Is(e.Err, plat.ErrUncertain):
		l.counts.Uncertain++
		l.readNext()
	default:
		l.platformFailed(now)
	}
}

func (l *Log) handleReadDone(now time.Time, e ReadDone) {
	if l.phase != phaseRead || e.Call != l.call {
		l.handleCheckpointRead(now, e)
		return
	}
	l.phase = phaseIdle
	if errors.Is(e.Err, plat.ErrNotFound) {
		l.replyDecided(true)
		return
	}
	if e.Err != nil {
		l.platformFailed(now)
		return
	}
	batch, err := decodeBatch(e.Object.Value)
	switch {
	case err != nil:
		l.platformFailed(now)
	case batch.Sequence > l.next, batch.Sequence < l.next && l.conflicted:
		l.conflicted = false
		l.loaded = false
		l.load()
	case batch.Sequence < l.next:
		l.replyDecided(true)
	default:
		l.conflicted = false
		l.applyBatch(batch, e.Object.Version)
		l.replyDecided(false)
		if l.needsRead() {
			l.readNext()
		}
	}
}

func (l *Log) handleListDone(now time.Time, e ListDone) {
	if l.phase != phaseLoad || e.Call != l.call {
		return
	}
	l.phase = phaseIdle
	if e.Err != nil || !l.rebuild(e.Objects) {
		l.platformFailed(now)
		return
	}
	l.loaded = true
	l.replyDecided(true)
}

// ringFull reports whether the next slot holds a batch that no checkpoint covers.
func (l *Log) ringFull() bool {
	return l.loaded && l.next > l.checkpoint.manifest.Covers+Sequence(len(l.slots))
}

// platformFailed suspends calls for RetryDelay and replies to the proposals that
// can't wait.
func (l *Log) platformFailed(now time.Time) {
	l.phase = phaseIdle
	l.unavailableUntil = now.Add(l.settings.RetryDelay)
	l.refuseQueued(now)
}

// applyBatch applies a committed batch to the state and advances the log.
func (l *Log) applyBatch(batch Batch, version plat.Version) {
	l.state.Apply(batch)
	l.tail = append(l.tail, batch)
	*l.slotVersion(batch.Sequence) = version
	l.next = batch.Sequence + 1
}

func (l *Log) beginCall(p phase) {
	l.phase = p
	l.call = l.newCall()
	for i := range l.queue {
		l.queue[i].precedesCall = true
	}
}

func (l *Log) newCall() CallID {
	l.lastCall++
	return l.lastCall
}

func (l *Log) nonce() Nonce {
	return Nonce(fmt.Sprintf("%s.%d", l.writer, l.lastCall+1))
}

func (l *Log) emit(a Action) {
	l.actions = append(l.actions, a)
}

func (l *Log) reply(id ProposalID, result Result) {
	l.emit(Reply{Proposal: id, Result: result})
}

func (l *Log) slotVersion(s Sequence) *plat.Version {
	return &l.slots[int(s)%len(l.slots)]
}

func (l *Log) slotKey(s Sequence) plat.Key {
	return l.shard.ringKey(int(s) % len(l.slots))
}

func callClass(batch Batch) plat.Class {
	for _, r := range batch.Records {
		if isClaim(r) {
			return plat.ClassClaim
		}
	}
	return plat.ClassBill
}
