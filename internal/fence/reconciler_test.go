package fence_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/fence"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var (
	now      = time.Unix(1_000_000, 0)
	desired  = fence.State{Release: ident.Release{Model: "m", Version: "2"}, Loaded: true}
	outdated = fence.State{Release: ident.Release{Model: "m", Version: "1"}, Loaded: true}
)

func newReconciler(fenced bool, lease time.Duration) (*fence.Reconciler, []fence.Action) {
	r := fence.New()
	r.Step(now, fence.Lease{Term: 5, Until: now.Add(lease)})
	return r, r.Step(now, fence.SetDesired{Endpoint: "e", Fenced: fenced, State: desired})
}

func commands(actions []fence.Action) []fence.SendCommand {
	var all []fence.SendCommand
	for _, a := range actions {
		if s, ok := a.(fence.SendCommand); ok {
			all = append(all, s)
		}
	}
	return all
}

var _ = Describe("Reconciler", func() {
	It("sends the complete desired state with the term, reads it back and then sends nothing", func() {
		r, actions := newReconciler(true, time.Minute)
		Expect(commands(actions)).To(ConsistOf(And(HaveField("State", desired), HaveField("Term", ident.Term(5)))))
		Expect(r.Step(now, fence.CommandResult{Endpoint: "e", Term: 5})).To(ConsistOf(fence.ReadState{Endpoint: "e"}))
		Expect(r.Step(now, fence.Observed{Endpoint: "e", State: desired, Term: 5})).To(ConsistOf(fence.Converged{Endpoint: "e"}))
		Expect(commands(r.Step(now.Add(4*time.Second), fence.Tick{}))).To(BeEmpty())
	})

	It("sends to a fenced endpoint until the lease ends, and to another only with enough of it left", func() {
		_, actions := newReconciler(true, time.Second)
		Expect(commands(actions)).To(HaveLen(1))
		_, actions = newReconciler(false, time.Second)
		Expect(commands(actions)).To(BeEmpty())
		_, actions = newReconciler(false, 4*time.Second)
		Expect(commands(actions)).To(ConsistOf(HaveField("Before", now.Add(time.Second))))
	})

	It("sends nothing without a lease, nor after an endpoint reports a newer term", func() {
		r, actions := newReconciler(true, 0)
		Expect(actions).To(BeEmpty())
		r.Step(now, fence.Lease{Term: 5, Until: now.Add(time.Minute)})
		Expect(r.Step(now, fence.CommandResult{Endpoint: "e", Term: 6, Result: fence.ResultFenced})).
			To(ConsistOf(fence.Superseded{Endpoint: "e", Term: 6}))
		Expect(r.Step(now.Add(time.Hour), fence.Lease{Term: 5, Until: now.Add(2 * time.Hour)})).To(BeEmpty())
		Expect(commands(r.Step(now.Add(time.Hour), fence.Lease{Term: 7, Until: now.Add(2 * time.Hour)}))).To(HaveLen(1))
	})

	It("sends again when the answer was lost, and when another state is observed", func() {
		r, _ := newReconciler(false, time.Minute)
		r.Step(now, fence.CommandResult{Endpoint: "e", Result: fence.ResultUnknown})
		Expect(commands(r.Step(now.Add(time.Second), fence.Tick{}))).To(BeEmpty(), "not yet")
		Expect(commands(r.Step(now.Add(3*time.Second), fence.Tick{}))).To(HaveLen(1))
		r.Step(now.Add(3*time.Second), fence.Observed{Endpoint: "e", State: desired})
		Expect(r.Step(now.Add(9*time.Second), fence.Tick{})).To(ContainElement(fence.ReadState{Endpoint: "e"}))
		Expect(commands(r.Step(now.Add(9*time.Second), fence.Observed{Endpoint: "e", State: outdated}))).To(HaveLen(1))
	})

	It("does not accept a fenced endpoint's state that was set in an earlier term", func() {
		r, _ := newReconciler(true, time.Minute)
		Expect(commands(r.Step(now.Add(4*time.Second), fence.Observed{Endpoint: "e", State: desired, Term: 4}))).To(HaveLen(1))
	})

	It("sends again in each new term", func() {
		r, _ := newReconciler(true, time.Minute)
		r.Step(now, fence.Observed{Endpoint: "e", State: desired, Term: 5})
		Expect(commands(r.Step(now, fence.Lease{Term: 6, Until: now.Add(time.Minute)}))).
			To(ConsistOf(HaveField("Term", ident.Term(6))))
	})

	It("leaves endpoints in the last steward's desired state although an earlier steward was paused while sending", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { checkTakeover(t) })
	})
})

// checkTakeover checks the endpoint's final state when a command of the previous
// steward is in flight, within its time limit, as a new steward takes over.
func checkTakeover(t *rapid.T) {
	fenced := rapid.Bool().Draw(t, "fenced")
	before, after := fence.New(), fence.New()
	at, until := now, now.Add(5*time.Second)
	before.Step(at, fence.Lease{Term: 1, Until: until})
	before.Step(at, fence.SetDesired{Endpoint: "e", Fenced: fenced, State: outdated})
	at = at.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "paused")) * time.Millisecond)
	state, highest := fence.State{}, ident.Term(0)
	apply := func(s fence.SendCommand) {
		if fenced && s.Term < highest {
			return
		}
		state, highest = s.State, max(highest, s.Term)
	}
	inFlight := commands(before.Step(at, fence.Tick{}))
	takeover := until.Add(500 * time.Millisecond)
	step := later(at, takeover)
	after.Step(step, fence.Lease{Term: 2, Until: step.Add(time.Minute)})
	for _, s := range commands(after.Step(step, fence.SetDesired{Endpoint: "e", Fenced: fenced, State: desired})) {
		apply(s)
	}
	for _, s := range inFlight {
		if !s.Before.Add(s.Timeout).Before(takeover) && !fenced {
			t.Fatalf("command sent before %v may arrive in the next term at %v", s.Before, takeover)
		}
		if fenced {
			apply(s)
		}
	}
	if state != desired {
		t.Fatalf("endpoint has state %v", state)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
