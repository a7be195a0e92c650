package gossip_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/gossip"
)

var _ = Describe("ConfigValidity", func() {
	old := start.Add(-time.Minute)
	DescribeTable("classifies a router's configuration",
		func(c gossip.Connectivity, validity gossip.Validity) {
			Expect(gossip.ConfigValidity(start, c)).To(Equal(validity))
		},
		Entry("confirmed by itself or a peer", gossip.Connectivity{Confirmed: start.Add(-time.Second), Listed: 7}, gossip.ValidityConfirmed),
		Entry("platform down, all peers reachable", gossip.Connectivity{Confirmed: old, Live: 7, Listed: 7}, gossip.ValidityMajority),
		Entry("platform down, half of the routers reachable", gossip.Connectivity{Confirmed: old, Live: 3, Listed: 7}, gossip.ValidityMinority),
		Entry("cut off with two of eight", gossip.Connectivity{Confirmed: old, Live: 1, Listed: 7}, gossip.ValidityMinority),
		Entry("cut off alone", gossip.Connectivity{Confirmed: old, Listed: 7}, gossip.ValidityMinority),
		Entry("the only router", gossip.Connectivity{Confirmed: old}, gossip.ValidityMajority),
		Entry("peers replaced during an outage", gossip.Connectivity{Confirmed: old, Live: 7, Listed: 7}, gossip.ValidityMajority),
	)
})
