package shard

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// Ticket names a proposal within one log, so that its answer finds its way.
type Ticket uint64

// Call names one call to the platform within one log.
type Call uint64

// Event is an input of Log.Step.
type Event interface {
	isEvent()
}

// Propose asks for a record to be committed. With Keep, a record that is not a
// claim waits in memory while the platform is away; the answer is then Queued.
type Propose struct {
	Ticket Ticket
	Record Record
	Keep   bool
}

// Abandon says that nobody waits for the proposal's answer any more. It is
// answered at once, if it was not before; a record to Keep stays queued.
type Abandon struct {
	Ticket Ticket
}

// Tick lets the log act on the passing of time.
type Tick struct{}

// Put reports the end of a WriteObject call.
type Put struct {
	Call    Call
	Version plat.Version
	Err     error
}

// Got reports the end of a ReadObject call.
type Got struct {
	Call   Call
	Object plat.Object
	Err    error
}

// Listed reports the end of a ListObjects call.
type Listed struct {
	Call    Call
	Objects []plat.Object
	Err     error
}

func (Propose) isEvent() {}
func (Abandon) isEvent() {}
func (Tick) isEvent()    {}
func (Put) isEvent()     {}
func (Got) isEvent()     {}
func (Listed) isEvent()  {}

// Action is an output of Log.Step. Each call to the platform is answered by
// exactly one event.
type Action interface {
	isAction()
}

// WriteObject asks for a conditional write, answered by Put.
type WriteObject struct {
	Call   Call
	Class  plat.Class
	Key    plat.Key
	Value  []byte
	Expect plat.Version
}

// ReadObject asks for one object, answered by Got.
type ReadObject struct {
	Call  Call
	Class plat.Class
	Key   plat.Key
}

// ListObjects asks for all objects under a prefix, answered by Listed.
type ListObjects struct {
	Call   Call
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
	Ticket Ticket
	Result Result
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
