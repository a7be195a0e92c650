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
	now  = time.Unix(1_000_000, 0)
	want = fence.State{Release: ident.Release{Model: "m", Version: "2"}, Loaded: true}
	old  = fence.State{Release: ident.Release{Model: "m", Version: "1"}, Loaded: true}
)

func holding(fenced bool, lease time.Duration) (*fence.Reconciler, []fence.Action) {
	o := fence.New()
	o.Step(now, fence.Lease{Term: 5, Until: now.Add(lease)})
	return o, o.Step(now, fence.SetDesired{Endpoint: "e", Fenced: fenced, State: want})
}

func sends(actions []fence.Action) []fence.SendCommand {
	var all []fence.SendCommand
	for _, a := range actions {
		if s, ok := a.(fence.SendCommand); ok {
			all = append(all, s)
		}
	}
	return all
}

var _ = Describe("Orders", func() {
	It("sends the whole wanted state with the term, reads it back and is then quiet", func() {
		o, actions := holding(true, time.Minute)
		Expect(sends(actions)).To(ConsistOf(And(HaveField("State", want), HaveField("Term", ident.Term(5)))))
		Expect(o.Step(now, fence.CommandResult{Endpoint: "e", Term: 5})).To(ConsistOf(fence.ReadState{Endpoint: "e"}))
		Expect(o.Step(now, fence.Observed{Endpoint: "e", State: want, Term: 5})).To(ConsistOf(fence.Converged{Endpoint: "e"}))
		Expect(sends(o.Step(now.Add(4*time.Second), fence.Tick{}))).To(BeEmpty())
	})

	It("orders a fenced endpoint up to the lease's end, and another only well inside", func() {
		_, actions := holding(true, time.Second)
		Expect(sends(actions)).To(HaveLen(1))
		_, actions = holding(false, time.Second)
		Expect(sends(actions)).To(BeEmpty())
		_, actions = holding(false, 4*time.Second)
		Expect(sends(actions)).To(ConsistOf(HaveField("Before", now.Add(time.Second))))
	})

	It("is silent without the lease, and after any endpoint knows a newer term", func() {
		o, actions := holding(true, 0)
		Expect(actions).To(BeEmpty())
		o.Step(now, fence.Lease{Term: 5, Until: now.Add(time.Minute)})
		Expect(o.Step(now, fence.CommandResult{Endpoint: "e", Term: 6, Result: fence.ResultFenced})).
			To(ConsistOf(fence.Superseded{Endpoint: "e", Term: 6}))
		Expect(o.Step(now.Add(time.Hour), fence.Lease{Term: 5, Until: now.Add(2 * time.Hour)})).To(BeEmpty())
		Expect(sends(o.Step(now.Add(time.Hour), fence.Lease{Term: 7, Until: now.Add(2 * time.Hour)}))).To(HaveLen(1))
	})

	It("sends again when the answer was lost, and when another's order shows", func() {
		o, _ := holding(false, time.Minute)
		o.Step(now, fence.CommandResult{Endpoint: "e", Result: fence.ResultUnknown})
		Expect(sends(o.Step(now.Add(time.Second), fence.Tick{}))).To(BeEmpty(), "not yet")
		Expect(sends(o.Step(now.Add(3*time.Second), fence.Tick{}))).To(HaveLen(1))
		o.Step(now.Add(3*time.Second), fence.Observed{Endpoint: "e", State: want})
		Expect(o.Step(now.Add(9*time.Second), fence.Tick{})).To(ContainElement(fence.ReadState{Endpoint: "e"}))
		Expect(sends(o.Step(now.Add(9*time.Second), fence.Observed{Endpoint: "e", State: old}))).To(HaveLen(1))
	})

	It("takes a state ordered under an earlier term for unsettled where the term is checked", func() {
		o, _ := holding(true, time.Minute)
		Expect(sends(o.Step(now.Add(4*time.Second), fence.Observed{Endpoint: "e", State: want, Term: 4}))).To(HaveLen(1))
	})

	It("orders anew in each term of its own", func() {
		o, _ := holding(true, time.Minute)
		o.Step(now, fence.Observed{Endpoint: "e", State: want, Term: 5})
		Expect(sends(o.Step(now, fence.Lease{Term: 6, Until: now.Add(time.Minute)}))).
			To(ConsistOf(HaveField("Term", ident.Term(6))))
	})

	It("leaves endpoints in what the last steward wants, whoever else was paused while sending", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { twoStewards(t) })
	})
})

// twoStewards lets an old steward's order be on its way, within its time, as a
// new one takes over, and looks at what the endpoint holds in the end.
func twoStewards(t *rapid.T) {
	fenced := rapid.Bool().Draw(t, "fenced")
	before, after := fence.New(), fence.New()
	at, until := now, now.Add(5*time.Second)
	before.Step(at, fence.Lease{Term: 1, Until: until})
	before.Step(at, fence.SetDesired{Endpoint: "e", Fenced: fenced, State: old})
	at = at.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "paused")) * time.Millisecond)
	held, highest := fence.State{}, ident.Term(0)
	take := func(s fence.SendCommand) {
		if fenced && s.Term < highest {
			return
		}
		held, highest = s.State, max(highest, s.Term)
	}
	late := sends(before.Step(at, fence.Tick{}))
	takeover := until.Add(500 * time.Millisecond)
	step := later(at, takeover)
	after.Step(step, fence.Lease{Term: 2, Until: step.Add(time.Minute)})
	for _, s := range sends(after.Step(step, fence.SetDesired{Endpoint: "e", Fenced: fenced, State: want})) {
		take(s)
	}
	for _, s := range late {
		if !s.Before.Add(s.Timeout).Before(takeover) && !fenced {
			t.Fatalf("order sent before %v may arrive in the next term at %v", s.Before, takeover)
		}
		if fenced {
			take(s)
		}
	}
	if held != want {
		t.Fatalf("endpoint holds %v", held)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
