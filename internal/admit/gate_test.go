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

func ticket(id admit.TicketID, team ident.TeamID) admit.Ticket {
	return admit.Ticket{ID: id, Team: team, Weight: 1, Deadline: now.Add(time.Minute)}
}

func gate(slots float64) *admit.Gate {
	g := admit.New()
	g.SetCapacity(now, slots)
	return g
}

func ask(g *admit.Gate, t admit.Ticket) admit.Decision {
	v, _ := g.Submit(now, t)
	return v
}

var _ = Describe("Gate", func() {
	It("admits up to the slots, queues the rest and lets them in as slots come free", func() {
		g := gate(1)
		Expect(ask(g, ticket(1, "a"))).To(Equal(admit.Admit{Ticket: 1}))
		Expect(ask(g, ticket(2, "a"))).To(BeAssignableToTypeOf(admit.Queue{}))
		Expect(g.Done(now, 1)).To(ConsistOf(admit.Admit{Ticket: 2}))
		Expect(ask(g, ticket(3, "a"))).To(BeAssignableToTypeOf(admit.Queue{}))
		Expect(g.SetCapacity(now, 2)).To(ConsistOf(admit.Admit{Ticket: 3}))
	})

	It("lets others in when the ticket that blocked them is gone", func() {
		g, wide := gate(2), ticket(2, "a")
		wide.Cost = 2
		ask(g, ticket(1, "a"))
		ask(g, wide)
		ask(g, ticket(3, "a"))
		Expect(g.Done(now, 2)).To(ConsistOf(admit.Admit{Ticket: 3}))
	})

	It("refuses at once, with the time to come back, what cannot be answered in time", func() {
		g := gate(1)
		late := ticket(1, "a")
		late.Deadline = now
		Expect(ask(g, late)).To(HaveField("Reason", admit.ReasonDeadline))
		ask(g, ticket(2, "a"))
		soon := ticket(3, "a")
		soon.Deadline = now.Add(1500 * time.Millisecond)
		refused := ask(g, soon).(admit.Refuse)
		Expect(refused.Reason).To(Equal(admit.ReasonDeadline))
		Expect(refused.RetryAfter).To(BeNumerically(">", 0))
		soon.ID, soon.ServiceTime = 4, 100*time.Millisecond
		Expect(ask(g, soon)).To(BeAssignableToTypeOf(admit.Queue{}), "it expects to be quicker than others")
	})

	It("refuses nothing for its expected time while slots are free", func() {
		brief := ticket(1, "a")
		brief.Deadline = now.Add(time.Millisecond)
		Expect(ask(gate(1), brief)).To(Equal(admit.Admit{Ticket: 1}))
	})

	It("gives a waiting ticket its final answer as soon as its deadline cannot be met", func() {
		g := gate(1)
		ask(g, ticket(1, "a"))
		waits := ticket(2, "a")
		waits.Deadline = now.Add(4 * time.Second)
		Expect(ask(g, waits)).To(BeAssignableToTypeOf(admit.Queue{}))
		Expect(g.Tick(now.Add(time.Second))).To(BeEmpty())
		verdicts := g.Tick(now.Add(3 * time.Second))
		Expect(verdicts).To(ConsistOf(HaveField("Reason", admit.ReasonDeadline)))
		Expect(g.Queued()).To(Equal(0))
	})

	It("holds a team to its rate, and takes no token for what it refuses otherwise", func() {
		g := gate(10)
		limited := func(id admit.TicketID) admit.Ticket {
			t := ticket(id, "a")
			t.Rate, t.Burst = 2, 1
			return t
		}
		late := limited(1)
		late.Deadline = now
		Expect(ask(g, late)).To(HaveField("Reason", admit.ReasonDeadline))
		Expect(ask(g, limited(2))).To(BeAssignableToTypeOf(admit.Admit{}))
		Expect(ask(g, limited(3))).To(Equal(admit.Refuse{Ticket: 3, Reason: admit.ReasonRateLimit, RetryAfter: 500 * time.Millisecond}))
		v, _ := g.Submit(now.Add(500*time.Millisecond), limited(4))
		Expect(v).To(BeAssignableToTypeOf(admit.Admit{}))
	})

	It("orders a team's tickets by quickness, then priority, then time", func() {
		g := gate(1)
		ask(g, ticket(1, "a"))
		ask(g, ticket(2, "a"))
		urgent := ticket(3, "a")
		urgent.Priority = fleet.PriorityUrgent
		ask(g, urgent)
		quick := ticket(4, "a")
		quick.ShortAnswer = true
		ask(g, quick)
		for _, next := range []admit.TicketID{4, 3, 2} {
			running := next + 1
			if next == 4 {
				running = 1
			}
			Expect(g.Done(now, running)).To(ConsistOf(admit.Admit{Ticket: next}))
		}
	})

	It("shares slots between waiting teams by weight, however much one asks", func() {
		g := gate(1)
		ask(g, ticket(1, "big"))
		for id := range admit.TicketID(50) {
			ask(g, ticket(100+id, "big"))
		}
		for id := range admit.TicketID(10) {
			t := ticket(200+id, "small")
			t.Deadline = now.Add(time.Hour)
			ask(g, t)
		}
		running, small := admit.TicketID(1), 0
		for range 20 {
			v := g.Done(now.Add(time.Second), running)
			running = v[0].(admit.Admit).Ticket
			if running >= 200 {
				small++
			}
		}
		Expect(small).To(BeNumerically("~", 10, 1))
	})

	It("sheds the last ticket of a full team's queue for one that goes first", func() {
		g := gate(1000)
		g.SetCapacity(now, 0)
		g.SetCapacity(now, 1000)
		for id := range admit.TicketID(1000) {
			ask(g, ticket(id, "a"))
		}
		id := admit.TicketID(1000)
		for ; ; id++ {
			if _, ok := ask(g, ticket(id, "a")).(admit.Queue); !ok {
				break
			}
		}
		Expect(ask(g, ticket(id+1, "a"))).To(HaveField("Reason", admit.ReasonQueueFull))
		quick := ticket(id+2, "a")
		quick.ShortAnswer = true
		v, shed := g.Submit(now, quick)
		Expect(v).To(BeAssignableToTypeOf(admit.Queue{}))
		Expect(shed).To(ConsistOf(HaveField("Reason", admit.ReasonShed)))
	})

	It("lets a team's quick ticket go before another team's turn", func() {
		g := gate(1)
		ask(g, ticket(1, "a"))
		ask(g, ticket(2, "b"))
		quick := ticket(3, "a")
		quick.ShortAnswer = true
		ask(g, quick)
		Expect(g.Done(now.Add(time.Second), 1)).To(ConsistOf(admit.Admit{Ticket: 3}))
	})

	It("sheds from the team that waits most when too many wait in all", func() {
		g, id, shed := gate(1000), admit.TicketID(0), []admit.Decision(nil)
		for ; shed == nil; id++ {
			t := ticket(id, ident.TeamID(fmt.Sprint("t", id%5)))
			t.Weight = 10
			if id%5 == 4 {
				t.Weight = 1
			}
			_, shed = g.Submit(now, t)
		}
		Expect(uint64(shed[0].(admit.Refuse).Ticket) % 5).To(BeEquivalentTo(4))
	})

	It("settles each ticket once and never runs more than the slots, whatever happens", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { settleOnce(t) })
	})
})

var _ = Describe("Measure", func() {
	It("holds the goodput and the small teams' share under overload", func() {
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
					Expect(r.ShortAnswers).To(BeNumerically(">=", r.LargeTeams), "quick answers are shed last")
				}
			}
		}
	})
})

// settleOnce drives a gate at random and checks its books.
func settleOnce(t *rapid.T) {
	g, at := gate(3), now
	state := map[admit.TicketID]string{}
	heed := func(verdicts []admit.Decision) {
		for _, v := range verdicts {
			switch v := v.(type) {
			case admit.Admit:
				if state[v.Ticket] != "queued" {
					t.Fatalf("%d admitted while %q", v.Ticket, state[v.Ticket])
				}
				state[v.Ticket] = "running"
			case admit.Refuse:
				if state[v.Ticket] != "queued" || v.RetryAfter <= 0 {
					t.Fatalf("%d refused while %q: %+v", v.Ticket, state[v.Ticket], v)
				}
				state[v.Ticket] = "refused"
			}
		}
	}
	for id := range admit.TicketID(rapid.IntRange(1, 60).Draw(t, "steps")) {
		at = at.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
		k := ticket(id, rapid.SampledFrom([]ident.TeamID{"a", "b", "c"}).Draw(t, "team"))
		k.Deadline = at.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "deadline")) * time.Millisecond)
		k.ShortAnswer = rapid.Bool().Draw(t, "quick")
		state[id] = "queued"
		v, others := g.Submit(at, k)
		if _, waits := v.(admit.Queue); !waits {
			heed([]admit.Decision{v})
		}
		heed(others)
		if victim := admit.TicketID(rapid.Uint64Range(0, uint64(id)).Draw(t, "done")); state[victim] != "refused" {
			state[victim] = "done"
			heed(g.Done(at, victim))
		}
		heed(g.Tick(at))
		count := map[string]int{}
		for _, s := range state {
			count[s]++
		}
		if g.Running() > 3 || g.Running() != count["running"] || g.Queued() != count["queued"] {
			t.Fatalf("%d run and %d wait, but %v", g.Running(), g.Queued(), count)
		}
	}
}

func BenchmarkAsk(b *testing.B) {
	for _, teams := range []int{10, 200} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			g, names := gate(100), make([]ident.TeamID, teams)
			for i := range names {
				names[i] = ident.TeamID(fmt.Sprint(i))
			}
			b.ReportAllocs()
			for id := admit.TicketID(1); b.Loop(); id++ {
				g.Submit(now, ticket(id, names[id%admit.TicketID(teams)]))
				g.Done(now, id)
			}
		})
	}
}

// BenchmarkMeasure prints the rows that docs/notes/admit.md gives.
func BenchmarkMeasure(b *testing.B) {
	for b.Loop() {
		for _, r := range admit.Simulate(11) {
			b.Logf("%s load %.1f: %.1f/s, work %.1f slots, %.3f of its peak, small %.3f, large %.3f, quick %.3f",
				r.Policy, r.Load, r.Goodput, r.UsefulSlots, r.RelativeWork, r.SmallTeams, r.LargeTeams, r.ShortAnswers)
		}
	}
}
