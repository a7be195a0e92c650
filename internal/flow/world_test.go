package flow_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/internal/retry"
	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// world answers a flow's actions and keeps the books that the invariants are
// checked against.
type world struct {
	now      time.Time
	flow     *flow.Machine
	request  flow.Request
	pending  []flow.Event
	open     map[ident.AttemptID]flow.Dispatch
	sent     map[ident.AttemptID]bool // may have reached an endpoint
	harmless map[ident.AttemptID]bool // ended without having run
	next     map[ident.AttemptID]int  // frame due on an attempt
	text     strings.Builder
	replies  []flow.Result
	settles  []flow.RecordBill
	unclaims int
	claimed  bool
	opens    int
	fails    []string
	asks     func(flow.Action) []flow.Event // answers to questions
}

func newWorld(r flow.Request, asks func(flow.Action) []flow.Event) *world {
	w := &world{
		now:      start,
		request:  r,
		open:     map[ident.AttemptID]flow.Dispatch{},
		sent:     map[ident.AttemptID]bool{},
		harmless: map[ident.AttemptID]bool{},
		next:     map[ident.AttemptID]int{},
		asks:     asks,
	}
	price := func(ident.Release, engine.Usage) ident.Micros { return 7 }
	w.flow = flow.New(r, "r1.0.", retry.NewBudget(0.5), price)
	return w
}

// step feeds one event and does what follows from it.
func (w *world) step(e flow.Event) {
	for _, a := range w.flow.Step(w.now, e) {
		w.do(a)
	}
}

// drain feeds events until nothing is pending.
func (w *world) drain() {
	for len(w.pending) > 0 {
		e := w.pending[0]
		w.pending = w.pending[1:]
		w.step(e)
	}
}

func (w *world) do(a flow.Action) {
	switch a := a.(type) {
	case flow.Dispatch:
		w.dispatch(a)
	case flow.OpenResponse:
		w.opens++
	case flow.WriteText:
		w.text.WriteString(a.Text)
		if w.opens != 1 {
			w.fail("text before the answer was opened")
		}
		if len(w.replies) > 0 {
			w.fail("text after the reply")
		}
	case flow.RecordBill:
		w.settles = append(w.settles, a)
		w.pending = append(w.pending, w.asks(a)...)
	case flow.ReleaseKey:
		w.unclaims++
		if w.maySentNow() {
			w.fail("claim given back though an attempt may have run")
		}
	case flow.Reply:
		w.reply(a)
	case flow.SetTimer:
		w.now = w.now.Add(a.After) // nothing else happens in the meantime
		w.pending = append(w.pending, flow.TimerFired{Timer: a.Timer})
	default:
		w.pending = append(w.pending, w.asks(a)...)
	}
}

func (w *world) dispatch(a flow.Dispatch) {
	if len(w.replies) > 0 {
		w.fail("attempt sent after the reply")
	}
	if !w.request.Idempotent && w.maySentNow() {
		w.fail("request that must run once was sent while an attempt may have run")
	}
	if !w.request.Idempotent && !w.claimed {
		w.fail("request that must run once was sent without a claim")
	}
	w.open[a.Attempt] = a
	w.sent[a.Attempt] = true
}

// maySentNow tells whether any attempt runs or may have run.
func (w *world) maySentNow() bool {
	for id := range w.sent {
		if !w.harmless[id] {
			return true
		}
	}
	return false
}

func (w *world) reply(a flow.Reply) {
	w.replies = append(w.replies, a.Result)
	if len(w.replies) > 1 {
		w.fail("second reply")
	}
	refusal := a.Result.Refusal
	if refusal == nil {
		if len(w.settles) != 1 && !a.Result.Replayed {
			w.fail("answer without exactly one bill")
		}
		return
	}
	if refusal.Ran == flow.RanNo && w.maySentNow() {
		w.fail("refusal says not run, but an attempt may have run")
	}
	if refusal.Ran == flow.RanNo && !w.request.Idempotent && !w.claimed {
		w.fail("refusal says not run of a key whose earlier use is not known")
	}
}

func (w *world) fail(what string) {
	w.fails = append(w.fails, what)
}

// end ends an attempt with an error.
func (w *world) end(id ident.AttemptID, err error) {
	delete(w.open, id)
	if err != nil && harmless(err) {
		w.harmless[id] = true
	}
	w.step(flow.AttemptEnded{Attempt: id, Error: err})
	w.drain()
}

func harmless(err error) bool {
	switch err {
	case engine.ErrNotSent, engine.ErrNotRun, engine.ErrOverloaded, engine.ErrLeaving, engine.ErrRejected:
		return true
	default:
		return false
	}
}

// frame gives the n-th frame of the answer, whose whole text is the same on
// every endpoint.
func (w *world) frame(id ident.AttemptID, n, total int) flow.FrameReceived {
	f := engine.Frame{Request: w.request.Key.Request, Attempt: id, Sequence: n, Text: fmt.Sprintf("t%d ", n)}
	if n == total-1 {
		f.Final = true
		f.Finish = "stop"
		f.Usage = engine.Usage{Prompt: 3, Answer: ident.Tokens(total)}
	}
	return flow.FrameReceived{Frame: f}
}

func whole(total int) string {
	var b strings.Builder
	for n := range total {
		fmt.Fprintf(&b, "t%d ", n)
	}
	return b.String()
}

func chat() flow.Request {
	return flow.Request{
		Key:        ident.RequestKey{Team: "ledger", Request: "q1"},
		Team:       &fleet.Team{ID: "ledger"},
		Model:      "condor",
		Idempotent: true,
		Deadline:   start.Add(20 * time.Second),
	}
}

func booking() flow.Request {
	return flow.Request{
		Key:         ident.RequestKey{Team: "roster", Request: "call:booking:k1"},
		Team:        &fleet.Team{ID: "roster"},
		Service:     "booking",
		Idempotency: "k1",
		Deadline:    start.Add(20 * time.Second),
	}
}

func endpoint(id ident.EndpointID) *fleet.Endpoint {
	return &fleet.Endpoint{Spec: &fleet.EndpointSpec{ID: id}}
}

// smooth answers every question in the best way.
func smooth(w **world) func(flow.Action) []flow.Event {
	return func(a flow.Action) []flow.Event {
		switch a := a.(type) {
		case flow.RequestAdmission:
			return []flow.Event{flow.Admitted{}}
		case flow.PlanModels:
			return []flow.Event{flow.ModelsPlanned{Steps: []flow.CascadeStep{{Model: "condor"}}}}
		case flow.ResolveVersion:
			return []flow.Event{flow.VersionResolved{Meta: flow.Meta{Release: ident.Release{Model: a.Model, Version: "1"}}}}
		case flow.ClaimKey:
			(*w).claimed = true
			return []flow.Event{flow.KeyClaimed{Result: shard.Granted{}}}
		case flow.CheckBody:
			return []flow.Event{flow.BodyChecked{Allowed: true}}
		case flow.SelectEndpoint:
			return []flow.Event{flow.EndpointSelected{Endpoint: endpoint("e1")}}
		case flow.RateAnswer:
			return []flow.Event{flow.AnswerRated{Accept: true}}
		case flow.RecordBill:
			return []flow.Event{flow.BillRecorded{Durable: true}}
		default:
			return nil
		}
	}
}

func newSmooth(r flow.Request) *world {
	var w *world
	w = newWorld(r, nil)
	w.asks = smooth(&w)
	return w
}
