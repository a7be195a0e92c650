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
	first  = poison.Incarnation{Endpoint: "e1", BootID: "1"}
	second = poison.Incarnation{Endpoint: "e2", BootID: "1"}
)

const (
	crashing ident.Fingerprint = 1
	harmless ident.Fingerprint = 2
)

var _ = Describe("Fingerprint", func() {
	It("is equal for equal JSON values, and for nothing else", func() {
		a := poison.Fingerprint("m", []byte(`{"a":1.50,"b":[1,2]}`))
		Expect(poison.Fingerprint("m", []byte(" { \"b\": [1, 2],\n\"a\": 1.50 }"))).To(Equal(a))
		Expect(poison.Fingerprint("n", []byte(`{"a":1.50,"b":[1,2]}`))).NotTo(Equal(a))
		Expect(poison.Fingerprint("m", []byte(`{"a":1.50,"b":[2,1]}`))).NotTo(Equal(a))
		Expect(poison.Fingerprint("m", []byte(`{"a":1.50,"b":[1,2]} x`))).NotTo(Equal(a))
		Expect(poison.Fingerprint("m", []byte("not json"))).NotTo(Equal(poison.Fingerprint("m", []byte("nor this"))))
	})
})

var _ = Describe("CrashTable", func() {
	It("suspects a body after one crash, refuses it after two, and counts each crash once", func() {
		t := poison.NewCrashTable(lifetime)
		Expect(t.Suspicion(now, crashing)).To(Equal(fleet.SuspicionNone))
		t.Record(now, first, []ident.Fingerprint{crashing, harmless})
		Expect(t.Record(now, first, []ident.Fingerprint{crashing})).To(BeFalse())
		Expect(t.Suspicion(now, crashing)).To(Equal(fleet.SuspicionIsolated))
		t.Record(now, second, []ident.Fingerprint{crashing})
		Expect(t.Suspicions(now)).To(Equal(map[ident.Fingerprint]fleet.Suspicion{
			crashing: fleet.SuspicionRefused, harmless: fleet.SuspicionIsolated,
		}))
		Expect(t.Suspicion(now.Add(lifetime), crashing)).To(Equal(fleet.SuspicionNone))
	})

	It("clears a body of the crashes known when it started, and of no later ones", func() {
		t := poison.NewCrashTable(lifetime)
		t.Record(now, first, []ident.Fingerprint{harmless})
		known := t.UnclearedCrashes(now, harmless)
		t.Record(now, second, []ident.Fingerprint{harmless})
		Expect(t.Clear(now, harmless, known)).To(BeTrue())
		Expect(t.Suspicion(now, harmless)).To(Equal(fleet.SuspicionIsolated))
		t.Record(now, first, []ident.Fingerprint{harmless})
		Expect(t.Suspicion(now, harmless)).To(Equal(fleet.SuspicionIsolated), "a late report of a cleared crash")
	})

	It("stays bounded, and evicts the oldest crashes first", func() {
		t := poison.NewCrashTable(lifetime)
		for i := range 1100 {
			incarnation := poison.Incarnation{Endpoint: ident.EndpointID(fmt.Sprint(i)), BootID: "1"}
			t.Record(now.Add(time.Duration(i)), incarnation, []ident.Fingerprint{ident.Fingerprint(i)})
		}
		Expect(t.Suspicions(now)).To(HaveLen(1024))
		Expect(t.Suspicion(now, 1099)).To(Equal(fleet.SuspicionIsolated))
		Expect(t.Suspicion(now, 0)).To(Equal(fleet.SuspicionNone))
	})

	It("converges by merging, in any order and any number of times", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			tables := []*poison.CrashTable{poison.NewCrashTable(lifetime), poison.NewCrashTable(lifetime), poison.NewCrashTable(lifetime)}
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				x := rapid.SampledFrom(tables).Draw(t, "table")
				body := ident.Fingerprint(rapid.IntRange(1, 3).Draw(t, "body"))
				switch rapid.IntRange(0, 2).Draw(t, "step") {
				case 0:
					incarnation := poison.Incarnation{Endpoint: ident.EndpointID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "boot"))}
					x.Record(now, incarnation, []ident.Fingerprint{body})
				case 1:
					x.Clear(now, body, x.UnclearedCrashes(now, body))
				case 2:
					d, _ := rapid.SampledFrom(tables).Draw(t, "from").Delta(now, 0)
					x.Merge(now, d)
				}
			}
			exchangeDeltas(tables)
			for _, x := range tables[1:] {
				if a, b := fmt.Sprint(tables[0].Suspicions(now)), fmt.Sprint(x.Suspicions(now)); a != b {
					t.Fatalf("%s and %s", a, b)
				}
			}
			if d, _ := tables[0].Delta(now, 0); tables[1].Merge(now, d) {
				t.Fatal("a delta merged twice changes the table")
			}
		})
	})

	It("returns only what changed after a revision", func() {
		t := poison.NewCrashTable(lifetime)
		t.Record(now, first, []ident.Fingerprint{crashing})
		_, upto := t.Delta(now, 0)
		t.Record(now, second, []ident.Fingerprint{harmless})
		d, _ := t.Delta(now, upto)
		Expect(d.Crashes).To(HaveLen(1))
		Expect(d.Crashes[0].Incarnation).To(Equal(second))
		_, upto = t.Delta(now, 0)
		t.Clear(now, harmless, []poison.Incarnation{second})
		d, _ = t.Delta(now, upto)
		Expect(d.Clearances).To(ConsistOf(poison.Clearance{Fingerprint: harmless, Crashes: []poison.Incarnation{second}}))
	})
})

// exchangeDeltas merges the deltas of all tables into all others.
func exchangeDeltas(tables []*poison.CrashTable) {
	for range tables {
		for i, x := range tables {
			d, _ := x.Delta(now, 0)
			tables[(i+1)%len(tables)].Merge(now, d)
		}
	}
}

var _ = Describe("Owner", func() {
	claim := func(body ident.Fingerprint, attempt string) poison.Claim {
		return poison.Claim{Fingerprint: body, Attempt: ident.AttemptID(attempt)}
	}

	It("limits a body to two crashes, however many routers send it at once", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			owner, crashes, open := poison.NewOwner(poison.NewCrashTable(lifetime), time.Minute), 0, []string{}
			for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
				if len(open) > 0 && rapid.Bool().Draw(t, "crashes") {
					n := rapid.IntRange(0, len(open)-1).Draw(t, "which")
					crashes++
					incarnation := poison.Incarnation{Endpoint: ident.EndpointID(open[n]), BootID: "1"}
					owner.End(now, poison.ClaimEnd{Fingerprint: crashing, Attempt: ident.AttemptID(open[n]), Crashed: &incarnation})
					open = append(open[:n], open[n+1:]...)
					continue
				}
				name := fmt.Sprint(i)
				if _, ok := owner.Claim(now, claim(crashing, name)).(poison.Run); ok {
					open = append(open, name)
				}
			}
			if crashes > 2 {
				t.Fatalf("%d endpoints crashed", crashes)
			}
		})
	})

	It("runs a suspect alone, and after a complete run clears it and no longer limits its runs", func() {
		table := poison.NewCrashTable(lifetime)
		owner := poison.NewOwner(table, time.Minute)
		table.Record(now, first, []ident.Fingerprint{harmless})
		Expect(owner.Claim(now, claim(harmless, "a"))).To(Equal(poison.Wait{RetryAfter: 250 * time.Millisecond}))
		now := now.Add(250 * time.Millisecond)
		Expect(owner.Claim(now, claim(harmless, "a"))).To(Equal(poison.Run{Isolated: true}))
		Expect(owner.Claim(now, claim(harmless, "a"))).To(Equal(poison.Run{Isolated: true}), "a repeated claim")
		Expect(owner.Claim(now, claim(harmless, "b"))).To(BeAssignableToTypeOf(poison.Wait{}))
		owner.End(now, poison.ClaimEnd{Fingerprint: harmless, Attempt: "a", Complete: true})
		Expect(table.Suspicion(now, harmless)).To(Equal(fleet.SuspicionNone))
		for i := range 10 {
			Expect(owner.Claim(now, claim(harmless, fmt.Sprint(i)))).To(Equal(poison.Run{}))
		}
	})

	It("does not suspect a body of a crash that was known before its run started", func() {
		table := poison.NewCrashTable(lifetime)
		owner := poison.NewOwner(table, time.Minute)
		table.Record(now, first, []ident.Fingerprint{crashing})
		later := now.Add(time.Millisecond)
		Expect(owner.Claim(later, claim(harmless, "a"))).To(Equal(poison.Run{}))
		owner.End(later, poison.ClaimEnd{Fingerprint: harmless, Attempt: "a", Crashed: &first})
		Expect(table.Suspicion(later, harmless)).To(Equal(fleet.SuspicionNone))
	})

	It("limits the runs of a body again that was suspected after a complete run", func() {
		table := poison.NewCrashTable(lifetime)
		owner := poison.NewOwner(table, time.Minute)
		owner.Claim(now, claim(crashing, "a"))
		owner.End(now, poison.ClaimEnd{Fingerprint: crashing, Attempt: "a", Complete: true})
		table.Record(now, first, []ident.Fingerprint{crashing})
		owner.Claim(now, claim(crashing, "b"))
		owner.End(now, poison.ClaimEnd{Fingerprint: crashing, Attempt: "b"})
		later := now.Add(lifetime)
		owner.Claim(later, claim(crashing, "c"))
		owner.Claim(later, claim(crashing, "d"))
		Expect(owner.Claim(later, claim(crashing, "e"))).To(BeAssignableToTypeOf(poison.Wait{}))
	})

	It("does not clear a suspect after a truncated run or a run that was never claimed", func() {
		table := poison.NewCrashTable(lifetime)
		owner := poison.NewOwner(table, time.Minute)
		table.Record(now, first, []ident.Fingerprint{harmless})
		owner.Claim(now, claim(harmless, "a"))
		owner.End(now, poison.ClaimEnd{Fingerprint: harmless, Attempt: "a"})
		owner.End(now, poison.ClaimEnd{Fingerprint: harmless, Attempt: "never", Complete: true})
		Expect(table.Suspicion(now, harmless)).To(Equal(fleet.SuspicionIsolated))
	})

	It("refuses a body after two crashes, and expires claims that were never ended", func() {
		table := poison.NewCrashTable(lifetime)
		owner := poison.NewOwner(table, time.Minute)
		owner.Claim(now, claim(crashing, "a"))
		owner.Claim(now, claim(crashing, "b"))
		Expect(owner.Claim(now, claim(crashing, "c"))).To(BeAssignableToTypeOf(poison.Wait{}))
		Expect(owner.Claim(now.Add(time.Minute), claim(crashing, "c"))).To(Equal(poison.Run{}))
		table.Record(now, first, []ident.Fingerprint{crashing})
		table.Record(now, second, []ident.Fingerprint{crashing})
		Expect(owner.Claim(now, claim(crashing, "d"))).To(Equal(poison.Refuse{}))
	})

	It("is the same router for equal sets of live routers, and never one that is leaving", func() {
		routers := []fleet.Router{{ID: "a"}, {ID: "b"}, {ID: "c", Leaving: true}}
		owners := map[ident.RouterID]int{}
		for body := range ident.Fingerprint(100) {
			owner := poison.NewOwnerMap(routers).Owner(body)
			Expect(poison.NewOwnerMap([]fleet.Router{routers[1], routers[0]}).Owner(body)).To(Equal(owner))
			owners[owner]++
		}
		Expect(owners).To(HaveLen(2))
		Expect(owners).NotTo(HaveKey(ident.RouterID("c")))
		Expect(poison.NewOwnerMap(nil).Owner(crashing)).To(BeEmpty())
	})
})

func BenchmarkClaim(b *testing.B) {
	owner := poison.NewOwner(poison.NewCrashTable(lifetime), time.Minute)
	b.ReportAllocs()
	for body := ident.Fingerprint(0); b.Loop(); body++ {
		owner.Claim(now, poison.Claim{Fingerprint: body, Attempt: "a"})
		owner.End(now, poison.ClaimEnd{Fingerprint: body, Attempt: "a", Complete: true})
	}
}
