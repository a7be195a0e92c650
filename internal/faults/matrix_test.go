package faults_test

import (
	"encoding/json"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/ginkgo/v2/types"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/faults"
)

func newReport(state types.SpecState, labels ...string) *strings.Reader {
	text, err := json.Marshal([]types.Report{{
		SuitePath: "/x/internal/permit",
		SpecReports: types.SpecReports{{
			LeafNodeType: types.NodeTypeIt, LeafNodeText: "grants one slot", LeafNodeLabels: labels, State: state,
		}},
	}})
	Expect(err).NotTo(HaveOccurred())
	return strings.NewReader(string(text))
}

var _ = Describe("The fault matrix", func() {
	allTests := func(string, string) bool { return true }

	It("lists a test in each cell that its labels name, and in no other", func() {
		proofs, err := faults.ReadReport(newReport(types.SpecStatePassed, "fault=lease-lapsed", "step=choose", "holds=cold"))
		Expect(err).NotTo(HaveOccurred())
		empty := faults.RenderPage(nil)
		page := faults.RenderPage(proofs)
		Expect(page).To(ContainSubstring("- `internal/permit`: **1** grants one slot."))
		Expect(strings.Count(page, "unproved |")).To(Equal(strings.Count(empty, "unproved |") - 2))
	})

	It("omits tests that would not run", func() {
		proofs, err := faults.ReadReport(newReport(types.SpecStatePending, "fault=poison", "step=choose"))
		Expect(err).NotTo(HaveOccurred())
		Expect(proofs).To(BeEmpty())
	})

	DescribeTable("rejects a label with an unknown word", func(label string) {
		_, err := faults.ReadReport(newReport(types.SpecStatePassed, label))
		Expect(err).To(MatchError(ContainSubstring(label)))
	},
		Entry("fault", "fault=posion"),
		Entry("step", "step=chose"),
		Entry("promise", "holds=colder"),
	)

	It("rejects an unlabelled proof whose test does not exist", func() {
		_, err := faults.Merge(nil, func(string, string) bool { return false })
		Expect(err).To(MatchError(ContainSubstring("has no test")))
		_, err = faults.Merge(nil, allTests)
		Expect(err).NotTo(HaveOccurred())
	})
})
