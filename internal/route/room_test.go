package route_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var _ = Describe("RoomShare", func() {
	// Guards against endpoints that fall over since all routers together send them more
	// than they run.
	DescribeTable("divides the slots of an endpoint among the routers", func(slots, routers int) {
		var ids []ident.RouterID
		for i := range routers {
			ids = append(ids, ident.RouterID(fmt.Sprint("r", i)))
		}
		for e := range 20 {
			endpoint, total, most := ident.EndpointID(fmt.Sprint("e", e)), 0, 0
			for _, id := range ids {
				share := route.RoomShare(endpoint, slots, id, ids)
				total, most = total+share, max(most, share)
			}
			Expect(total).To(Equal(slots))
			Expect(most).To(BeNumerically("<=", slots/routers+1))
		}
	},
		Entry("more slots than routers", 64, 8),
		Entry("a rest", 64, 7),
		Entry("fewer slots than routers", 6, 8),
		Entry("many routers", 64, 360),
	)

	It("gives all of an endpoint to a router that knows of no other", func() {
		Expect(route.RoomShare("e", 6, "r", nil)).To(Equal(6))
		Expect(route.RoomShare("e", 0, "r", nil)).To(Equal(1))
	})
})
