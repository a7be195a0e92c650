package bench_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/bench"
)

const docs = "../../docs"

var _ = Describe("The pages", func() {
	DescribeTable("equal what the generator renders from the committed figures",
		func(name, path string) {
			figures, err := bench.ReadFigures(filepath.Join(docs, "figures", "slopes.json"))
			Expect(err).NotTo(HaveOccurred())
			committed, err := os.ReadFile(filepath.Join(docs, path))
			Expect(err).NotTo(HaveOccurred())
			text, err := figures.Page(name)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(text)).To(Equal(string(committed)), "run marigoldbench capacity and commit what it writes")
		},
		Entry("capacity", bench.PageCapacity, "CAPACITY.md"),
		Entry("measures", bench.PageMeasures, "MEASURES.md"),
	)

	It("require all sections, and name a missing one in the error", func() {
		_, err := (&bench.Figures{}).Page(bench.PageCapacity)
		Expect(err).To(MatchError(ContainSubstring(`section "overhead" was not measured`)))
	})
})

var _ = Describe("Figures of several runs", func() {
	It("have the data of the newest run and the bounds of all runs", func() {
		dir := GinkgoT().TempDir()
		newer := writeReport(dir, "newer.json", time.Unix(2000, 0), 5)
		older := writeReport(dir, "older.json", time.Unix(1000, 0), 3)
		figures, err := bench.NewFigures([]string{newer, older}, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(figures.Sections).To(HaveLen(1))
		section := figures.Sections[0]
		Expect(section.StartedAt).To(BeTemporally("==", time.Unix(2000, 0)))
		Expect(section.Data).To(MatchJSON("5"))
		Expect(section.Histories).To(HaveExactElements(HaveField("Runs", HaveExactElements(
			HaveField("Value", 3.0), HaveField("Value", 5.0)))))
	})
})

// writeReport writes a report of one section whose bound and data have the value.
func writeReport(dir, name string, at time.Time, value float64) string {
	report := bench.Report{StartedAt: at, Sections: []bench.Section{{
		Name: "control", Data: value, Bounds: []bench.Bound{{Name: "figure", Value: value, Limit: 4}},
	}}}
	text, err := json.Marshal(report)
	Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(dir, name)
	Expect(os.WriteFile(path, text, 0o600)).To(Succeed())
	return path
}
