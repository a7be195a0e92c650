package gossip_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/gossip"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var _ = Describe("Targets", func() {
	It("are distinct other routers, reproducible from the seed, and all of them in a small fleet", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			list := newRouters(rapid.IntRange(1, 400).Draw(t, "routers"))
			seed := rapid.Uint64().Draw(t, "seed")
			self := list[rapid.IntRange(0, len(list)-1).Draw(t, "self")].ID
			kind := gossip.Kind(rapid.IntRange(0, 1).Draw(t, "kind"))
			targets := gossip.Targets(seed, self, list, kind)
			seen := map[ident.RouterID]bool{self: true}
			for i, id := range targets {
				if seen[id] || gossip.Targets(seed, self, list, kind)[i] != id {
					t.Fatalf("targets %v of %s", targets, self)
				}
				seen[id] = true
			}
			if len(list) <= 8 && len(targets) != len(list)-1 {
				t.Fatalf("%d targets of %d routers", len(targets), len(list))
			}
			if len(list) > 1 && len(targets) == 0 {
				t.Fatal("no targets")
			}
		})
	})

	It("collect evidence at three routers of three zones, of which only a leaving one is replaced", func() {
		list := newRouters(60)
		for i := range list {
			list[i].Zone = ident.ZoneID(fmt.Sprint("z", i%4))
		}
		for subject := range 50 {
			name := fmt.Sprint("m", subject)
			before := gossip.Collectors(name, list)
			Expect(before).To(HaveLen(3))
			zones := map[ident.ZoneID]bool{}
			for i := range list {
				if slices.Contains(before, list[i].ID) {
					zones[list[i].Zone] = true
				}
			}
			Expect(zones).To(HaveLen(3))
			first := slices.IndexFunc(list, func(r fleet.Router) bool { return r.ID == before[2] })
			list[first].Leaving = true
			after := gossip.Collectors(name, list)
			Expect(after[:2]).To(Equal(before[:2]))
			Expect(after[2]).NotTo(Equal(before[2]))
			list[first].Leaving = false
		}
		Expect(gossip.Collectors("m", list[:5])).To(HaveLen(5))
	})

	It("spread the load evenly over the routers", func() {
		const n, rounds = 360, 100
		list := newRouters(n)
		received := map[ident.RouterID]int{}
		for seed := range uint64(rounds) {
			for _, r := range list {
				for _, id := range gossip.Targets(seed, r.ID, list, gossip.KindRoutine) {
					received[id]++
				}
			}
		}
		for id, k := range received {
			Expect(k).To(BeNumerically("<", 2*rounds), "router %s", id)
		}
	})

	// spread forwards one message by Targets, as a router does, and then by
	// heartbeats. It returns the time until all routers are informed and the number
	// of messages of the busiest router.
	spread := func(seed uint64, n int, loss int) (time.Duration, int) {
		list := newRouters(n)
		index := map[ident.RouterID]int{}
		for i, r := range list {
			index[r.ID] = i
		}
		lost := func(from, to, round int) bool {
			x := (seed+1)*1_000_003 + uint64(from)*7919 + uint64(to)*104_729 + uint64(round)*15_485_863
			x ^= x >> 31
			x *= 0x9e3779b97f4a7c15
			return int(x>>33)%100 < loss
		}
		informed, messages := make([]bool, n), make([]int, n)
		frontier := []int{int(seed) % n}
		informed[frontier[0]] = true
		hops := 0
		for ; len(frontier) > 0; hops++ {
			var next []int
			for _, i := range frontier {
				for _, id := range gossip.Targets(seed, list[i].ID, list, gossip.KindUrgent) {
					j := index[id]
					messages[i]++
					if lost(i, j, 0) {
						continue
					}
					messages[j]++
					if !informed[j] {
						informed[j] = true
						next = append(next, j)
					}
				}
			}
			frontier = next
		}
		rounds := 0
		for missing := true; missing; rounds++ {
			missing = false
			for i := range list {
				for _, id := range gossip.Targets(seed+uint64(rounds)*31, list[i].ID, list, gossip.KindRoutine) {
					if j := index[id]; !lost(i, j, rounds+1) {
						informed[i], informed[j] = informed[i] || informed[j], informed[i] || informed[j]
					}
				}
			}
			for i := range informed {
				missing = missing || !informed[i]
			}
		}
		most := 0
		for _, m := range messages {
			most = max(most, m)
		}
		const hop = 5 * time.Millisecond
		return time.Duration(hops)*hop + time.Duration(rounds-1)*gossip.Interval(n), most
	}

	DescribeTable("spread an urgent message to all routers within a second at 10% loss and within 10 KB for the busiest router",
		func(n int) {
			for seed := range uint64(30) {
				took, most := spread(seed, n, 10)
				Expect(took).To(BeNumerically("<", time.Second), "seed %d", seed)
				const message = 390 // bytes of an urgent message on the wire
				Expect(most*message).To(BeNumerically("<=", 10_240), "seed %d", seed)
			}
		},
		Entry("8 routers", 8), Entry("24 routers", 24), Entry("90 routers", 90), Entry("360 routers", 360),
	)

	It("keep heartbeats within 10 KB/s in fleets of up to 360 routers", func() {
		for n := 1; n <= 360; n++ {
			Expect(gossip.HeartbeatBytes(n)).To(BeNumerically("<=", 10_240), "%d routers", n)
		}
	})

	It("keep the age of information on a live router within twice the peer timeout", func() {
		for _, a := range gossip.SimulateAges(1, 0.1) {
			Expect(a.Max).To(BeNumerically("<=", 2*gossip.PeerTimeout(a.Routers)), "%+v", a)
		}
	})
})
