package gossip_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/gossip"
)

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
})
