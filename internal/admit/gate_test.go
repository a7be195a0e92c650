package admit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/admit"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var now = time.Unix(1_000_000, 0)

func newTicket(id admit.TicketID, team ident.TeamID) admit.Ticket {
	return admit.Ticket{ID: id, Team: team, Weight: 1, Deadline: now.Add(time.Minute)}
}

func newGate(slots float64) *admit.Gate {
	g := admit.New()
	g.SetCapacity(now, slots)
	return g
}

func submit(g *admit.Gate, t admit.Ticket) admit.Decision {
	d, _ := g.Submit(now, t)
	return d
}

var _ = Describe("Gate", func() {
	It("admits up to the slots, queues the rest and admits them as slots become free", func() {
		g := newGate(1)
		Expect(submit(g, newTicket(1, "a"))).To(Equal(admit.Admit{Ticket: 1}))
		Expect(submit(g, newTicket(2, "a"))).To(BeAssignableToTypeOf(admit.Queue{}))
		Expect(g.Done(now, 1)).To(ConsistOf(admit.Admit{Ticket: 2}))
		Expect(submit(g, newTicket(3, "a"))).To(BeAssignableToTypeOf(admit.Queue{}))
		Expect(g.SetCapacity(now, 2)).To(ConsistOf(admit.Admit{Ticket: 3}))
	})

	It("admits others once the ticket that blocked them is done", func() {
		g, wide := newGate(2), newTicket(2, "a")
		wide.Cost = 2
		submit(g, newTicket(1, "a"))
		submit(g, wide)
		submit(g, newTicket(3, "a"))
		Expect(g.Done(now, 2)).To(ConsistOf(admit.Admit{Ticket: 3}))
	})

	It("refuses tickets that cannot meet their deadline at once, with a retry delay", func() {
		g := newGate(1)
		late := newTicket(1, "a")
		late.Deadline = now
		Expect(submit(g, late)).To(HaveField("Reason", admit.ReasonDeadline))
		submit(g, newTicket(2, "a"))
		soon := newTicket(3, "a")
		soon.Deadline = now.Add(1500 * time.Millisecond)
		refused := submit(g, soon).(admit.Refuse)
		Expect(refused.Reason).To(Equal(admit.ReasonDeadline))
		Expect(refused.RetryAfter).To(BeNumerically(">", 0))
		soon.ID, soon.ServiceTime = 4, 100*time.Millisecond
		Expect(submit(g, soon)).To(BeAssignableToTypeOf(admit.Queue{}), "its own service time is below the mean")
	})

	It("ignores the expected service time while slots are free", func() {
		brief := newTicket(1, "a")
		brief.Deadline = now.Add(time.Millisecond)
		Expect(submit(newGate(1), brief)).To(Equal(admit.Admit{Ticket: 1}))
	})

	It("refuses a queued ticket as soon as it cannot meet its deadline", func() {
		g := newGate(1)
		submit(g, newTicket(1, "a"))
		waits := newTicket(2, "a")
		waits.Deadline = now.Add(4 * time.Second)
		Expect(submit(g, waits)).To(BeAssignableToTypeOf(admit.Queue{}))
		Expect(g.Tick(now.Add(time.Second))).To(BeEmpty())
		decisions := g.Tick(now.Add(3 * time.Second))
		Expect(decisions).To(ConsistOf(HaveField("Reason", admit.ReasonDeadline)))
		Expect(g.Queued()).To(Equal(0))
	})

	It("limits a team's rate, and takes no token for tickets refused for other reasons", func() {
		g := newGate(10)
		limited := func(id admit.TicketID) admit.Ticket {
			t := newTicket(id, "a")
			t.Rate, t.Burst = 2, 1
			return t
		}
		late := limited(1)
		late.Deadline = now
		Expect(submit(g, late)).To(HaveField("Reason", admit.ReasonDeadline))
		Expect(submit(g, limited(2))).To(BeAssignableToTypeOf(admit.Admit{}))
		Expect(submit(g, limited(3))).To(Equal(admit.Refuse{Ticket: 3, Reason: admit.ReasonRateLimit, RetryAfter: 500 * time.Millisecond}))
		d, _ := g.Submit(now.Add(500*time.Millisecond), limited(4))
		Expect(d).To(BeAssignableToTypeOf(admit.Admit{}))
	})

	It("orders a team's tickets by short answer, then priority, then arrival", func() {
		g := newGate(1)
		submit(g, newTicket(1, "a"))
		submit(g, newTicket(2, "a"))
		urgent := newTicket(3, "a")
		urgent.Priority = fleet.PriorityUrgent
		submit(g, urgent)
		short := newTicket(4, "a")
		short.ShortAnswer = true
		submit(g, short)
		for _, next := range []admit.TicketID{4, 3, 2} {
			running := next + 1
			if next == 4 {
				running = 1
			}
			Expect(g.Done(now, running)).To(ConsistOf(admit.Admit{Ticket: next}))
		}
	})

	It("shares slots between queued teams by weight, regardless of their load", func() {
		g := newGate(1)
		submit(g, newTicket(1, "big"))
		for id := range admit.TicketID(50) {
			submit(g, newTicket(100+id, "big"))
		}
		for id := range admit.TicketID(10) {
			t := newTicket(200+id, "small")
			t.Deadline = now.Add(time.Hour)
			submit(g, t)
		}
		running, small := admit.TicketID(1), 0
		for range 20 {
			d := g.Done(now.Add(time.Second), running)
			running = d[0].(admit.Admit).Ticket
			if running >= 200 {
				small++
			}
		}
		Expect(small).To(BeNumerically("~", 10, 1))
	})

	It("sheds the last ticket of a team's full queue for one that precedes it", func() {
		g := newGate(1000)
		g.SetCapacity(now, 0)
		g.SetCapacity(now, 1000)
		for id := range admit.TicketID(1000) {
			submit(g, newTicket(id, "a"))
		}
		id := admit.TicketID(1000)
		for ; ; id++ {
			if _, ok := submit(g, newTicket(id, "a")).(admit.Queue); !ok {
				break
			}
		}
		Expect(submit(g, newTicket(id+1, "a"))).To(HaveField("Reason", admit.ReasonQueueFull))
		short := newTicket(id+2, "a")
		short.ShortAnswer = true
		d, shed := g.Submit(now, short)
		Expect(d).To(BeAssignableToTypeOf(admit.Queue{}))
		Expect(shed).To(ConsistOf(HaveField("Reason", admit.ReasonShed)))
	})

	It("admits a team's short answer before another team's next ticket", func() {
		g := newGate(1)
		submit(g, newTicket(1, "a"))
		submit(g, newTicket(2, "b"))
		short := newTicket(3, "a")
		short.ShortAnswer = true
		submit(g, short)
		Expect(g.Done(now.Add(time.Second), 1)).To(ConsistOf(admit.Admit{Ticket: 3}))
	})

	It("sheds from the team with the longest queue for its weight when the total is too high", func() {
		g, id, shed := newGate(1000), admit.TicketID(0), []admit.Decision(nil)
		for ; shed == nil; id++ {
			t := newTicket(id, ident.TeamID(fmt.Sprint("t", id%5)))
			t.Weight = 10
			if id%5 == 4 {
				t.Weight = 1
			}
			_, shed = g.Submit(now, t)
		}
		Expect(uint64(shed[0].(admit.Refuse).Ticket) % 5).To(BeEquivalentTo(4))
	})

	It("decides each ticket once and never runs more than the slots, for any sequence of calls", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { checkDecisions(t) })
	})
})

var _ = Describe("Simulate", func() {
	It("maintains goodput and the small teams' share under overload", func() {
		for seed := range uint64(5) {
			most := 0.0
			for _, r := range admit.Simulate(seed) {
				if r.Policy != "gate" {
					continue
				}
				Expect(r.Goodput).To(BeNumerically(">=", 0.9*most), "requests at %v, seed %d", r.Load, seed)
				most = max(most, r.Goodput)
				if r.Load > 1 {
					Expect(r.RelativeWork).To(BeNumerically(">=", 0.9), "work at %v, seed %d", r.Load, seed)
					Expect(r.SmallTeams).To(BeNumerically(">=", 0.9), "small teams at %v, seed %d", r.Load, seed)
					Expect(r.ShortAnswers).To(BeNumerically(">=", r.LargeTeams), "short answers are shed last")
				}
			}
		}
	})
})

// checkDecisions makes random calls to a gate and checks its decisions and counts.
func checkDecisions(t *rapid.T) {
	g, at := newGate(3), now
	state := map[admit.TicketID]string{}
	apply := func(decisions []admit.Decision) {
		for _, d := range decisions {
			switch d := d.(type) {
			case admit.Admit:
				if state[d.Ticket] != "queued" {
					t.Fatalf("%d admitted while %q", d.Ticket, state[d.Ticket])
				}
				state[d.Ticket] = "running"
			case admit.Refuse:
				if state[d.Ticket] != "queued" || d.RetryAfter <= 0 {
					t.Fatalf("%d refused while %q: %+v", d.Ticket, state[d.Ticket], d)
				}
				state[d.Ticket] = "refused"
			}
		}
	}
	for id := range admit.TicketID(rapid.IntRange(1, 60).Draw(t, "steps")) {
		at = at.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
		k := newTicket(id, rapid.SampledFrom([]ident.TeamID{"a", "b", "c"}).Draw(t, "team"))
		k.Deadline = at.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "deadline")) * time.Millisecond)
		k.ShortAnswer = rapid.Bool().Draw(t, "short answer")
		state[id] = "queued"
		d, others := g.Submit(at, k)
		if _, waits := d.(admit.Queue); !waits {
			apply([]admit.Decision{d})
		}
		apply(others)
		if ended := admit.TicketID(rapid.Uint64Range(0, uint64(id)).Draw(t, "done")); state[ended] != "refused" {
			state[ended] = "done"
			apply(g.Done(at, ended))
		}
		apply(g.Tick(at))
		count := map[string]int{}
		for _, s := range state {
			count[s]++
		}
		if g.Running() > 3 || g.Running() != count["running"] || g.Queued() != count["queued"] {
			t.Fatalf("%d running and %d queued, want %v", g.Running(), g.Queued(), count)
		}
	}
}

func BenchmarkSubmit(b *testing.B) {
	for _, teams := range []int{10, 200} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			g, names := newGate(100), make([]ident.TeamID, teams)
			for i := range names {
				names[i] = ident.TeamID(fmt.Sprint(i))
			}
			b.ReportAllocs()
			for id := admit.TicketID(1); b.Loop(); id++ {
				g.Submit(now, newTicket(id, names[id%admit.TicketID(teams)]))
				g.Done(now, id)
			}
		})
	}
}

// BenchmarkMeasure prints the results quoted in docs/notes/admit.md.
func BenchmarkMeasure(b *testing.B) {
	for b.Loop() {
		for _, r := range admit.Simulate(11) {
			b.Logf("%s load %.1f: %.1f/s, work %.1f slots, %.3f of its peak, small %.3f, large %.3f, quick %.3f",
				r.Policy, r.Load, r.Goodput, r.UsefulSlots, r.RelativeWork, r.SmallTeams, r.LargeTeams, r.ShortAnswers)
		}
	}
}
