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
	start    = time.Unix(1_800_000_000, 0)
	settings = copies.DefaultSettings(3 * time.Second)
	one      = copies.Incarnation{Router: "a1", Start: 1}
)

// routers gives routers whose zone is the first letter of their id.
func routers(ids ...ident.RouterID) []fleet.Router {
	var found []fleet.Router
	for _, id := range ids {
		found = append(found, fleet.Router{ID: id, Zone: ident.ZoneID(id[:1])})
	}
	return found
}

func ids(routers []fleet.Router) []ident.RouterID {
	var found []ident.RouterID
	for _, r := range routers {
		found = append(found, r.ID)
	}
	return found
}

func held(h *copies.Holder) []int {
	records, bytes := h.Size()
	return []int{records, bytes}
}

var _ = Describe("Sender", func() {
	DescribeTable("chooses peers in other zones if there are",
		func(self ident.RouterID, live, want []ident.RouterID) {
			s := copies.NewSender(routers(self)[0], settings)
			Expect(ids(s.Targets(start, routers(live...)))).To(Equal(want))
		},
		Entry("two other zones", ident.RouterID("a1"), []ident.RouterID{"a1", "a2", "b1", "b2", "c1"}, []ident.RouterID{"b1", "c1"}),
		Entry("one other zone", ident.RouterID("a1"), []ident.RouterID{"a1", "a2", "b1", "b2"}, []ident.RouterID{"b1", "b2"}),
		Entry("a zone with one router", ident.RouterID("a1"), []ident.RouterID{"a1", "a2", "b1"}, []ident.RouterID{"b1", "a2"}),
		Entry("one zone, those after it first", ident.RouterID("a2"), []ident.RouterID{"a1", "a2", "a3"}, []ident.RouterID{"a3", "a1"}),
		Entry("nobody else", ident.RouterID("a1"), []ident.RouterID{"a1"}, nil),
	)

	It("passes over a peer that failed, and comes back to it", Label("fault=peer-cut", "fault=peer-slow", "fault=peer-oneway", "step=bill", "holds=bill"), func() {
		s := copies.NewSender(routers("a1")[0], settings)
		live := routers("a1", "b1", "c1", "d1")
		s.RecordFailure(start, "b1")
		Expect(ids(s.Targets(start, live))).To(Equal([]ident.RouterID{"c1", "d1"}))
		Expect(ids(s.Targets(start.Add(settings.RetryInterval), live))).To(Equal([]ident.RouterID{"b1", "c1"}))
	})

	It("tells each peer what to hold, again only after a change or a while", func() {
		s := copies.NewSender(routers("a1")[0], settings)
		live := routers("a1", "b1", "c1", "d1")
		sync := func(now time.Time, texts ...copies.EncodedRecord) []ident.RouterID {
			serial := s.NextSequence()
			var told []ident.RouterID
			for _, send := range s.Updates(now, live, texts) {
				s.RecordUpdate(now, send, serial)
				told = append(told, send.To.ID)
			}
			return told
		}
		Expect(sync(start)).To(Equal([]ident.RouterID{"b1", "c1", "d1"}))
		Expect(sync(start)).To(BeEmpty())
		Expect(sync(start, "r")).To(Equal([]ident.RouterID{"b1", "c1"}))
		Expect(sync(start, "r")).To(BeEmpty())
		Expect(sync(start.Add(settings.RefreshInterval), "r")).To(Equal([]ident.RouterID{"b1", "c1"}))
		s.RecordAddition("d1", s.NextSequence())
		Expect(sync(start, "r")).To(Equal([]ident.RouterID{"d1"}))
	})
})

var _ = Describe("Holder", func() {
	It("refuses what it has no room for, and takes it once there is", func() {
		small := settings
		small.MaxRecords, small.MaxBytes = 3, 4
		h := copies.NewHolder(small)
		Expect(h.Receive(copies.Batch{From: one, Sequence: 1, Records: []copies.EncodedRecord{"r1"}})).To(Succeed())
		Expect(h.Receive(copies.Batch{From: one, Sequence: 2, Records: []copies.EncodedRecord{"r2", "r"}})).To(MatchError(copies.ErrFull))
		Expect(h.Receive(copies.Batch{From: one, Sequence: 3, Replace: true, Records: []copies.EncodedRecord{"r2", "r"}})).To(Succeed())
		Expect(h.Receive(copies.Batch{From: one, Sequence: 4, Records: []copies.EncodedRecord{"", "s"}})).To(MatchError(copies.ErrFull))
		Expect(held(h)).To(Equal([]int{2, 3}))
	})

	It("gives a dead router's copies until its own journal has them, and keeps them until they are durable", Label("fault=router-killed", "fault=platform-down", "fault=two", "step=bill", "holds=bill"), func() {
		h := copies.NewHolder(settings)
		Expect(h.Receive(copies.Batch{From: one, Sequence: 1, Records: []copies.EncodedRecord{"r"}})).To(Succeed())
		Expect(h.Orphaned(start, nil)).To(BeEmpty())
		late := start.Add(settings.DeadTimeout + 1)
		Expect(h.Orphaned(late, []ident.RouterID{"a1"})).To(BeEmpty(), "it was heard again")
		Expect(h.Orphaned(late, nil)).To(BeEmpty())
		late = late.Add(settings.DeadTimeout + 1)
		Expect(h.Orphaned(late, nil)).To(Equal([]copies.EncodedRecord{"r"}))
		h.RemoveDurable(nil)
		Expect(h.Orphaned(late, nil)).To(Equal([]copies.EncodedRecord{"r"}), "the journal was full")
		h.MarkAdopted([]copies.EncodedRecord{"r"})
		h.RemoveDurable([]copies.EncodedRecord{"r"})
		Expect(h.Orphaned(late, nil)).To(BeEmpty())
		Expect(held(h)).To(Equal([]int{1, 1}))
		h.RemoveDurable(nil)
		Expect(held(h)).To(Equal([]int{0, 0}))
	})
})

var _ = Describe("Copies", func() {
	It("lose no bill while routers die or restart one at a time", Label("fault=router-killed", "fault=router-replaced", "fault=platform-down", "fault=peer-slow", "fault=two", "step=bill", "holds=bill"), func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newWorld()
			w.round()
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "router")]
				switch rapid.SampledFrom([]string{"bill", "late", "kill", "restart", "up"}).Draw(t, "step") {
				case "bill":
					w.bill(n)
				case "late": // copies overtake a batch that replaces
					deliver := w.sync(n)
					w.bill(n)
					deliver()
					continue // before the loop can mend it
				case "kill":
					if len(w.live()) < 3 {
						continue // two must be left to hold anything
					}
					w.restart(n)
					n.down = true
					w.round()
				case "restart":
					w.restart(n)
					w.round()
				case "up":
					w.flush(n)
				}
				w.now = w.now.Add(time.Second)
				w.tick(n)
			}
			w.round()
			for _, n := range w.nodes {
				w.flush(n)
			}
			for text := range w.billed {
				if !w.durable[text] {
					t.Fatalf("bill %s is lost", text)
				}
			}
		})
	})
})
