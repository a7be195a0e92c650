package model_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/model"
)

// maxStates limits the states of a search.
const maxStates = 20_000

var duplicateRequests = []model.Request{{Key: 1}, {Key: 1}}

var scenarios = []model.Scenario{
	{Name: "repeat, responses lost", Requests: duplicateRequests, Ring: 64, Faults: model.Faults{Losses: 2}},
	{Name: "repeat, platform unavailable", Requests: duplicateRequests, Ring: 64, Faults: model.Faults{Refusals: 2, Losses: 1}},
	{Name: "repeat, caller cancelled", Requests: duplicateRequests, Ring: 64, Faults: model.Faults{Losses: 1, Abandons: 1}},
	{Name: "repeat, router killed", Requests: duplicateRequests, Ring: 64, Faults: model.Faults{Losses: 1, Kills: 1}},
	{Name: "bills, router killed", Requests: []model.Request{{Key: 1, Idempotent: true}, {Key: 2, Idempotent: true}}, Ring: 64, Faults: model.Faults{Losses: 1, Refusals: 2, Kills: 1}},
	{Name: "forward, link broken", Requests: duplicateRequests, Ring: 64, Forward: true, Faults: model.Faults{Breaks: 1, Abandons: 1}},
	{Name: "forward, owner killed", Requests: duplicateRequests, Ring: 64, Forward: true, Faults: model.Faults{Kills: 1, Losses: 1}},
	{Name: "ring wraps", Requests: []model.Request{{Key: 1}, {Key: 1}, {Key: 1}}, Ring: 2, Faults: model.Faults{}},
	{Name: "ring wraps, responses lost", Requests: duplicateRequests, Ring: 2, Faults: model.Faults{Losses: 1}},
}

var _ = Describe("Search", func() {
	for i := range scenarios {
		s := &scenarios[i]
		It("holds every invariant: "+s.Name, func() {
			summary, err := model.Search(model.NewState(s, 2), maxStates)
			fmt.Fprintf(GinkgoWriter, "%s: %+v\n", s.Name, summary)
			AddReportEntry(s.Name, fmt.Sprintf("%+v", summary))
			Expect(err).NotTo(HaveOccurred())
		})
	}
})
