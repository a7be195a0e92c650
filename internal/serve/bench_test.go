package serve_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/casc"
	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/internal/metric"
	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/internal/retry"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/serve"
	"github.com/marigoldscale/marigoldscale/internal/sess"
	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/internal/trace"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// brief is a deadline that a request lives to see, longer than the time that
// admission first expects.
const brief = 1200 * time.Millisecond

// patient is the deadline of requests that should not come near it.
const patient = 30 * time.Second

var (
	stable    = ident.Release{Model: "condor", Version: "1"}
	candidate = ident.Release{Model: "condor", Version: "2"}
	team      = &fleet.Team{ID: "ledger", Weight: 1, Models: []fleet.ModelGrant{{Model: "condor"}}, Services: []ident.ServiceID{"booking"}}
)

// bench is a server over fakes that a test scripts.
type bench struct {
	server  *serve.Server
	view    atomic.Pointer[ctrl.View]
	engine  *fakeEngine
	journal *fakeJournal
	copies  *fakeCopies
	permits *fakePermits
	lock    sync.Mutex
	told    []ctrl.Event
}

func newBench() *bench {
	b := &bench{engine: &fakeEngine{}, journal: newFakeJournal(), copies: &fakeCopies{}, permits: &fakePermits{released: make(chan ident.AttemptID, 16)}}
	b.show(func(*fleet.Snapshot) {})
	prefixes, err := route.NewPrefixIndex(1024)
	Expect(err).NotTo(HaveOccurred())
	sealer, err := sess.NewSealer(sess.Key{1})
	Expect(err).NotTo(HaveOccurred())
	cache, err := sess.NewCache(128)
	Expect(err).NotTo(HaveOccurred())
	tracer, err := trace.New(context.Background(), trace.Options{})
	Expect(err).NotTo(HaveOccurred())
	gates := serve.NewGates()
	gates.Refresh(time.Now(), b.view.Load())
	b.server = serve.New(serve.Parts{
		Self: fleet.Router{ID: "r1"}, View: b.view.Load, Tell: b.tell, Table: route.NewLoadTracker(),
		Prefixes: prefixes, Gates: gates, Journal: b.journal, Copies: b.copies, Engine: b.engine, Permits: b.permits,
		Guards: fakeGuards{}, Sealer: sealer, Cache: cache, Budget: retry.NewBudget(0.5), Tracer: tracer,
		Metrics: metric.New(), Now: time.Now, Log: zap.NewNop(),
	}, time.Now())
	return b
}

func (b *bench) tell(e ctrl.Event) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.told = append(b.told, e)
}

// died counts the attempts that were reported as an endpoint's death.
func (b *bench) died() int {
	b.lock.Lock()
	defer b.lock.Unlock()
	n := 0
	for _, e := range b.told {
		if a, ok := e.(ctrl.AttemptEnded); ok && a.ConnectionBroken {
			n++
		}
	}
	return n
}

// show publishes a view with a change: two warm endpoints of each release, and
// a plain service.
func (b *bench) show(change func(*fleet.Snapshot)) {
	now := time.Now()
	c := &fleet.Config{
		Models:   map[ident.ModelID]*fleet.Model{"condor": {ID: "condor", Price: 1000, Default: "1", Versions: []ident.VersionID{"1", "2"}}},
		Services: map[ident.ServiceID]*fleet.Service{"booking": {ID: "booking", Price: 5}},
		Zones:    map[ident.ZoneID]*fleet.Zone{"a": {ID: "a"}},
	}
	s := &fleet.Snapshot{
		Config: c, Serving: true, ExpiresAt: now.Add(time.Hour),
		Endpoints: map[ident.EndpointID]*fleet.Endpoint{}, Withdrawn: map[ident.Release]fleet.Withdrawal{},
	}
	for i := range 2 {
		for _, spec := range []fleet.EndpointSpec{
			{ID: ident.EndpointID(fmt.Sprint("s", i)), Release: stable},
			{ID: ident.EndpointID(fmt.Sprint("c", i)), Release: candidate},
			{ID: ident.EndpointID(fmt.Sprint("b", i)), Service: "booking"},
		} {
			spec.Zone, spec.Slots, spec.ColdSlots = "a", 8, 1
			s.Endpoints[spec.ID] = &fleet.Endpoint{Spec: &spec, Phase: fleet.PhaseWarm, ReportedAt: now, Report: fleet.Report{Boot: "1", Warm: true}}
		}
	}
	change(s)
	b.view.Store(&ctrl.View{Snapshot: s, Estimates: casc.NewEstimates()})
}

func cold(s *fleet.Snapshot) {
	for _, e := range s.Endpoints {
		e.Phase = fleet.PhaseCold
	}
}

func withdrawn(s *fleet.Snapshot) {
	s.Withdrawn[stable] = fleet.Withdrawal{Release: stable}
	s.Withdrawn[candidate] = fleet.Withdrawal{Release: candidate}
}

func chat(deadline time.Duration) flow.Request {
	return flow.Request{
		Key: ident.RequestKey{Team: "ledger", Request: "q1"}, Team: team, Model: "condor", Version: "1",
		Body: []byte(`{"model":"condor","messages":[]}`), PromptTokens: 1, Idempotent: true, Deadline: time.Now().Add(deadline),
	}
}

func booking(deadline time.Duration) flow.Request {
	return flow.Request{
		Key: ident.RequestKey{Team: "ledger", Request: "call:booking:k"}, Team: team, Service: "booking",
		Idempotency: "k", Body: []byte(`{}`), PromptTokens: 1, Deadline: time.Now().Add(deadline),
	}
}

// fakeEngine runs scripts; the n-th attempt takes the n-th, or the last.
type fakeEngine struct {
	lock    sync.Mutex
	runs    []engine.Run
	streams []func(ctx context.Context, run engine.Run, emit func(engine.Frame) error) error
	calls   []func(ctx context.Context, run engine.Run) (engine.Answer, error)
}

func (f *fakeEngine) next(run engine.Run) int {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.runs = append(f.runs, run)
	return len(f.runs) - 1
}

func (f *fakeEngine) sent() []engine.Run {
	f.lock.Lock()
	defer f.lock.Unlock()
	return append([]engine.Run(nil), f.runs...)
}

func (f *fakeEngine) Stream(ctx context.Context, run engine.Run, emit func(engine.Frame) error) error {
	n := f.next(run)
	if len(f.streams) == 0 {
		return engine.ErrBroken // the test expects no attempt
	}
	return f.streams[min(n, len(f.streams)-1)](ctx, run, emit)
}

func (f *fakeEngine) Call(ctx context.Context, run engine.Run) (engine.Answer, error) {
	n := f.next(run)
	if len(f.calls) == 0 {
		return engine.Answer{}, engine.ErrBroken // the test expects no attempt
	}
	return f.calls[min(n, len(f.calls)-1)](ctx, run)
}

// stream emits the frames from run.Resume to before upto, then gives err.
func stream(upto, total int, err error) func(context.Context, engine.Run, func(engine.Frame) error) error {
	return func(_ context.Context, run engine.Run, emit func(engine.Frame) error) error {
		for n := run.Resume; n < upto; n++ {
			f := engine.Frame{Request: run.Request, Attempt: run.Attempt, Sequence: n, Text: fmt.Sprintf("t%d ", n)}
			if n == total-1 {
				f.Final, f.Finish, f.Usage = true, "stop", engine.Usage{Prompt: 1, Answer: ident.Tokens(total)}
			}
			if err := emit(f); err != nil {
				return err
			}
		}
		return err
	}
}

func whole(total int) string {
	var b strings.Builder
	for n := range total {
		fmt.Fprintf(&b, "t%d ", n)
	}
	return b.String()
}

// fakeJournal grants every claim unless told otherwise.
type fakeJournal struct {
	lock     sync.Mutex
	claim    func(ctx context.Context, c shard.Claim) (shard.Result, error)
	bind     func(b shard.Binding) (ident.VersionID, error)
	claims   []shard.Claim
	bills    []shard.Bill
	outcomes []shard.Outcome
	released chan shard.Release
	broken   error // of every write but a claim
}

func newFakeJournal() *fakeJournal {
	return &fakeJournal{
		released: make(chan shard.Release, 16),
		claim:    func(context.Context, shard.Claim) (shard.Result, error) { return shard.Granted{}, nil },
		bind:     func(b shard.Binding) (ident.VersionID, error) { return b.Version, nil },
	}
}

func (f *fakeJournal) Claim(ctx context.Context, c shard.Claim) (shard.Result, error) {
	f.lock.Lock()
	f.claims = append(f.claims, c)
	f.lock.Unlock()
	return f.claim(ctx, c)
}

func (f *fakeJournal) Finish(_ context.Context, o shard.Outcome, b shard.Bill) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.outcomes, f.bills = append(f.outcomes, o), append(f.bills, b)
	return f.broken
}

func (f *fakeJournal) Bill(_ context.Context, b shard.Bill) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.bills = append(f.bills, b)
	return f.broken
}

func (f *fakeJournal) Bind(_ context.Context, b shard.Binding) (ident.VersionID, error) {
	return f.bind(b)
}

func (f *fakeJournal) Release(_ context.Context, r shard.Release) error {
	f.released <- r
	return nil
}

// billed gives the bills so far.
func (f *fakeJournal) billed() []shard.Bill {
	f.lock.Lock()
	defer f.lock.Unlock()
	return append([]shard.Bill(nil), f.bills...)
}

// fakePermits grants every slot unless told otherwise.
type fakePermits struct {
	lock     sync.Mutex
	ask      func() error
	stale    bool // permits run out before the sending
	ending   chan struct{}
	released chan ident.AttemptID
}

func (f *fakePermits) Ask(context.Context, *fleet.Endpoint, ident.AttemptID, bool) error {
	if f.ask != nil {
		return f.ask()
	}
	return nil
}

func (f *fakePermits) Check(time.Time, ident.AttemptID) bool { return !f.stale }

func (f *fakePermits) Ending(ident.AttemptID) <-chan struct{} {
	f.lock.Lock()
	defer f.lock.Unlock()
	ending := f.ending
	f.ending = nil
	return ending
}

func (f *fakePermits) Release(_ *fleet.Endpoint, attempt ident.AttemptID) { f.released <- attempt }

type fakeGuards struct{}

func (fakeGuards) Claim(context.Context, poison.Claim) poison.Answer { return poison.Run{} }
func (fakeGuards) End(context.Context, poison.ClaimEnd)              {}

// reader is a caller; text runs on each piece.
type reader struct {
	got  strings.Builder
	text func()
}

func (r *reader) Open(flow.Meta) error { return nil }

func (r *reader) Text(text string) error {
	r.got.WriteString(text)
	if r.text != nil {
		r.text()
	}
	return nil
}

// fakeCopies stands for peers that hold copies.
type fakeCopies struct {
	lock    sync.Mutex
	records []shard.Record
	broken  error
}

func (f *fakeCopies) Copy(ctx context.Context, records []shard.Record) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.records = append(f.records, records...)
	if f.broken != nil {
		return f.broken
	}
	return ctx.Err()
}
