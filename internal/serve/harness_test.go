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

// shortDeadline is for requests that reach their deadline. It is longer than the
// service time that admission initially expects, so that they are admitted.
const shortDeadline = 1200 * time.Millisecond

// longDeadline is for requests that must end long before their deadline.
const longDeadline = 30 * time.Second

var (
	stable    = ident.Release{Model: "condor", Version: "1"}
	candidate = ident.Release{Model: "condor", Version: "2"}
	team      = &fleet.Team{ID: "ledger", Weight: 1, Models: []fleet.ModelGrant{{Model: "condor"}}, Services: []ident.ServiceID{"booking"}}
)

// harness runs a server on fakes that the test controls.
type harness struct {
	server  *serve.Server
	view    atomic.Pointer[ctrl.View]
	engine  *fakeEngine
	journal *fakeJournal
	copier  *fakeCopier
	permits *fakePermits
	lock    sync.Mutex
	events  []ctrl.Event
}

func newHarness() *harness {
	h := &harness{engine: &fakeEngine{}, journal: newFakeJournal(), copier: &fakeCopier{}, permits: &fakePermits{released: make(chan ident.AttemptID, 16)}}
	h.publish(func(*fleet.Snapshot) {})
	prefixes, err := route.NewPrefixIndex(1024)
	Expect(err).NotTo(HaveOccurred())
	sealer, err := sess.NewSealer(sess.Key{1})
	Expect(err).NotTo(HaveOccurred())
	cache, err := sess.NewCache(128)
	Expect(err).NotTo(HaveOccurred())
	tracer, err := trace.New(context.Background(), trace.Options{})
	Expect(err).NotTo(HaveOccurred())
	gates := serve.NewAdmissionGates()
	gates.Refresh(time.Now(), h.view.Load())
	h.server = serve.New(serve.Dependencies{
		Self: fleet.Router{ID: "r1"}, View: h.view.Load, SendEvent: h.sendEvent, Loads: route.NewLoadTracker(),
		Prefixes: prefixes, Gates: gates, Journal: h.journal, Copier: h.copier, Engine: h.engine, Permits: h.permits,
		BodyOwners: fakeBodyOwners{}, Sealer: sealer, SessionCache: cache, RetryBudget: retry.NewBudget(0.5), Tracer: tracer,
		Metrics: metric.New(), Now: time.Now, Log: zap.NewNop(),
	}, time.Now())
	return h
}

func (h *harness) sendEvent(e ctrl.Event) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.events = append(h.events, e)
}

// crashCount returns the number of attempts reported as crashes of an endpoint.
func (h *harness) crashCount() int {
	h.lock.Lock()
	defer h.lock.Unlock()
	n := 0
	for _, e := range h.events {
		if a, ok := e.(ctrl.AttemptEnded); ok && a.ConnectionBroken {
			n++
		}
	}
	return n
}

// runEnds returns the ends of runs that were reported to the control thread.
func (h *harness) runEnds() []poison.RunEnd {
	h.lock.Lock()
	defer h.lock.Unlock()
	var runs []poison.RunEnd
	for _, e := range h.events {
		if a, ok := e.(ctrl.AttemptEnded); ok && a.Endpoint != "" {
			runs = append(runs, a.Run)
		}
	}
	return runs
}

// withdrawnRuns returns the runs that were reported as withdrawn.
func (h *harness) withdrawnRuns() []poison.RunEnd {
	h.lock.Lock()
	defer h.lock.Unlock()
	var runs []poison.RunEnd
	for _, e := range h.events {
		if w, ok := e.(ctrl.RunWithdrawn); ok {
			runs = append(runs, w.Run)
		}
	}
	return runs
}

// publish publishes a changed view. Before the change it has two warm endpoints of
// each release and of a service that is not a model.
func (h *harness) publish(change func(*fleet.Snapshot)) {
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
	h.view.Store(&ctrl.View{Snapshot: s, Estimates: casc.NewEstimates()})
}

func makeCold(s *fleet.Snapshot) {
	for _, e := range s.Endpoints {
		e.Phase = fleet.PhaseCold
	}
}

func withdrawAll(s *fleet.Snapshot) {
	s.Withdrawn[stable] = fleet.Withdrawal{Release: stable}
	s.Withdrawn[candidate] = fleet.Withdrawal{Release: candidate}
}

func chatRequest(deadline time.Duration) flow.Request {
	return flow.Request{
		Key: ident.RequestKey{Team: "ledger", Request: "q1"}, Team: team, Model: "condor", Version: "1",
		Body: []byte(`{"model":"condor","messages":[]}`), PromptTokens: 1, Idempotent: true, Deadline: time.Now().Add(deadline),
	}
}

func bookingRequest(deadline time.Duration) flow.Request {
	return flow.Request{
		Key: ident.RequestKey{Team: "ledger", Request: "call:booking:k"}, Team: team, Service: "booking",
		Idempotency: "k", Body: []byte(`{}`), PromptTokens: 1, Deadline: time.Now().Add(deadline),
	}
}

// fakeEngine runs functions set by the test. The n-th attempt runs the n-th function,
// or the last one.
type fakeEngine struct {
	lock     sync.Mutex
	attempts []engine.Attempt
	streams  []func(ctx context.Context, attempt engine.Attempt, emit func(engine.Frame) error) error
	calls    []func(ctx context.Context, attempt engine.Attempt) (engine.Answer, error)
}

func (f *fakeEngine) record(attempt engine.Attempt) int {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.attempts = append(f.attempts, attempt)
	return len(f.attempts) - 1
}

func (f *fakeEngine) sentAttempts() []engine.Attempt {
	f.lock.Lock()
	defer f.lock.Unlock()
	return append([]engine.Attempt(nil), f.attempts...)
}

func (f *fakeEngine) Stream(ctx context.Context, attempt engine.Attempt, emit func(engine.Frame) error) error {
	n := f.record(attempt)
	if len(f.streams) == 0 {
		return engine.ErrConnectionBroken // the test expects no attempt
	}
	return f.streams[min(n, len(f.streams)-1)](ctx, attempt, emit)
}

func (f *fakeEngine) Call(ctx context.Context, attempt engine.Attempt) (engine.Answer, error) {
	n := f.record(attempt)
	if len(f.calls) == 0 {
		return engine.Answer{}, engine.ErrConnectionBroken // the test expects no attempt
	}
	return f.calls[min(n, len(f.calls)-1)](ctx, attempt)
}

// stream emits the frames from attempt.ResumeFrom until before upto, then returns err.
func stream(upto, total int, err error) func(context.Context, engine.Attempt, func(engine.Frame) error) error {
	return func(_ context.Context, attempt engine.Attempt, emit func(engine.Frame) error) error {
		for n := attempt.ResumeFrom; n < upto; n++ {
			f := engine.Frame{Request: attempt.RequestID, Attempt: attempt.ID, Sequence: n, Text: fmt.Sprintf("t%d ", n)}
			if n == total-1 {
				f.Final, f.FinishReason, f.Usage = true, "stop", engine.Usage{Prompt: 1, Answer: ident.Tokens(total)}
			}
			if err := emit(f); err != nil {
				return err
			}
		}
		return err
	}
}

func fullText(total int) string {
	var b strings.Builder
	for n := range total {
		fmt.Fprintf(&b, "t%d ", n)
	}
	return b.String()
}

// fakeJournal grants every claim unless claim is replaced.
type fakeJournal struct {
	lock       sync.Mutex
	claim      func(ctx context.Context, c shard.Claim) (shard.Result, error)
	bind       func(b shard.Binding) (ident.VersionID, error)
	claims     []shard.Claim
	bills      []shard.Bill
	outcomes   []shard.Outcome
	released   chan shard.Release
	writeError error // of every write except claims, bindings and releases
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
	return f.writeError
}

func (f *fakeJournal) Bill(_ context.Context, b shard.Bill) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.bills = append(f.bills, b)
	return f.writeError
}

func (f *fakeJournal) Bind(_ context.Context, b shard.Binding) (ident.VersionID, error) {
	return f.bind(b)
}

func (f *fakeJournal) Release(_ context.Context, r shard.Release) error {
	f.released <- r
	return nil
}

// recordedBills returns the bills recorded so far.
func (f *fakeJournal) recordedBills() []shard.Bill {
	f.lock.Lock()
	defer f.lock.Unlock()
	return append([]shard.Bill(nil), f.bills...)
}

// fakePermits grants every slot unless onAcquire is set.
type fakePermits struct {
	lock      sync.Mutex
	onAcquire func() error
	expired   bool // permits expire before the attempt is sent
	expiry    chan struct{}
	released  chan ident.AttemptID
}

func (f *fakePermits) Acquire(context.Context, *fleet.Endpoint, ident.AttemptID, bool) error {
	if f.onAcquire != nil {
		return f.onAcquire()
	}
	return nil
}

func (f *fakePermits) Valid(time.Time, ident.AttemptID) bool { return !f.expired }

func (f *fakePermits) Expired(ident.AttemptID) <-chan struct{} {
	f.lock.Lock()
	defer f.lock.Unlock()
	expiry := f.expiry
	f.expiry = nil
	return expiry
}

func (f *fakePermits) Release(_ *fleet.Endpoint, attempt ident.AttemptID) { f.released <- attempt }

type fakeBodyOwners struct{}

func (fakeBodyOwners) Claim(context.Context, poison.Claim) poison.Answer { return poison.Run{} }
func (fakeBodyOwners) End(context.Context, poison.ClaimEnd)              {}

// fakeCaller is a flow.Sink that calls onText for each chunk.
type fakeCaller struct {
	received strings.Builder
	onText   func()
}

func (f *fakeCaller) Open(flow.Meta) error { return nil }

func (f *fakeCaller) Text(text string) error {
	f.received.WriteString(text)
	if f.onText != nil {
		f.onText()
	}
	return nil
}

// fakeCopier records what is copied to peers.
type fakeCopier struct {
	lock      sync.Mutex
	records   []shard.Record
	copyError error
}

func (f *fakeCopier) Copy(ctx context.Context, records []shard.Record) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.records = append(f.records, records...)
	if f.copyError != nil {
		return f.copyError
	}
	return ctx.Err()
}
