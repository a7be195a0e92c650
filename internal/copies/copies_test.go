package copies_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/copies"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var (
	start       = time.Unix(1_800_000_000, 0)
	settings    = copies.DefaultSettings(3 * time.Second)
	incarnation = copies.Incarnation{Router: "a1", Start: 1}
)

// fleetRouters returns routers whose zone is the first letter of their id.
func fleetRouters(ids ...ident.RouterID) []fleet.Router {
	var result []fleet.Router
	for _, id := range ids {
		result = append(result, fleet.Router{ID: id, Zone: ident.ZoneID(id[:1])})
	}
	return result
}

func routerIDs(routers []fleet.Router) []ident.RouterID {
	var result []ident.RouterID
	for _, r := range routers {
		result = append(result, r.ID)
	}
	return result
}

func holderSize(h *copies.Holder) []int {
	records, bytes := h.Size()
	return []int{records, bytes}
}

var _ = Describe("Sender", func() {
	DescribeTable("prefers peers in other zones",
		func(self ident.RouterID, live, want []ident.RouterID) {
			s := copies.NewSender(fleetRouters(self)[0], settings)
			Expect(routerIDs(s.Targets(start, fleetRouters(live...)))).To(Equal(want))
		},
		Entry("two other zones", ident.RouterID("a1"), []ident.RouterID{"a1", "a2", "b1", "b2", "c1"}, []ident.RouterID{"b1", "c1"}),
		Entry("one other zone", ident.RouterID("a1"), []ident.RouterID{"a1", "a2", "b1", "b2"}, []ident.RouterID{"b1", "b2"}),
		Entry("a zone with one router", ident.RouterID("a1"), []ident.RouterID{"a1", "a2", "b1"}, []ident.RouterID{"b1", "a2"}),
		Entry("one zone, prefers routers with later ids", ident.RouterID("a2"), []ident.RouterID{"a1", "a2", "a3"}, []ident.RouterID{"a3", "a1"}),
		Entry("no other router", ident.RouterID("a1"), []ident.RouterID{"a1"}, nil),
	)

	It("skips a peer that failed until the retry interval has passed", Label("fault=peer-cut", "fault=peer-slow", "fault=peer-oneway", "step=bill", "holds=bill"), func() {
		s := copies.NewSender(fleetRouters("a1")[0], settings)
		live := fleetRouters("a1", "b1", "c1", "d1")
		s.RecordFailure(start, "b1")
		Expect(routerIDs(s.Targets(start, live))).To(Equal([]ident.RouterID{"c1", "d1"}))
		Expect(routerIDs(s.Targets(start.Add(settings.RetryInterval), live))).To(Equal([]ident.RouterID{"b1", "c1"}))
	})

	It("updates each peer, and again only after a change or the refresh interval", func() {
		s := copies.NewSender(fleetRouters("a1")[0], settings)
		live := fleetRouters("a1", "b1", "c1", "d1")
		update := func(now time.Time, records ...copies.EncodedRecord) []ident.RouterID {
			sequence := s.NextSequence()
			var updated []ident.RouterID
			for _, u := range s.Updates(now, live, records) {
				s.RecordUpdate(now, u, sequence)
				updated = append(updated, u.To.ID)
			}
			return updated
		}
		Expect(update(start)).To(Equal([]ident.RouterID{"b1", "c1", "d1"}))
		Expect(update(start)).To(BeEmpty())
		Expect(update(start, "r")).To(Equal([]ident.RouterID{"b1", "c1"}))
		Expect(update(start, "r")).To(BeEmpty())
		Expect(update(start.Add(settings.RefreshInterval), "r")).To(Equal([]ident.RouterID{"b1", "c1"}))
		s.RecordAddition("d1", s.NextSequence())
		Expect(update(start, "r")).To(Equal([]ident.RouterID{"d1"}))
	})
})

var _ = Describe("Holder", func() {
	It("refuses copies beyond its limits, and accepts them after others were removed", func() {
		small := settings
		small.MaxRecords, small.MaxBytes = 3, 4
		h := copies.NewHolder(small)
		Expect(h.Receive(copies.Batch{From: incarnation, Sequence: 1, Records: []copies.EncodedRecord{"r1"}})).To(Succeed())
		Expect(h.Receive(copies.Batch{From: incarnation, Sequence: 2, Records: []copies.EncodedRecord{"r2", "r"}})).To(MatchError(copies.ErrFull))
		Expect(h.Receive(copies.Batch{From: incarnation, Sequence: 3, Replace: true, Records: []copies.EncodedRecord{"r2", "r"}})).To(Succeed())
		Expect(h.Receive(copies.Batch{From: incarnation, Sequence: 4, Records: []copies.EncodedRecord{"", "s"}})).To(MatchError(copies.ErrFull))
		Expect(holderSize(h)).To(Equal([]int{2, 3}))
	})

	It("returns a dead router's copies until its own journal has accepted them, and keeps them until they are durable", Label("fault=router-killed", "fault=platform-down", "fault=two", "step=bill", "holds=bill"), func() {
		h := copies.NewHolder(settings)
		Expect(h.Receive(copies.Batch{From: incarnation, Sequence: 1, Records: []copies.EncodedRecord{"r"}})).To(Succeed())
		Expect(h.Orphaned(start, nil)).To(BeEmpty())
		deadAt := start.Add(settings.DeadTimeout + 1)
		Expect(h.Orphaned(deadAt, []ident.RouterID{"a1"})).To(BeEmpty(), "the router is live again")
		Expect(h.Orphaned(deadAt, nil)).To(BeEmpty())
		deadAt = deadAt.Add(settings.DeadTimeout + 1)
		Expect(h.Orphaned(deadAt, nil)).To(Equal([]copies.EncodedRecord{"r"}))
		h.RemoveDurable(nil)
		Expect(h.Orphaned(deadAt, nil)).To(Equal([]copies.EncodedRecord{"r"}), "the journal was full")
		h.MarkAdopted([]copies.EncodedRecord{"r"})
		h.RemoveDurable([]copies.EncodedRecord{"r"})
		Expect(h.Orphaned(deadAt, nil)).To(BeEmpty())
		Expect(holderSize(h)).To(Equal([]int{1, 1}))
		h.RemoveDurable(nil)
		Expect(holderSize(h)).To(Equal([]int{0, 0}))
	})
})

var _ = Describe("Copies", func() {
	It("lose no bill while routers crash or restart one at a time", Label("fault=router-killed", "fault=router-replaced", "fault=platform-down", "fault=peer-slow", "fault=two", "step=bill", "holds=bill"), func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := newSimulation()
			s.waitForAdoption()
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				r := s.routers[rapid.IntRange(0, len(s.routers)-1).Draw(t, "router")]
				switch rapid.SampledFrom([]string{"bill", "late", "kill", "restart", "up"}).Draw(t, "step") {
				case "bill":
					s.addBill(r)
				case "late": // added copies overtake an earlier update
					deliver := s.prepareUpdates(r)
					s.addBill(r)
					deliver()
					continue // before a later update can repair it
				case "kill":
					if len(s.live()) < 3 {
						continue // at least two routers must remain to hold copies
					}
					s.restart(r)
					r.down = true
					s.waitForAdoption()
				case "restart":
					s.restart(r)
					s.waitForAdoption()
				case "up":
					s.makeDurable(r)
				}
				s.now = s.now.Add(time.Second)
				s.tick(r)
			}
			s.waitForAdoption()
			for _, r := range s.routers {
				s.makeDurable(r)
			}
			for record := range s.acknowledged {
				if !s.durable[record] {
					t.Fatalf("bill %s is lost", record)
				}
			}
		})
	})
})
