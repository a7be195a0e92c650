package faults_test

import (
	"encoding/json"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/ginkgo/v2/types"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/faults"
)

func report(state types.SpecState, labels ...string) *strings.Reader {
	text, err := json.Marshal([]types.Report{{
		SuitePath: "/x/internal/permit",
		SpecReports: types.SpecReports{{
			LeafNodeType: types.NodeTypeIt, LeafNodeText: "grants one slot", LeafNodeLabels: labels, State: state,
		}},
	}})
	Expect(err).NotTo(HaveOccurred())
	return strings.NewReader(string(text))
}

var _ = Describe("the fault matrix", func() {
	all := func(string, string) bool { return true }

	It("names a test in each cell of its labels, and nowhere else", func() {
		proofs, err := faults.Read(report(types.SpecStatePassed, "fault=lease-lapsed", "step=choose", "holds=cold"))
		Expect(err).NotTo(HaveOccurred())
		bare := faults.Page(nil)
		page := faults.Page(proofs)
		Expect(page).To(ContainSubstring("- `internal/permit`: **1** grants one slot."))
		Expect(strings.Count(page, "unproved |")).To(Equal(strings.Count(bare, "unproved |") - 2))
	})

	It("leaves out tests that would not run", func() {
		proofs, err := faults.Read(report(types.SpecStatePending, "fault=poison", "step=choose"))
		Expect(err).NotTo(HaveOccurred())
		Expect(proofs).To(BeEmpty())
	})

	DescribeTable("refuses a label that names nothing", func(label string) {
		_, err := faults.Read(report(types.SpecStatePassed, label))
		Expect(err).To(MatchError(ContainSubstring(label)))
	},
		Entry("fault", "fault=posion"),
		Entry("step", "step=chose"),
		Entry("promise", "holds=colder"),
	)

	It("refuses a named test that is gone", func() {
		_, err := faults.Join(nil, func(string, string) bool { return false })
		Expect(err).To(MatchError(ContainSubstring("has no test")))
		_, err = faults.Join(nil, all)
		Expect(err).NotTo(HaveOccurred())
	})
})
