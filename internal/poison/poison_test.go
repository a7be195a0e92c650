package poison_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const lifetime = time.Hour

var (
	now    = time.Unix(1_000_000, 0)
	first  = poison.Boot{Endpoint: "e1", Boot: "1"}
	second = poison.Boot{Endpoint: "e2", Boot: "1"}
)

const (
	killer   ident.Fingerprint = 1
	innocent ident.Fingerprint = 2
)

var _ = Describe("Fingerprint", func() {
	It("is the same for the same JSON, and for nothing else", func() {
		a := poison.Fingerprint("m", []byte(`{"a":1.50,"b":[1,2]}`))
		Expect(poison.Fingerprint("m", []byte(" { \"b\": [1, 2],\n\"a\": 1.50 }"))).To(Equal(a))
		Expect(poison.Fingerprint("n", []byte(`{"a":1.50,"b":[1,2]}`))).NotTo(Equal(a))
		Expect(poison.Fingerprint("m", []byte(`{"a":1.50,"b":[2,1]}`))).NotTo(Equal(a))
		Expect(poison.Fingerprint("m", []byte(`{"a":1.50,"b":[1,2]} x`))).NotTo(Equal(a))
		Expect(poison.Fingerprint("m", []byte("not json"))).NotTo(Equal(poison.Fingerprint("m", []byte("nor this"))))
	})
})

var _ = Describe("Table", func() {
	It("suspects after one death, refuses after two, and counts a death once", func() {
		t := poison.New(lifetime)
		Expect(t.Suspicion(now, killer)).To(Equal(fleet.SuspicionNone))
		t.Record(now, first, []ident.Fingerprint{killer, innocent})
		Expect(t.Record(now, first, []ident.Fingerprint{killer})).To(BeFalse())
		Expect(t.Suspicion(now, killer)).To(Equal(fleet.SuspicionIsolated))
		t.Record(now, second, []ident.Fingerprint{killer})
		Expect(t.Suspicions(now)).To(Equal(map[ident.Fingerprint]fleet.Suspicion{
			killer: fleet.SuspicionRefused, innocent: fleet.SuspicionIsolated,
		}))
		Expect(t.Suspicion(now.Add(lifetime), killer)).To(Equal(fleet.SuspicionNone))
	})

	It("clears a body of the deaths it was known for when it ran, and of no later one", func() {
		t := poison.New(lifetime)
		t.Record(now, first, []ident.Fingerprint{innocent})
		known := t.Known(now, innocent)
		t.Record(now, second, []ident.Fingerprint{innocent})
		Expect(t.Clear(now, innocent, known)).To(BeTrue())
		Expect(t.Suspicion(now, innocent)).To(Equal(fleet.SuspicionIsolated))
		t.Record(now, first, []ident.Fingerprint{innocent})
		Expect(t.Suspicion(now, innocent)).To(Equal(fleet.SuspicionIsolated), "a late word of a cleared death")
	})

	It("stays bounded, and forgets the oldest deaths first", func() {
		t := poison.New(lifetime)
		for i := range 1100 {
			boot := poison.Boot{Endpoint: ident.EndpointID(fmt.Sprint(i)), Boot: "1"}
			t.Record(now.Add(time.Duration(i)), boot, []ident.Fingerprint{ident.Fingerprint(i)})
		}
		Expect(t.Suspicions(now)).To(HaveLen(1024))
		Expect(t.Suspicion(now, 1099)).To(Equal(fleet.SuspicionIsolated))
		Expect(t.Suspicion(now, 0)).To(Equal(fleet.SuspicionNone))
	})

	It("comes to the same by merging, in whatever order and however often", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			tables := []*poison.Table{poison.New(lifetime), poison.New(lifetime), poison.New(lifetime)}
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				x := rapid.SampledFrom(tables).Draw(t, "table")
				body := ident.Fingerprint(rapid.IntRange(1, 3).Draw(t, "body"))
				switch rapid.IntRange(0, 2).Draw(t, "step") {
				case 0:
					boot := poison.Boot{Endpoint: ident.EndpointID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "boot"))}
					x.Record(now, boot, []ident.Fingerprint{body})
				case 1:
					x.Clear(now, body, x.Known(now, body))
				case 2:
					d, _ := rapid.SampledFrom(tables).Draw(t, "from").Delta(now, 0)
					x.Merge(now, d)
				}
			}
			spread(tables)
			for _, x := range tables[1:] {
				if a, b := fmt.Sprint(tables[0].Suspicions(now)), fmt.Sprint(x.Suspicions(now)); a != b {
					t.Fatalf("%s and %s", a, b)
				}
			}
			if d, _ := tables[0].Delta(now, 0); tables[1].Merge(now, d) {
				t.Fatal("a doubled delta changes something")
			}
		})
	})

	It("tells only what is new since a version", func() {
		t := poison.New(lifetime)
		t.Record(now, first, []ident.Fingerprint{killer})
		_, upto := t.Delta(now, 0)
		t.Record(now, second, []ident.Fingerprint{innocent})
		d, _ := t.Delta(now, upto)
		Expect(d.Deaths).To(HaveLen(1))
		Expect(d.Deaths[0].Boot).To(Equal(second))
		_, upto = t.Delta(now, 0)
		t.Clear(now, innocent, []poison.Boot{second})
		d, _ = t.Delta(now, upto)
		Expect(d.Clearances).To(ConsistOf(poison.Clearance{Fingerprint: innocent, Deaths: []poison.Boot{second}}))
	})
})

func spread(tables []*poison.Table) {
	for range tables {
		for i, x := range tables {
			d, _ := x.Delta(now, 0)
			tables[(i+1)%len(tables)].Merge(now, d)
		}
	}
}

var _ = Describe("Home", func() {
	claim := func(body ident.Fingerprint, attempt string) poison.Claim {
		return poison.Claim{Fingerprint: body, Attempt: ident.AttemptID(attempt)}
	}

	It("lets a body crash no more than two endpoints, however many routers send it at once", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			h, deaths, open := poison.NewHome(poison.New(lifetime), time.Minute), 0, []string{}
			for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
				if len(open) > 0 && rapid.Bool().Draw(t, "dies") {
					n := rapid.IntRange(0, len(open)-1).Draw(t, "which")
					deaths++
					boot := poison.Boot{Endpoint: ident.EndpointID(open[n]), Boot: "1"}
					h.End(now, poison.Ended{Fingerprint: killer, Attempt: ident.AttemptID(open[n]), Died: &boot})
					open = append(open[:n], open[n+1:]...)
					continue
				}
				name := fmt.Sprint(i)
				if _, ok := h.Claim(now, claim(killer, name)).(poison.Run); ok {
					open = append(open, name)
				}
			}
			if deaths > 2 {
				t.Fatalf("%d endpoints crashed", deaths)
			}
		})
	})

	It("runs a suspect alone, clears it at its whole end and bounds it no longer", func() {
		table := poison.New(lifetime)
		h := poison.NewHome(table, time.Minute)
		table.Record(now, first, []ident.Fingerprint{innocent})
		Expect(h.Claim(now, claim(innocent, "a"))).To(Equal(poison.Wait{RetryAfter: 250 * time.Millisecond}))
		now := now.Add(250 * time.Millisecond)
		Expect(h.Claim(now, claim(innocent, "a"))).To(Equal(poison.Run{Alone: true}))
		Expect(h.Claim(now, claim(innocent, "a"))).To(Equal(poison.Run{Alone: true}), "a repeated claim")
		Expect(h.Claim(now, claim(innocent, "b"))).To(BeAssignableToTypeOf(poison.Wait{}))
		h.End(now, poison.Ended{Fingerprint: innocent, Attempt: "a", Whole: true})
		Expect(table.Suspicion(now, innocent)).To(Equal(fleet.SuspicionNone))
		for i := range 10 {
			Expect(h.Claim(now, claim(innocent, fmt.Sprint(i)))).To(Equal(poison.Run{}))
		}
	})

	It("blames no run for a death that was known before it began", func() {
		table := poison.New(lifetime)
		h := poison.NewHome(table, time.Minute)
		table.Record(now, first, []ident.Fingerprint{killer})
		later := now.Add(time.Millisecond)
		Expect(h.Claim(later, claim(innocent, "a"))).To(Equal(poison.Run{}))
		h.End(later, poison.Ended{Fingerprint: innocent, Attempt: "a", Died: &first})
		Expect(table.Suspicion(later, innocent)).To(Equal(fleet.SuspicionNone))
	})

	It("bounds a body again that once ended whole but was suspected since", func() {
		table := poison.New(lifetime)
		h := poison.NewHome(table, time.Minute)
		h.Claim(now, claim(killer, "a"))
		h.End(now, poison.Ended{Fingerprint: killer, Attempt: "a", Whole: true})
		table.Record(now, first, []ident.Fingerprint{killer})
		h.Claim(now, claim(killer, "b"))
		h.End(now, poison.Ended{Fingerprint: killer, Attempt: "b"})
		later := now.Add(lifetime)
		h.Claim(later, claim(killer, "c"))
		h.Claim(later, claim(killer, "d"))
		Expect(h.Claim(later, claim(killer, "e"))).To(BeAssignableToTypeOf(poison.Wait{}))
	})

	It("does not clear a suspect by a run that was cut or that it did not allow", func() {
		table := poison.New(lifetime)
		h := poison.NewHome(table, time.Minute)
		table.Record(now, first, []ident.Fingerprint{innocent})
		h.Claim(now, claim(innocent, "a"))
		h.End(now, poison.Ended{Fingerprint: innocent, Attempt: "a"})
		h.End(now, poison.Ended{Fingerprint: innocent, Attempt: "never", Whole: true})
		Expect(table.Suspicion(now, innocent)).To(Equal(fleet.SuspicionIsolated))
	})

	It("refuses for good after two deaths, and frees a claim that was never ended", func() {
		table := poison.New(lifetime)
		h := poison.NewHome(table, time.Minute)
		h.Claim(now, claim(killer, "a"))
		h.Claim(now, claim(killer, "b"))
		Expect(h.Claim(now, claim(killer, "c"))).To(BeAssignableToTypeOf(poison.Wait{}))
		Expect(h.Claim(now.Add(time.Minute), claim(killer, "c"))).To(Equal(poison.Run{}))
		table.Record(now, first, []ident.Fingerprint{killer})
		table.Record(now, second, []ident.Fingerprint{killer})
		Expect(h.Claim(now, claim(killer, "d"))).To(Equal(poison.Refuse{}))
	})

	It("is the same router for all who see the same live ones, and not one that leaves", func() {
		routers := []fleet.Router{{ID: "a"}, {ID: "b"}, {ID: "c", Leaving: true}}
		homes := map[ident.RouterID]int{}
		for body := range ident.Fingerprint(100) {
			home := poison.NewPlaces(routers).Home(body)
			Expect(poison.NewPlaces([]fleet.Router{routers[1], routers[0]}).Home(body)).To(Equal(home))
			homes[home]++
		}
		Expect(homes).To(HaveLen(2))
		Expect(homes).NotTo(HaveKey(ident.RouterID("c")))
		Expect(poison.NewPlaces(nil).Home(killer)).To(BeEmpty())
	})
})

func BenchmarkClaim(b *testing.B) {
	h := poison.NewHome(poison.New(lifetime), time.Minute)
	b.ReportAllocs()
	for body := ident.Fingerprint(0); b.Loop(); body++ {
		h.Claim(now, poison.Claim{Fingerprint: body, Attempt: "a"})
		h.End(now, poison.Ended{Fingerprint: body, Attempt: "a", Whole: true})
	}
}
