package shard

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// ProposalID identifies a proposal within one log and is repeated in its reply.
type ProposalID uint64

// CallID identifies one platform call within one log.
type CallID uint64

// Event is an input of Log.Step.
type Event interface {
	isEvent()
}

// Propose asks the log to commit a record. With Retain, a record other than a
// claim stays queued in memory while the platform is unavailable, and the
// result is Queued.
type Propose struct {
	Proposal ProposalID
	Record   Record
	Retain   bool
}

// Cancel ends the wait for a proposal's result. The log replies at once if it has
// not replied before; a record proposed with Retain stays queued.
type Cancel struct {
	Proposal ProposalID
}

// Tick lets the log make the calls that have become due.
type Tick struct{}

// WriteDone carries the result of a WriteObject call.
type WriteDone struct {
	Call    CallID
	Version plat.Version
	Err     error
}

// ReadDone carries the result of a ReadObject call.
type ReadDone struct {
	Call   CallID
	Object plat.Object
	Err    error
}

// ListDone carries the result of a ListObjects call.
type ListDone struct {
	Call    CallID
	Objects []plat.Object
	Err     error
}

func (Propose) isEvent()   {}
func (Cancel) isEvent()    {}
func (Tick) isEvent()      {}
func (WriteDone) isEvent() {}
func (ReadDone) isEvent()  {}
func (ListDone) isEvent()  {}

// Action is an output of Log.Step. Each platform call except DeleteObject is
// followed by exactly one event with its result.
type Action interface {
	isAction()
}

// WriteObject requests a conditional write; its result is a WriteDone.
type WriteObject struct {
	Call   CallID
	Class  plat.Class
	Key    plat.Key
	Value  []byte
	Expect plat.Version
}

// ReadObject requests one object; its result is a ReadDone.
type ReadObject struct {
	Call  CallID
	Class plat.Class
	Key   plat.Key
}

// ListObjects requests all objects under a prefix; its result is a ListDone.
type ListObjects struct {
	Call   CallID
	Class  plat.Class
	Prefix plat.Key
}

// DeleteObject requests the deletion of an unreferenced object. No event follows
// it, and a failure is harmless.
type DeleteObject struct {
	Key    plat.Key
	Expect plat.Version
}

// Reply carries the result of a proposal. Each proposal gets exactly one reply.
type Reply struct {
	Proposal ProposalID
	Result   Result
}

func (WriteObject) isAction()  {}
func (ReadObject) isAction()   {}
func (ListObjects) isAction()  {}
func (DeleteObject) isAction() {}
func (Reply) isAction()        {}

// retryAfter returns the time from now to until, at least 1 ms.
func retryAfter(now, until time.Time) time.Duration {
	return max(until.Sub(now), time.Millisecond)
}
