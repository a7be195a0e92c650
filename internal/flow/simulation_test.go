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

// simulation drives a Machine, answers its actions and records what the invariants
// are checked against.
type simulation struct {
	now         time.Time
	machine     *flow.Machine
	request     flow.Request
	pending     []flow.Event
	running     map[ident.AttemptID]flow.Dispatch
	sent        map[ident.AttemptID]bool // may have reached an endpoint
	notRun      map[ident.AttemptID]bool // ended without having run
	nextFrame   map[ident.AttemptID]int  // next frame of an attempt
	text        strings.Builder
	replies     []flow.Result
	bills       []flow.RecordBill
	keyReleases int
	claimed     bool
	openCount   int
	violations  []string
	respond     func(flow.Action) []flow.Event // events that answer an action
}

func newSimulation(r flow.Request, respond func(flow.Action) []flow.Event) *simulation {
	s := &simulation{
		now:       start,
		request:   r,
		running:   map[ident.AttemptID]flow.Dispatch{},
		sent:      map[ident.AttemptID]bool{},
		notRun:    map[ident.AttemptID]bool{},
		nextFrame: map[ident.AttemptID]int{},
		respond:   respond,
	}
	price := func(ident.Release, engine.Usage) ident.Micros { return 7 }
	s.machine = flow.New(r, "r1.0.", retry.NewBudget(0.5), price)
	return s
}

// feed passes one event to the machine and applies the resulting actions.
func (s *simulation) feed(e flow.Event) {
	for _, a := range s.machine.Step(s.now, e) {
		s.apply(a)
	}
}

// drain feeds pending events until none is left.
func (s *simulation) drain() {
	for len(s.pending) > 0 {
		e := s.pending[0]
		s.pending = s.pending[1:]
		s.feed(e)
	}
}

func (s *simulation) apply(a flow.Action) {
	switch a := a.(type) {
	case flow.Dispatch:
		s.dispatch(a)
	case flow.OpenResponse:
		s.openCount++
	case flow.WriteText:
		s.text.WriteString(a.Text)
		if s.openCount != 1 {
			s.violate("text before the response was opened")
		}
		if len(s.replies) > 0 {
			s.violate("text after the reply")
		}
	case flow.RecordBill:
		s.bills = append(s.bills, a)
		s.pending = append(s.pending, s.respond(a)...)
	case flow.ReleaseKey:
		s.keyReleases++
		if s.mayHaveRun() {
			s.violate("claim released though an attempt may have run")
		}
	case flow.Reply:
		s.reply(a)
	case flow.SetTimer:
		s.now = s.now.Add(a.After) // no other event occurs meanwhile
		s.pending = append(s.pending, flow.TimerFired{Timer: a.Timer})
	default:
		s.pending = append(s.pending, s.respond(a)...)
	}
}

func (s *simulation) dispatch(a flow.Dispatch) {
	if len(s.replies) > 0 {
		s.violate("attempt sent after the reply")
	}
	if !s.request.Idempotent && s.mayHaveRun() {
		s.violate("non-idempotent request sent while an attempt may have run")
	}
	if !s.request.Idempotent && !s.claimed {
		s.violate("non-idempotent request sent without a claim")
	}
	s.running[a.Attempt] = a
	s.sent[a.Attempt] = true
}

// mayHaveRun reports whether any attempt runs or may have run.
func (s *simulation) mayHaveRun() bool {
	for id := range s.sent {
		if !s.notRun[id] {
			return true
		}
	}
	return false
}

func (s *simulation) reply(a flow.Reply) {
	s.replies = append(s.replies, a.Result)
	if len(s.replies) > 1 {
		s.violate("second reply")
	}
	refusal := a.Result.Refusal
	if refusal == nil {
		if len(s.bills) != 1 && !a.Result.Replayed {
			s.violate("answer without exactly one bill")
		}
		return
	}
	if refusal.Ran == flow.RanNo && s.mayHaveRun() {
		s.violate("refusal says not run, but an attempt may have run")
	}
	if refusal.Ran == flow.RanNo && !s.request.Idempotent && !s.claimed {
		s.violate("refusal says not run for a key whose earlier use is unknown")
	}
}

func (s *simulation) violate(what string) {
	s.violations = append(s.violations, what)
}

// endAttempt ends an attempt with an error.
func (s *simulation) endAttempt(id ident.AttemptID, err error) {
	delete(s.running, id)
	if err != nil && provesNotRun(err) {
		s.notRun[id] = true
	}
	s.feed(flow.AttemptEnded{Attempt: id, Error: err})
	s.drain()
}

func provesNotRun(err error) bool {
	switch err {
	case engine.ErrNotSent, engine.ErrNotRun, engine.ErrOverloaded, engine.ErrLeaving, engine.ErrRejected:
		return true
	default:
		return false
	}
}

// frame returns the n-th frame of the answer, whose text is the same on every
// endpoint.
func (s *simulation) frame(id ident.AttemptID, n, total int) flow.FrameReceived {
	f := engine.Frame{Request: s.request.Key.Request, Attempt: id, Sequence: n, Text: fmt.Sprintf("t%d ", n)}
	if n == total-1 {
		f.Final = true
		f.FinishReason = "stop"
		f.Usage = engine.Usage{Prompt: 3, Answer: ident.Tokens(total)}
	}
	return flow.FrameReceived{Frame: f}
}

func answerText(total int) string {
	var b strings.Builder
	for n := range total {
		fmt.Fprintf(&b, "t%d ", n)
	}
	return b.String()
}

func chatRequest() flow.Request {
	return flow.Request{
		Key:        ident.RequestKey{Team: "ledger", Request: "q1"},
		Team:       &fleet.Team{ID: "ledger"},
		Model:      "condor",
		Idempotent: true,
		Deadline:   start.Add(20 * time.Second),
	}
}

func bookingRequest() flow.Request {
	return flow.Request{
		Key:         ident.RequestKey{Team: "roster", Request: "call:booking:k1"},
		Team:        &fleet.Team{ID: "roster"},
		Service:     "booking",
		Idempotency: "k1",
		Deadline:    start.Add(20 * time.Second),
	}
}

func newEndpoint(id ident.EndpointID) *fleet.Endpoint {
	return &fleet.Endpoint{Spec: &fleet.EndpointSpec{ID: id}}
}

// succeed answers every action with success.
func succeed(s **simulation) func(flow.Action) []flow.Event {
	return func(a flow.Action) []flow.Event {
		switch a := a.(type) {
		case flow.RequestAdmission:
			return []flow.Event{flow.Admitted{}}
		case flow.PlanModels:
			return []flow.Event{flow.ModelsPlanned{Steps: []flow.CascadeStep{{Model: "condor"}}}}
		case flow.ResolveVersion:
			return []flow.Event{flow.VersionResolved{Meta: flow.Meta{Release: ident.Release{Model: a.Model, Version: "1"}}}}
		case flow.ClaimKey:
			(*s).claimed = true
			return []flow.Event{flow.KeyClaimed{Result: shard.Granted{}}}
		case flow.CheckBody:
			return []flow.Event{flow.BodyChecked{Allowed: true}}
		case flow.SelectEndpoint:
			return []flow.Event{flow.EndpointSelected{Endpoint: newEndpoint("e1")}}
		case flow.RateAnswer:
			return []flow.Event{flow.AnswerRated{Accept: true}}
		case flow.RecordBill:
			return []flow.Event{flow.BillRecorded{Durable: true}}
		default:
			return nil
		}
	}
}

func newSucceeding(r flow.Request) *simulation {
	var s *simulation
	s = newSimulation(r, nil)
	s.respond = succeed(&s)
	return s
}
