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

const frames = 5 // of the whole answer

var errors = []error{
	engine.ErrNotSent, engine.ErrNotRun, engine.ErrOverloaded, engine.ErrLeaving,
	engine.ErrRejected, engine.ErrBroken, nil,
}

// TestRandomFaults runs requests through random faults in random order and
// checks what must always hold after each step.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := chat()
		if rapid.Bool().Draw(t, "service") {
			r = booking()
		}
		r.ShortAnswer = rapid.Bool().Draw(t, "quick")
		var w *world
		w = newWorld(r, func(a flow.Action) []flow.Event { return answer(t, w, a) })
		w.step(flow.Start{})
		for range 60 {
			if w.flow.Done() && len(w.pending) == 0 {
				break
			}
			disturb(t, w)
			check(t, w)
		}
		finish(w)
		check(t, w)
		if len(w.replies) != 1 {
			t.Fatalf("request had %d replies", len(w.replies))
		}
		checkAnswer(t, w)
	})
}

func check(t *rapid.T, w *world) {
	if len(w.fails) > 0 {
		t.Fatalf("%s", strings.Join(w.fails, "; "))
	}
	if !strings.HasPrefix(whole(frames), w.text.String()) {
		t.Fatalf("caller got %q, which is not a prefix of the answer", w.text.String())
	}
}

func checkAnswer(t *rapid.T, w *world) {
	result := w.replies[0]
	if result.Refusal == nil && w.request.Service == "" && w.text.String() != whole(frames) {
		t.Fatalf("answer ended well but the caller got %q", w.text.String())
	}
	if len(w.settles) > 1 {
		t.Fatalf("request was billed %d times", len(w.settles))
	}
	if w.claimed && result.Refusal != nil && result.Refusal.Ran == flow.RanNo && w.unclaims == 0 {
		t.Fatalf("claim of a request that did not run was kept")
	}
}

// answer draws the answer to a question, or several in the case of a wrong one.
func answer(t *rapid.T, w *world, a flow.Action) []flow.Event {
	switch a := a.(type) {
	case flow.RequestAdmission:
		if rapid.IntRange(0, 9).Draw(t, "denied") == 0 {
			return []flow.Event{flow.Denied{Refusal: flow.Refusal{Code: flow.CodeRateLimited, Ran: flow.RanNo, RetryAfter: time.Second}}}
		}
		return []flow.Event{flow.Admitted{}}
	case flow.PlanModels:
		rungs := []flow.CascadeStep{{Index: 0, Model: "quena", RatedBefore: true}, {Index: 1, Model: "condor"}, {Index: 2, Model: "zampona", Fallback: true}}
		return []flow.Event{flow.ModelsPlanned{Steps: rungs[rapid.IntRange(0, 1).Draw(t, "rungs"):]}}
	case flow.ClaimKey:
		return []flow.Event{flow.KeyClaimed{Result: claimResult(t, w)}}
	case flow.CheckBody:
		return []flow.Event{rapid.SampledFrom([]flow.BodyChecked{
			{Allowed: true},
			{Allowed: true},
			{Allowed: true},
			{Allowed: true, Isolated: true},
			{RetryAfter: 50 * time.Millisecond},
			{Refused: true},
		}).Draw(t, "guarded")}
	case flow.SelectEndpoint:
		return []flow.Event{rapid.SampledFrom([]flow.Event{
			flow.EndpointSelected{Endpoint: endpoint("e1")},
			flow.EndpointSelected{Endpoint: endpoint("e2"), Expected: 30 * time.Millisecond},
			flow.EndpointSelected{Endpoint: endpoint("e3"), Cold: true},
			flow.EndpointsBusy{RetryAfter: 50 * time.Millisecond},
			flow.NoEndpoint{RetryAfter: time.Second},
			flow.NoEndpoint{Withdrawn: true},
		}).Draw(t, "placed")}
	case flow.RateAnswer:
		return []flow.Event{flow.AnswerRated{Accept: rapid.Bool().Draw(t, "accept")}}
	case flow.RecordBill:
		return []flow.Event{flow.BillRecorded{Durable: rapid.Bool().Draw(t, "durable")}}
	default:
		return smooth(&w)(a)
	}
}

func claimResult(t *rapid.T, w *world) shard.Result {
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
		w.claimed = true
	}
	return result
}

// disturb lets one thing happen: a pending answer, a frame, the end of an
// attempt, the passing of time, or the caller's leaving.
func disturb(t *rapid.T, w *world) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
	kind := rapid.IntRange(0, 19).Draw(t, "kind")
	switch {
	case kind == 0:
		w.step(flow.DeadlineExceeded{})
	case kind == 1 && rapid.IntRange(0, 3).Draw(t, "left") == 0:
		w.step(flow.CallerGone{})
	case len(w.pending) > 0 && kind < 14:
		e := w.pending[0]
		w.pending = w.pending[1:]
		w.step(e)
	case len(w.open) > 0:
		happen(t, w)
	}
}

// happen lets something come from one of the open attempts.
func happen(t *rapid.T, w *world) {
	ids := openIDs(w)
	id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "attempt")]
	switch rapid.IntRange(0, 5).Draw(t, "what") {
	case 0:
		w.end(id, rapid.SampledFrom(errors).Draw(t, "error"))
	case 1: // a frame of nobody, or long past
		foreign := w.frame("r9.0.0", 0, frames)
		foreign.Frame.Text = "foreign"
		w.step(foreign)
	default:
		if w.request.Service == "" {
			w.step(w.frame(id, sequence(t, w, id), frames))
		}
	}
}

// sequence draws the next frame in order, more often than a wild one.
func sequence(t *rapid.T, w *world, id ident.AttemptID) int {
	if rapid.IntRange(0, 4).Draw(t, "wild") == 0 {
		return rapid.IntRange(0, frames-1).Draw(t, "sequence")
	}
	next := max(w.next[id], w.open[id].ResumeFrom)
	w.next[id] = min(next+1, frames-1)
	return next
}

func openIDs(w *world) []ident.AttemptID {
	ids := make([]ident.AttemptID, 0, len(w.open))
	for id := range w.open {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// finish lets the deadline pass and every attempt end.
func finish(w *world) {
	w.now = w.request.Deadline.Add(time.Second)
	for range 100 {
		w.drain()
		w.step(flow.DeadlineExceeded{})
		for _, id := range openIDs(w) {
			w.end(id, engine.ErrBroken)
		}
		if w.flow.Done() && len(w.pending) == 0 {
			return
		}
	}
}
