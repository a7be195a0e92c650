package gossip_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/gossip"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

func ids(list []fleet.Router) []ident.RouterID {
	var names []ident.RouterID
	for _, r := range list {
		names = append(names, r.ID)
	}
	return names
}

var _ = Describe("View", func() {
	list := routers(4)
	heard := func(i int, at time.Time) gossip.Heard { return gossip.Heard{Router: list[i], Incarnation: 1, At: at} }

	It("holds those alone for owners that were heard of late, and suspects before it drops", func() {
		v := gossip.New(list[0])
		v.Step(start, gossip.Listed{Routers: list})
		Expect(ids(v.Live())).To(Equal(ids(list[:1])), "listed but never heard")
		Expect(v.Step(start, heard(1, start))).To(Equal([]gossip.Change{{Router: "r001", Status: gossip.StatusLive}}))
		Expect(ids(v.Live())).To(Equal(ids(list[:2])))
		silence := gossip.Silence(len(list))
		Expect(v.Step(start.Add(silence+1), gossip.Tick{})).To(Equal([]gossip.Change{{Router: "r001", Status: gossip.StatusSuspect}}))
		Expect(ids(v.Live())).To(Equal(ids(list[:2])))
		Expect(v.Step(start.Add(2*silence+1), gossip.Tick{})).To(Equal([]gossip.Change{{Router: "r001", Status: gossip.StatusSilent}}))
		Expect(ids(v.Live())).To(Equal(ids(list[:1])))
	})

	It("counts a heard router that is not listed for a while, and longer if no list comes", func() {
		v := gossip.New(list[0])
		now := start
		beat := func(seconds int) {
			for range seconds {
				now = now.Add(time.Second)
				v.Step(now, heard(1, now))
			}
		}
		beat(30)
		v.Step(now, gossip.Listed{Routers: list[:1]})
		Expect(ids(v.Live())).To(Equal(ids(list[:2])), "the list lags")
		beat(3600)
		Expect(ids(v.Live())).To(Equal(ids(list[:2])), "the platform is away")
		v.Step(now, gossip.Listed{Routers: list[:1]})
		Expect(ids(v.Live())).To(Equal(ids(list[:1])))
	})

	It("takes nothing from an older incarnation, nor word from the future", func() {
		v := gossip.New(list[0])
		v.Step(start, gossip.Heard{Router: list[1], Incarnation: 2, At: start})
		leaving := list[1]
		leaving.Leaving = true
		v.Step(start, gossip.Heard{Router: leaving, Incarnation: 1, At: start})
		Expect(v.Live()[1].Leaving).To(BeFalse())
		v.Step(start, gossip.Heard{Router: leaving, Incarnation: 2, At: start.Add(time.Hour)})
		v.Step(start, gossip.Heard{Router: list[1], Incarnation: 2, At: start})
		Expect(v.Live()[1].Leaving).To(BeTrue(), "leaving is not taken back")
		v.Step(start.Add(time.Minute), gossip.Tick{})
		Expect(ids(v.Live())).To(Equal(ids(list[:1])))
	})

	It("is bounded and forgets routers that are replaced", func() {
		v := gossip.New(list[0])
		now, gone := start, 0
		for i := range 5000 {
			now = now.Add(time.Second)
			for _, c := range v.Step(now, gossip.Heard{Router: fleet.Router{ID: ident.RouterID(fmt.Sprint("x", i))}, At: now}) {
				if c.Gone {
					gone++
				}
			}
		}
		Expect(gone).To(BeNumerically(">", 4900))
		Expect(len(v.Live())).To(BeNumerically("<", 100))
		for i := range 5000 {
			v.Step(now, gossip.Heard{Router: fleet.Router{ID: ident.RouterID(fmt.Sprint("y", i))}, At: now})
		}
		Expect(len(v.Live())).To(BeNumerically("<", 3000))
	})

	It("always counts itself, never a router silent for long, and reports each change once", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			v, now := gossip.New(list[0]), start
			last := map[ident.RouterID]time.Time{}
			status := map[ident.RouterID]gossip.Status{}
			for range rapid.IntRange(1, 60).Draw(t, "events") {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
				var event gossip.Event = gossip.Tick{}
				switch rapid.IntRange(0, 2).Draw(t, "event") {
				case 0:
					event = gossip.Listed{Routers: list[:rapid.IntRange(0, len(list)).Draw(t, "listed")]}
				case 1:
					i := rapid.IntRange(0, len(list)-1).Draw(t, "router")
					at := now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond)
					event = heard(i, at)
					if at.After(last[list[i].ID]) {
						last[list[i].ID] = at
					}
				}
				for _, c := range v.Step(now, event) {
					if before, ok := status[c.Router]; !c.Gone && ok && before == c.Status {
						t.Fatalf("router %s changed to %d twice", c.Router, c.Status)
					}
					status[c.Router] = c.Status
				}
				self := 0
				for _, r := range v.Live() {
					if r.ID == list[0].ID {
						self++
					}
					if r.ID != list[0].ID && now.Sub(last[r.ID]) > 2*gossip.Silence(len(list)) {
						t.Fatalf("router %s counts, last heard %s ago", r.ID, now.Sub(last[r.ID]))
					}
				}
				if self != 1 {
					t.Fatalf("the router counts itself %d times", self)
				}
			}
		})
	})
})

var _ = Describe("Fresh", func() {
	old := start.Add(-time.Minute)
	DescribeTable("tells how a router stands",
		func(reach gossip.Reach, standing gossip.Standing) {
			Expect(gossip.Fresh(start, reach)).To(Equal(standing))
		},
		Entry("confirmed by itself or a peer", gossip.Reach{Confirmed: start.Add(-time.Second), Listed: 7}, gossip.StandingFresh),
		Entry("platform away, all peers there", gossip.Reach{Confirmed: old, Live: 7, Listed: 7}, gossip.StandingTogether),
		Entry("platform away, half of the routers there", gossip.Reach{Confirmed: old, Live: 3, Listed: 7}, gossip.StandingAlone),
		Entry("cut off with two of eight", gossip.Reach{Confirmed: old, Live: 1, Listed: 7}, gossip.StandingAlone),
		Entry("cut off alone", gossip.Reach{Confirmed: old, Listed: 7}, gossip.StandingAlone),
		Entry("the only router there is", gossip.Reach{Confirmed: old}, gossip.StandingTogether),
		Entry("peers replaced during an outage", gossip.Reach{Confirmed: old, Live: 7, Listed: 7}, gossip.StandingTogether),
	)

	It("stops a router that hears nothing within ten seconds of its last confirmation", func() {
		list := routers(8)
		v := gossip.New(list[0])
		v.Step(start, gossip.Listed{Routers: list})
		for _, r := range list[1:] {
			v.Step(start, gossip.Heard{Router: r, Incarnation: 1, At: start})
		}
		const few = 10 * time.Second
		v.Step(start.Add(few), gossip.Tick{})
		Expect(gossip.Fresh(start.Add(few), v.Reach(start))).To(Equal(gossip.StandingAlone))
	})
})
