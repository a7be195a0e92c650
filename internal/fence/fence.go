// Package fence gives orders to endpoints (load, unload, role) so that a
// steward whose lease has lapsed never decides an endpoint's state. Orders
// carry the steward's term as fencing number. Endpoints that ignore the number
// get orders only well inside the lease, worded as the whole wanted state, and
// what they hold is read back and set right by whoever is steward.
package fence

import (
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	sendTime   = time.Second     // longest time from sending an order to its effect
	leaseLeft  = 2 * time.Second // an unfenced order needs as much of the lease beyond sendTime
	resendTime = 3 * time.Second // between orders to one endpoint
	readTime   = 5 * time.Second // between readings of one endpoint
)

// State is what an endpoint should hold.
type State struct {
	Release ident.Release `json:"release"`
	Loaded  bool          `json:"loaded"`
	Role    string        `json:"role,omitempty"`
}

// Event is something that the orders depend on.
type Event interface{ event() }

// Lease is the own lease: its term, and the time before which it is certain;
// the zero time if this router is not the steward.
type Lease struct {
	Term  ident.Term
	Until time.Time
}

// Want sets an endpoint's wanted state.
type SetDesired struct {
	Endpoint ident.EndpointID
	Fenced   bool // whether the endpoint checks the fencing number
	State    State
}

// Drop ends the interest in an endpoint.
type Remove struct{ Endpoint ident.EndpointID }

// Answered is the result of an order. For ResultFenced, Term is the newest term
// that the endpoint names, or the order's own if it names none.
type CommandResult struct {
	Endpoint ident.EndpointID
	Term     ident.Term
	Result   Result
}

// Result says how an order ended.
type Result int

// The results of an order.
const (
	ResultAccepted Result = iota
	ResultFenced          // the endpoint has seen a newer term
	ResultUnknown         // no answer
)

// Held is what an endpoint was read to hold, and under which term it was
// ordered; term 0 if the endpoint does not say.
type Observed struct {
	Endpoint ident.EndpointID
	State    State
	Term     ident.Term
}

// Tick is the passing of time.
type Tick struct{}

func (Lease) event()         {}
func (SetDesired) event()    {}
func (Remove) event()        {}
func (CommandResult) event() {}
func (Observed) event()      {}
func (Tick) event()          {}

// Action is something to be done.
type Action interface{ action() }

// Send sends an order. It must not be sent at or after Before, and is given up
// after Timeout.
type SendCommand struct {
	Endpoint ident.EndpointID
	State    State
	Term     ident.Term
	Before   time.Time
	Timeout  time.Duration
}

// Read asks what an endpoint holds, to be answered by Held.
type ReadState struct{ Endpoint ident.EndpointID }

// Settled says that an endpoint was read to hold its wanted state.
type Converged struct{ Endpoint ident.EndpointID }

// Fenced says that an endpoint knows a newer term: this router is no longer
// the steward, whatever it believes.
type Superseded struct {
	Endpoint ident.EndpointID
	Term     ident.Term
}

func (SendCommand) action() {}
func (ReadState) action()   {}
func (Converged) action()   {}
func (Superseded) action()  {}

// Orders keeps the wanted states of a zone's endpoints. It is owned by the
// control thread.
type Reconciler struct {
	lease     Lease
	fenced    ident.Term // orders of this term or an older one are refused
	endpoints map[ident.EndpointID]*endpoint
}

type endpoint struct {
	want    SetDesired
	settled bool
	sent    time.Time
	read    time.Time
}

// New gives orders for no endpoint.
func New() *Reconciler {
	return &Reconciler{endpoints: make(map[ident.EndpointID]*endpoint)}
}

// Step takes in an event and gives the actions that follow from it.
func (o *Reconciler) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Lease:
		o.renew(e)
	case SetDesired:
		o.want(e)
	case Remove:
		delete(o.endpoints, e.Endpoint)
		return nil
	case CommandResult:
		return o.answered(now, e)
	case Observed:
		return o.held(now, e)
	case Tick:
	}
	return o.tick(now)
}

// renew takes over the lease; in a new term all is read and settled anew.
func (o *Reconciler) renew(e Lease) {
	if e.Term != o.lease.Term {
		for _, x := range o.endpoints {
			x.settled, x.sent, x.read = false, time.Time{}, time.Time{}
		}
	}
	o.lease = e
}

func (o *Reconciler) want(e SetDesired) {
	x := o.endpoints[e.Endpoint]
	if x == nil {
		x = &endpoint{}
		o.endpoints[e.Endpoint] = x
	}
	if x.want != e {
		x.want, x.settled, x.sent = e, false, time.Time{}
	}
}

func (o *Reconciler) answered(now time.Time, e CommandResult) []Action {
	x := o.endpoints[e.Endpoint]
	if x == nil {
		return nil
	}
	if e.Result == ResultFenced {
		o.fenced = max(o.fenced, e.Term)
		return []Action{Superseded{Endpoint: e.Endpoint, Term: e.Term}}
	}
	if !now.Before(o.lease.Until) {
		return nil
	}
	x.read = now
	return []Action{ReadState{Endpoint: e.Endpoint}}
}

// held compares what an endpoint holds with what is wanted.
func (o *Reconciler) held(now time.Time, e Observed) []Action {
	x := o.endpoints[e.Endpoint]
	if x == nil {
		return nil
	}
	matches := e.State == x.want.State && (!x.want.Fenced || e.Term == o.lease.Term)
	if !matches {
		x.settled = false
		return o.tick(now)
	}
	if x.settled {
		return nil
	}
	x.settled = true
	return []Action{Converged{Endpoint: e.Endpoint}}
}

func (o *Reconciler) tick(now time.Time) []Action {
	if !now.Before(o.lease.Until) || o.lease.Term <= o.fenced {
		return nil
	}
	var actions []Action
	for _, id := range o.sorted() {
		x := o.endpoints[id]
		if before := o.before(x); !x.settled && !now.Before(x.sent.Add(resendTime)) && now.Before(before) {
			x.sent = now
			actions = append(actions, SendCommand{
				Endpoint: id, State: x.want.State, Term: o.lease.Term, Before: before, Timeout: sendTime,
			})
			continue
		}
		if !now.Before(x.read.Add(readTime)) {
			x.read = now
			actions = append(actions, ReadState{Endpoint: id})
		}
	}
	return actions
}

// before is the time before which an order may be sent. An endpoint that
// ignores the number must have taken the order while the lease is certain.
func (o *Reconciler) before(x *endpoint) time.Time {
	if x.want.Fenced {
		return o.lease.Until
	}
	return o.lease.Until.Add(-sendTime - leaseLeft)
}

func (o *Reconciler) sorted() []ident.EndpointID {
	ids := make([]ident.EndpointID, 0, len(o.endpoints))
	for id := range o.endpoints {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
