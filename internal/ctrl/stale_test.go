package ctrl_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var _ = Describe("Stale information", func() {
	peer := fleet.Router{ID: "b1", Zone: "b", Peer: "b1"}
	old := &fleet.Config{Generation: 1, Zones: map[ident.ZoneID]*fleet.Zone{}}
	withdrawal := fleet.Withdrawal{Release: candidate, By: "test"}

	// newControl returns a router at generation 2, confirmed at start, with a peer
	// and a withdrawn release.
	newControl := func() *ctrl.Control {
		c := ctrl.New(fleet.Router{ID: "a1", Zone: "a"}, ctrl.DefaultSettings(250*time.Millisecond), start)
		c.Step(start, ctrl.PlatformRead{RequestedAt: start, Head: plat.Head{Generation: 2}, Config: newConfig()})
		c.Step(start, ctrl.HeartbeatReceived{Heartbeat: ctrl.Heartbeat{Router: peer, Generation: 2}})
		c.Step(start, ctrl.Withdraw{Withdrawal: withdrawal})
		return c
	}
	now := start.Add(10 * time.Second)

	DescribeTable("neither reverts a router's state nor makes it serve",
		func(e ctrl.Event) {
			c := newControl()
			c.Step(now, e)
			c.Step(now, ctrl.Tick{})
			v := c.View(now)
			Expect(c.Head().Generation).To(BeEquivalentTo(2))
			Expect(v.Config.Zones).To(HaveKey(BeEquivalentTo("a")))
			Expect(v.ConfirmedAt).To(Equal(start))
			Expect(v.Allowed(candidate)).To(BeFalse())
			Expect(v.Ready(now)).To(BeFalse())
		},
		Entry("a stale read", Label("fault=platform-stale", "step=spread", "holds=config"), ctrl.PlatformRead{RequestedAt: now, Head: plat.Head{Generation: 1}, Config: old}),
		Entry("a read from a platform that lost its objects", Label("fault=platform-stale", "step=spread"), ctrl.PlatformRead{RequestedAt: now}),
		Entry("a read requested long ago", Label("fault=platform-slow", "step=spread"), ctrl.PlatformRead{RequestedAt: start, Head: plat.Head{Generation: 2}}),
		Entry("a peer's older configuration", Label("fault=peer-slow", "step=spread", "holds=config"), ctrl.ConfigFetched{Head: plat.Head{Generation: 1}, Config: old}),
		Entry("a peer at an older generation", Label("fault=peer-slow", "step=spread"), ctrl.HeartbeatAcked{Router: peer, SentAt: start, Generation: 1}),
		Entry("an answer to an old heartbeat", Label("fault=peer-slow", "fault=router-frozen", "step=admit", "step=spread"), ctrl.HeartbeatAcked{Router: peer, SentAt: start, Generation: 2}),
		Entry("a heartbeat without proof that it is recent", Label("fault=peer-oneway", "fault=router-frozen", "step=admit"), ctrl.HeartbeatReceived{Heartbeat: ctrl.Heartbeat{Router: peer, Generation: 2, PlatformReachable: true, Serving: true}}),
	)

	It("from a healthy peer at an older generation confirms nothing", Label("fault=peer-slow", "step=publish", "holds=config"), func() {
		c := newControl()
		c.Step(now, ctrl.HeartbeatAcked{Router: peer, SentAt: now, Generation: 1})
		Expect(c.View(now).ConfirmedAt).To(Equal(start))
		c.Step(now, ctrl.HeartbeatAcked{Router: peer, SentAt: now, Generation: 2, ConfirmationAge: time.Second})
		Expect(c.View(now).ConfirmedAt).To(Equal(now.Add(-time.Second)))
	})
})
