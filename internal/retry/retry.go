// Package retry decides on retries, hedges and resumptions of attempts, limits
// them to a share of the load, and assembles a caller's answer from the frames
// of several attempts.
package retry

import (
	"time"
)

const (
	initialBackoff = 20 * time.Millisecond // before the second attempt
	maxBackoff     = time.Second           // greatest delay between attempts
	maxAttempts    = 4                     // attempts per request, including hedges
)

// Outcome is the state of an attempt.
type Outcome int

// The outcomes of an attempt.
const (
	OutcomeRunning    Outcome = iota // no first frame yet, or still streaming
	OutcomeDone                      // the final frame was received
	OutcomeNotSent                   // nothing was sent by this router
	OutcomeNotRun                    // the endpoint reports that it did not run the request
	OutcomeOverloaded                // the endpoint reports overload and did not run the request
	OutcomeRejected                  // the endpoint rejected the request as invalid
	OutcomeBroken                    // the connection failed after something was sent
)

// State is the state of a request and of its latest attempt, from which Decide
// decides.
type State struct {
	Outcome     Outcome
	Idempotent  bool
	Attempts    int           // made so far, including this one
	InFlight    int           // attempts still running, including this one if it is
	Received    int           // contiguous frames from the start, see Assembler.Next
	EarlierRan  RunState      // whether any earlier attempt ran; RanNo or "" if none did
	Started     time.Time     // of this attempt
	TailLatency time.Duration // time to the first token that only slow attempts exceed; 0 disables hedges
	Deadline    time.Time
	RetryAfter  time.Duration // requested by the endpoint, 0 if none
	Seed        uint64        // random bits for the jitter of the backoff
}

// Action is the next action: Retry, Hedge, Resume or Stop.
type Action interface{ action() }

// Retry runs the request again from the start after a delay.
type Retry struct{ After time.Duration }

// Hedge starts a second attempt beside the running one after a delay, if the
// running one has not sent a frame by then.
type Hedge struct{ After time.Duration }

// Resume continues the stream with another attempt.
type Resume struct {
	After time.Duration
	From  int // number of frames already received
}

// Stop starts no further attempt.
type Stop struct {
	Reason Reason
	Ran    RunState
}

func (Retry) action()  {}
func (Hedge) action()  {}
func (Resume) action() {}
func (Stop) action()   {}

// Reason is the reason of a Stop.
type Reason string

// The reasons of a Stop.
const (
	ReasonDone          Reason = "done"
	ReasonInFlight      Reason = "running"  // other attempts are in flight
	ReasonRejected      Reason = "rejected" // the request is invalid
	ReasonNotIdempotent Reason = "once"     // the request may have run and is not idempotent
	ReasonDeadline      Reason = "deadline" // not enough time is left
	ReasonBudget        Reason = "budget"   // the retry budget is used up
	ReasonAttempts      Reason = "attempts" // too many attempts were made
)

// RunState says whether an attempt ran, as reported to the caller.
type RunState string

// Run states.
const (
	RanNo      RunState = "no"
	RanUnknown RunState = "unknown"
	RanYes     RunState = "yes"
)

// Decide returns the next action for a request. It counts each retry, each
// resumption and each hedge without delay in the budget.
func Decide(now time.Time, s State, b *Budget) Action {
	ran := runState(s)
	switch s.Outcome {
	case OutcomeDone:
		return Stop{Reason: ReasonDone, Ran: ran}
	case OutcomeRejected:
		return Stop{Reason: ReasonRejected, Ran: ran}
	case OutcomeRunning:
		return hedge(now, s, b)
	case OutcomeNotSent, OutcomeNotRun, OutcomeOverloaded, OutcomeBroken:
	}
	if !s.Idempotent && ran != RanNo {
		return Stop{Reason: ReasonNotIdempotent, Ran: ran}
	}
	if s.InFlight > 0 {
		return Stop{Reason: ReasonInFlight, Ran: ran}
	}
	return retryOrResume(now, s, b, ran)
}

// retryOrResume allows a further attempt after a failed one, if the attempts,
// the time and the budget suffice.
func retryOrResume(now time.Time, s State, b *Budget, ran RunState) Action {
	if s.Attempts >= maxAttempts {
		return Stop{Reason: ReasonAttempts, Ran: ran}
	}
	after := backoff(s)
	if !now.Add(after).Add(s.TailLatency).Before(s.Deadline) {
		return Stop{Reason: ReasonDeadline, Ran: ran}
	}
	if !b.Allow(now) {
		return Stop{Reason: ReasonBudget, Ran: ran}
	}
	if s.Received > 0 {
		return Resume{After: after, From: s.Received}
	}
	return Retry{After: after}
}

// hedge allows one attempt beside a running one whose first token is late.
func hedge(now time.Time, s State, b *Budget) Action {
	wait := Stop{Reason: ReasonInFlight, Ran: runState(s)}
	if !s.Idempotent || s.TailLatency <= 0 || s.Received > 0 || s.InFlight > 1 || s.Attempts >= maxAttempts {
		return wait
	}
	late := s.Started.Add(s.TailLatency)
	if !late.Add(s.TailLatency).Before(s.Deadline) {
		return wait
	}
	if now.Before(late) {
		return Hedge{After: late.Sub(now)}
	}
	if !b.Allow(now) {
		return wait
	}
	return Hedge{}
}

// runState returns the run state of all attempts together, including earlier
// ones. It is RanNo only if no attempt ran.
func runState(s State) RunState {
	if s.Received > 0 || s.Outcome == OutcomeDone || s.EarlierRan == RanYes {
		return RanYes
	}
	switch s.Outcome {
	case OutcomeNotSent, OutcomeNotRun, OutcomeOverloaded, OutcomeRejected:
		if s.EarlierRan != RanUnknown && s.InFlight == 0 {
			return RanNo
		}
	case OutcomeDone, OutcomeRunning, OutcomeBroken:
	}
	return RanUnknown
}

// backoff returns the delay before the next attempt. It doubles with each
// attempt, with jitter over its upper half, and is at least RetryAfter. A stream
// is resumed without delay.
func backoff(s State) time.Duration {
	if s.Received > 0 {
		return 0
	}
	d := initialBackoff << max(0, s.Attempts-1)
	d = min(d, maxBackoff)
	d = d/2 + time.Duration(s.Seed%uint64(d/2+1))
	return max(d, s.RetryAfter)
}
