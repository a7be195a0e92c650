package shard

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// Ticket names a proposal within one log, so that its answer finds its way.
type ProposalID uint64

// Call names one call to the platform within one log.
type CallID uint64

// Event is an input of Log.Step.
type Event interface {
	isEvent()
}

// Propose asks for a record to be committed. With Keep, a record that is not a
// claim waits in memory while the platform is away; the answer is then Queued.
type Propose struct {
	Proposal ProposalID
	Record   Record
	Retain   bool
}

// Abandon says that nobody waits for the proposal's answer any more. It is
// answered at once, if it was not before; a record to Keep stays queued.
type Cancel struct {
	Proposal ProposalID
}

// Tick lets the log act on the passing of time.
type Tick struct{}

// Put reports the end of a WriteObject call.
type WriteDone struct {
	Call    CallID
	Version plat.Version
	Err     error
}

// Got reports the end of a ReadObject call.
type ReadDone struct {
	Call   CallID
	Object plat.Object
	Err    error
}

// Listed reports the end of a ListObjects call.
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

// Action is an output of Log.Step. Each call to the platform is answered by
// exactly one event.
type Action interface {
	isAction()
}

// WriteObject asks for a conditional write, answered by Put.
type WriteObject struct {
	Call   CallID
	Class  plat.Class
	Key    plat.Key
	Value  []byte
	Expect plat.Version
}

// ReadObject asks for one object, answered by Got.
type ReadObject struct {
	Call  CallID
	Class plat.Class
	Key   plat.Key
}

// ListObjects asks for all objects under a prefix, answered by Listed.
type ListObjects struct {
	Call   CallID
	Class  plat.Class
	Prefix plat.Key
}

// DeleteObject asks for the removal of an object that nothing refers to any
// more. It is not answered, and its failure does no harm.
type DeleteObject struct {
	Key    plat.Key
	Expect plat.Version
}

// Reply answers a proposal. Each ticket is answered exactly once.
type Reply struct {
	Proposal ProposalID
	Result   Result
}

func (WriteObject) isAction()  {}
func (ReadObject) isAction()   {}
func (ListObjects) isAction()  {}
func (DeleteObject) isAction() {}
func (Reply) isAction()        {}

// retryAfter gives the time from now until a moment, at least a millisecond.
func retryAfter(now, until time.Time) time.Duration {
	return max(until.Sub(now), time.Millisecond)
}
