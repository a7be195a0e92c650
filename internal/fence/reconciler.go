// Package fence reconciles the state of endpoints (loaded release, role) with the
// desired state so that a steward whose lease has expired never decides an
// endpoint's state. Commands carry the steward's term as fencing token. Endpoints
// that ignore the token get commands only with enough of the lease left. Commands
// contain the complete desired state, and the current steward reads the state back
// and corrects it.
package fence

import (
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	commandTimeout      = time.Second     // from sending a command to its effect
	unfencedLeaseMargin = 2 * time.Second // lease left after the timeout of a command without fencing
	resendInterval      = 3 * time.Second // between commands to one endpoint
	readInterval        = 5 * time.Second // between reads of one endpoint's state
)

// State is the state of an endpoint.
type State struct {
	Release ident.Release `json:"release"`
	Loaded  bool          `json:"loaded"`
	Role    string        `json:"role,omitempty"`
}

// Event is an input of a Reconciler: Lease, SetDesired, Remove, CommandResult,
// Observed or Tick.
type Event interface{ event() }

// Lease is this router's lease: its term, and the time until which it is certainly
// valid, the zero time if this router is not the steward.
type Lease struct {
	Term  ident.Term
	Until time.Time
}

// SetDesired sets an endpoint's desired state.
type SetDesired struct {
	Endpoint ident.EndpointID
	Fenced   bool // whether the endpoint checks the fencing token
	State    State
}

// Remove removes an endpoint from the Reconciler.
type Remove struct{ Endpoint ident.EndpointID }

// CommandResult is the result of a command. For ResultFenced, Term is the latest
// term reported by the endpoint, or the command's own if it reports none.
type CommandResult struct {
	Endpoint ident.EndpointID
	Term     ident.Term
	Result   Result
}

// Result is how a command ended.
type Result int

// The results of a command.
const (
	ResultAccepted Result = iota
	ResultFenced          // the endpoint has seen a newer term
	ResultUnknown         // no answer
)

// Observed is the state read from an endpoint and the term of the command that set
// it, 0 if the endpoint does not report it.
type Observed struct {
	Endpoint ident.EndpointID
	State    State
	Term     ident.Term
}

// Tick is sent periodically.
type Tick struct{}

func (Lease) event()         {}
func (SetDesired) event()    {}
func (Remove) event()        {}
func (CommandResult) event() {}
func (Observed) event()      {}
func (Tick) event()          {}

// Action is an output of a Reconciler: SendCommand, ReadState, Converged or
// Superseded.
type Action interface{ action() }

// SendCommand sends a command. It must be sent before the time Before, or not at
// all, and is cancelled after Timeout.
type SendCommand struct {
	Endpoint ident.EndpointID
	State    State
	Term     ident.Term
	Before   time.Time
	Timeout  time.Duration
}

// ReadState reads an endpoint's state, for an Observed event.
type ReadState struct{ Endpoint ident.EndpointID }

// Converged reports that an endpoint has its desired state.
type Converged struct{ Endpoint ident.EndpointID }

// Superseded reports that an endpoint has seen a newer term: this router is no
// longer the steward, even if its lease seems valid.
type Superseded struct {
	Endpoint ident.EndpointID
	Term     ident.Term
}

func (SendCommand) action() {}
func (ReadState) action()   {}
func (Converged) action()   {}
func (Superseded) action()  {}

// Reconciler reconciles the state of a zone's endpoints with the desired state. It
// is not safe for concurrent use; only the control loop uses it.
type Reconciler struct {
	lease          Lease
	supersededTerm ident.Term // commands of this term and older ones are refused
	endpoints      map[ident.EndpointID]*endpointState
}

type endpointState struct {
	desired   SetDesired
	converged bool
	sentAt    time.Time
	readAt    time.Time
}

// New returns a Reconciler without endpoints.
func New() *Reconciler {
	return &Reconciler{endpoints: make(map[ident.EndpointID]*endpointState)}
}

// Step applies an event and returns the resulting actions.
func (r *Reconciler) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Lease:
		r.setLease(e)
	case SetDesired:
		r.setDesired(e)
	case Remove:
		delete(r.endpoints, e.Endpoint)
		return nil
	case CommandResult:
		return r.commandResult(now, e)
	case Observed:
		return r.observed(now, e)
	case Tick:
	}
	return r.reconcile(now)
}

// setLease sets the lease. In a new term all endpoints are read and reconciled
// again.
func (r *Reconciler) setLease(e Lease) {
	if e.Term != r.lease.Term {
		for _, x := range r.endpoints {
			x.converged, x.sentAt, x.readAt = false, time.Time{}, time.Time{}
		}
	}
	r.lease = e
}

func (r *Reconciler) setDesired(e SetDesired) {
	x := r.endpoints[e.Endpoint]
	if x == nil {
		x = &endpointState{}
		r.endpoints[e.Endpoint] = x
	}
	if x.desired != e {
		x.desired, x.converged, x.sentAt = e, false, time.Time{}
	}
}

func (r *Reconciler) commandResult(now time.Time, e CommandResult) []Action {
	x := r.endpoints[e.Endpoint]
	if x == nil {
		return nil
	}
	if e.Result == ResultFenced {
		r.supersededTerm = max(r.supersededTerm, e.Term)
		return []Action{Superseded{Endpoint: e.Endpoint, Term: e.Term}}
	}
	if !now.Before(r.lease.Until) {
		return nil
	}
	x.readAt = now
	return []Action{ReadState{Endpoint: e.Endpoint}}
}

// observed compares an endpoint's state with the desired state.
func (r *Reconciler) observed(now time.Time, e Observed) []Action {
	x := r.endpoints[e.Endpoint]
	if x == nil {
		return nil
	}
	matches := e.State == x.desired.State && (!x.desired.Fenced || e.Term == r.lease.Term)
	if !matches {
		x.converged = false
		return r.reconcile(now)
	}
	if x.converged {
		return nil
	}
	x.converged = true
	return []Action{Converged{Endpoint: e.Endpoint}}
}

// reconcile returns the commands and reads that are due.
func (r *Reconciler) reconcile(now time.Time) []Action {
	if !now.Before(r.lease.Until) || r.lease.Term <= r.supersededTerm {
		return nil
	}
	var actions []Action
	for _, id := range r.sortedIDs() {
		x := r.endpoints[id]
		if before := r.sendDeadline(x); !x.converged && !now.Before(x.sentAt.Add(resendInterval)) && now.Before(before) {
			x.sentAt = now
			actions = append(actions, SendCommand{
				Endpoint: id, State: x.desired.State, Term: r.lease.Term, Before: before, Timeout: commandTimeout,
			})
			continue
		}
		if !now.Before(x.readAt.Add(readInterval)) {
			x.readAt = now
			actions = append(actions, ReadState{Endpoint: id})
		}
	}
	return actions
}

// sendDeadline returns the time before which a command may be sent. An endpoint that
// ignores the fencing token must have applied the command while the lease is
// certainly valid.
func (r *Reconciler) sendDeadline(x *endpointState) time.Time {
	if x.desired.Fenced {
		return r.lease.Until
	}
	return r.lease.Until.Add(-commandTimeout - unfencedLeaseMargin)
}

func (r *Reconciler) sortedIDs() []ident.EndpointID {
	ids := make([]ident.EndpointID, 0, len(r.endpoints))
	for id := range r.endpoints {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
