package flow_test

import (
	"sort"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const frameCount = 5 // of the complete answer

var attemptErrors = []error{
	engine.ErrNotSent, engine.ErrNotRun, engine.ErrOverloaded, engine.ErrLeaving,
	engine.ErrRejected, engine.ErrConnectionBroken, nil,
}

// TestRandomFaults runs requests with random faults in random order and checks
// the invariants after each event.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := chatRequest()
		if rapid.Bool().Draw(t, "service") {
			r = bookingRequest()
		}
		r.ShortAnswer = rapid.Bool().Draw(t, "short answer")
		var s *simulation
		s = newSimulation(r, func(a flow.Action) []flow.Event { return randomResponse(t, s, a) })
		s.feed(flow.Start{})
		for range 60 {
			if s.machine.Done() && len(s.pending) == 0 {
				break
			}
			randomEvent(t, s)
			checkInvariants(t, s)
		}
		endAllAttempts(s)
		checkInvariants(t, s)
		if len(s.replies) != 1 {
			t.Fatalf("request had %d replies", len(s.replies))
		}
		checkOutcome(t, s)
	})
}

func checkInvariants(t *rapid.T, s *simulation) {
	if len(s.violations) > 0 {
		t.Fatalf("%s", strings.Join(s.violations, "; "))
	}
	if !strings.HasPrefix(answerText(frameCount), s.text.String()) {
		t.Fatalf("caller got %q, which is not a prefix of the answer", s.text.String())
	}
}

func checkOutcome(t *rapid.T, s *simulation) {
	result := s.replies[0]
	if result.Refusal == nil && s.request.Service == "" && s.text.String() != answerText(frameCount) {
		t.Fatalf("answer ended well but the caller got %q", s.text.String())
	}
	if len(s.bills) > 1 {
		t.Fatalf("request was billed %d times", len(s.bills))
	}
	if s.claimed && result.Refusal != nil && result.Refusal.Ran == flow.RanNo && s.keyReleases == 0 {
		t.Fatalf("claim of a request that did not run was kept")
	}
}

// randomResponse draws the events that answer an action.
func randomResponse(t *rapid.T, s *simulation, a flow.Action) []flow.Event {
	switch a := a.(type) {
	case flow.RequestAdmission:
		if rapid.IntRange(0, 9).Draw(t, "denied") == 0 {
			return []flow.Event{flow.Denied{Refusal: flow.Refusal{Code: flow.CodeRateLimited, Ran: flow.RanNo, RetryAfter: time.Second}}}
		}
		return []flow.Event{flow.Admitted{}}
	case flow.PlanModels:
		steps := []flow.CascadeStep{{Index: 0, Model: "quena", RatedBefore: true}, {Index: 1, Model: "condor"}, {Index: 2, Model: "zampona", Fallback: true}}
		return []flow.Event{flow.ModelsPlanned{Steps: steps[rapid.IntRange(0, 1).Draw(t, "first step"):]}}
	case flow.ClaimKey:
		return []flow.Event{flow.KeyClaimed{Result: randomClaimResult(t, s)}}
	case flow.CheckBody:
		return []flow.Event{rapid.SampledFrom([]flow.BodyChecked{
			{Allowed: true},
			{Allowed: true},
			{Allowed: true},
			{Allowed: true, Isolated: true},
			{RetryAfter: 50 * time.Millisecond},
			{Refused: true},
		}).Draw(t, "body check")}
	case flow.SelectEndpoint:
		return []flow.Event{rapid.SampledFrom([]flow.Event{
			flow.EndpointSelected{Endpoint: newEndpoint("e1")},
			flow.EndpointSelected{Endpoint: newEndpoint("e2"), Expected: 30 * time.Millisecond},
			flow.EndpointSelected{Endpoint: newEndpoint("e3"), Cold: true},
			flow.EndpointsBusy{RetryAfter: 50 * time.Millisecond},
			flow.NoEndpoint{RetryAfter: time.Second},
			flow.NoEndpoint{Withdrawn: true},
		}).Draw(t, "selection")}
	case flow.RateAnswer:
		return []flow.Event{flow.AnswerRated{Accept: rapid.Bool().Draw(t, "accept")}}
	case flow.RecordBill:
		return []flow.Event{flow.BillRecorded{Durable: rapid.Bool().Draw(t, "durable")}}
	default:
		return succeed(&s)(a)
	}
}

func randomClaimResult(t *rapid.T, s *simulation) shard.Result {
	result := rapid.SampledFrom([]shard.Result{
		shard.Granted{},
		shard.Granted{},
		shard.Granted{},
		shard.Taken{By: shard.Claim{Nonce: "other"}},
		shard.Taken{By: shard.Claim{Nonce: "other"}, Outcome: &shard.Outcome{Status: 200}},
		shard.Unavailable{After: time.Second},
		shard.Released{},
	}).Draw(t, "claim")
	if _, ok := result.(shard.Granted); ok {
		s.claimed = true
	}
	return result
}

// randomEvent advances the clock and feeds one event: the deadline, the caller's
// disconnection, a pending answer, or an event of an attempt.
func randomEvent(t *rapid.T, s *simulation) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
	kind := rapid.IntRange(0, 19).Draw(t, "kind")
	switch {
	case kind == 0:
		s.feed(flow.DeadlineExceeded{})
	case kind == 1 && rapid.IntRange(0, 3).Draw(t, "caller gone") == 0:
		s.feed(flow.CallerGone{})
	case len(s.pending) > 0 && kind < 14:
		e := s.pending[0]
		s.pending = s.pending[1:]
		s.feed(e)
	case len(s.running) > 0:
		randomAttemptEvent(t, s)
	}
}

// randomAttemptEvent feeds a frame or the end of a running attempt.
func randomAttemptEvent(t *rapid.T, s *simulation) {
	ids := runningIDs(s)
	id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "attempt")]
	switch rapid.IntRange(0, 5).Draw(t, "what") {
	case 0:
		s.endAttempt(id, rapid.SampledFrom(attemptErrors).Draw(t, "error"))
	case 1: // a frame of an unknown attempt
		foreign := s.frame("r9.0.0", 0, frameCount)
		foreign.Frame.Text = "foreign"
		s.feed(foreign)
	default:
		if s.request.Service == "" {
			s.feed(s.frame(id, randomSequence(t, s, id), frameCount))
		}
	}
}

// randomSequence draws the next frame in sequence, less often an arbitrary one.
func randomSequence(t *rapid.T, s *simulation, id ident.AttemptID) int {
	if rapid.IntRange(0, 4).Draw(t, "out of sequence") == 0 {
		return rapid.IntRange(0, frameCount-1).Draw(t, "sequence")
	}
	next := max(s.nextFrame[id], s.running[id].ResumeFrom)
	s.nextFrame[id] = min(next+1, frameCount-1)
	return next
}

func runningIDs(s *simulation) []ident.AttemptID {
	ids := make([]ident.AttemptID, 0, len(s.running))
	for id := range s.running {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// endAllAttempts lets the deadline pass and ends every attempt.
func endAllAttempts(s *simulation) {
	s.now = s.request.Deadline.Add(time.Second)
	for range 100 {
		s.drain()
		s.feed(flow.DeadlineExceeded{})
		for _, id := range runningIDs(s) {
			s.endAttempt(id, engine.ErrConnectionBroken)
		}
		if s.machine.Done() && len(s.pending) == 0 {
			return
		}
	}
}
