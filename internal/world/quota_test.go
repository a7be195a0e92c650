package world_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var _ = Describe("Quota", func() {
	const (
		exposure ident.Share = 0.15
		slack                = 30
	)
	// simulate distributes requests of a service over several routers and returns
	// the number that the target received after each.
	simulate := func(routers, requests int) []int {
		quotas := make([]world.Quota, routers)
		due, sent := make([]float64, routers), 0
		var counts []int
		for i := range requests {
			n := i % routers
			due[n] += float64(quotas[n].Share(exposure, slack, routers))
			toTarget := due[n] >= 1
			if toTarget {
				due[n]--
				sent++
			}
			quotas[n].Record(toTarget)
			counts = append(counts, sent)
		}
		return counts
	}

	// Scenario: a service with few requests, on few and on many routers.
	It("gives a trial more at the start, and never more than is allowed", func() {
		for _, routers := range []int{1, 8, 80} {
			counts := simulate(routers, 400)
			for i, n := range counts {
				Expect(float64(n)).To(BeNumerically("<=", float64(exposure)*float64(i+1)+slack))
			}
		}
		Expect(simulate(8, 400)[79]).To(BeNumerically(">=", 16)) // 10 by the share alone
	})
})
