// Package retry decides what follows a failed or slow attempt, keeps retries
// and hedges within a share of the load, and assembles a caller's answer from
// the frames of several attempts.
package retry

import (
	"time"
)

const (
	firstPause  = 20 * time.Millisecond // before the second attempt
	longPause   = time.Second           // largest pause between attempts
	maxAttempts = 4                     // attempts on one request, hedges included
)

// Outcome says how an attempt stands.
type Outcome int

// The outcomes.
const (
	OutcomeRunning    Outcome = iota // no first frame yet, or still streaming
	OutcomeDone                      // the final frame was received
	OutcomeNotSent                   // nothing left this router
	OutcomeNotRun                    // the endpoint says that it ran nothing
	OutcomeOverloaded                // the endpoint says so, and that it ran nothing
	OutcomeRejected                  // the endpoint finds the request at fault
	OutcomeBroken                    // the connection broke after something was sent
)

// Facts is what is known when Decide is asked.
type State struct {
	Outcome     Outcome
	Idempotent  bool
	Attempts    int           // made so far, this one included
	InFlight    int           // attempts still running, this one included if it is
	Received    int           // frames in sequence from the start, see Assembler.Next
	EarlierRan  Ran           // whether any earlier attempt ran, RanNo or "" if none did
	Started     time.Time     // of this attempt
	TailLatency time.Duration // time to the first token that only slow attempts exceed, 0 for no hedge
	Deadline    time.Time
	RetryAfter  time.Duration // named by the endpoint, 0 if none
	Seed        uint64        // random bits for the pause
}

// Action is what to do next: Retry, Hedge, Resume or Stop.
type Action interface{ action() }

// Retry means to run the request again from the start after a pause.
type Retry struct{ After time.Duration }

// Hedge means to start a second attempt beside the running one, if that one
// has sent no frame by then.
type Hedge struct{ After time.Duration }

// Resume means to go on with the stream on another attempt.
type Resume struct {
	After time.Duration
	From  int // frames received already
}

// Stop means that no further attempt follows.
type Stop struct {
	Reason Reason
	Ran    Ran
}

func (Retry) action()  {}
func (Hedge) action()  {}
func (Resume) action() {}
func (Stop) action()   {}

// Reason says why no further attempt follows.
type Reason string

// The reasons.
const (
	ReasonDone          Reason = "done"
	ReasonInFlight      Reason = "running"  // wait for the attempts in flight
	ReasonRejected      Reason = "rejected" // the request itself is at fault
	ReasonNotIdempotent Reason = "once"     // it may have run and must not run again
	ReasonDeadline      Reason = "deadline" // too little time is left
	ReasonBudget        Reason = "budget"   // retries have used up their share of the load
	ReasonAttempts      Reason = "attempts" // too many attempts were made
)

// Ran says whether an attempt ran, as told to the caller.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Decide gives what follows an attempt. It takes from the budget for each
// retry, hedge or resumption that it allows.
func Decide(now time.Time, f State, b *Budget) Action {
	ran := ran(f)
	switch f.Outcome {
	case OutcomeDone:
		return Stop{Reason: ReasonDone, Ran: ran}
	case OutcomeRejected:
		return Stop{Reason: ReasonRejected, Ran: ran}
	case OutcomeRunning:
		return hedge(now, f, b)
	case OutcomeNotSent, OutcomeNotRun, OutcomeOverloaded, OutcomeBroken:
	}
	if !f.Idempotent && ran != RanNo {
		return Stop{Reason: ReasonNotIdempotent, Ran: ran}
	}
	if f.InFlight > 0 {
		return Stop{Reason: ReasonInFlight, Ran: ran}
	}
	return again(now, f, b, ran)
}

func again(now time.Time, f State, b *Budget, ran Ran) Action {
	if f.Attempts >= maxAttempts {
		return Stop{Reason: ReasonAttempts, Ran: ran}
	}
	after := pause(f)
	if !now.Add(after).Add(f.TailLatency).Before(f.Deadline) {
		return Stop{Reason: ReasonDeadline, Ran: ran}
	}
	if !b.Allow(now) {
		return Stop{Reason: ReasonBudget, Ran: ran}
	}
	if f.Received > 0 {
		return Resume{After: after, From: f.Received}
	}
	return Retry{After: after}
}

// hedge allows one attempt beside a running one, once that one is late.
func hedge(now time.Time, f State, b *Budget) Action {
	wait := Stop{Reason: ReasonInFlight, Ran: ran(f)}
	if !f.Idempotent || f.TailLatency <= 0 || f.Received > 0 || f.InFlight > 1 || f.Attempts >= maxAttempts {
		return wait
	}
	late := f.Started.Add(f.TailLatency)
	if !late.Add(f.TailLatency).Before(f.Deadline) {
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

// ran says whether any attempt ran. An earlier one counts too: "no" is said only
// if it is true of all.
func ran(f State) Ran {
	if f.Received > 0 || f.Outcome == OutcomeDone || f.EarlierRan == RanYes {
		return RanYes
	}
	switch f.Outcome {
	case OutcomeNotSent, OutcomeNotRun, OutcomeOverloaded, OutcomeRejected:
		if f.EarlierRan != RanUnknown && f.InFlight == 0 {
			return RanNo
		}
	case OutcomeDone, OutcomeRunning, OutcomeBroken:
	}
	return RanUnknown
}

// pause doubles with each attempt and is spread over its upper half; an
// endpoint's own word may lengthen it.
func pause(f State) time.Duration {
	if f.Received > 0 {
		return 0
	}
	d := firstPause << max(0, f.Attempts-1)
	d = min(d, longPause)
	d = d/2 + time.Duration(f.Seed%uint64(d/2+1))
	return max(d, f.RetryAfter)
}
