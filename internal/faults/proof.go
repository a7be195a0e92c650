package faults

import (
	"encoding/json"
	"fmt"
	"io"
	"path"
	"slices"
	"strings"

	"github.com/onsi/ginkgo/v2/types"
)

// Proof records what a test proves: each of its faults at each of its steps, and
// promises.
type Proof struct {
	Package string
	Name    string
	Faults  []Fault
	Steps   []Step
	Holds   []Promise

	table  string // the names of the spec's containers, shared by the entries of a table
	number int    // of the test on the page
}

// Prefixes of labels, as in "fault=poison", "step=choose" and "holds=once".
const (
	labelFault = "fault="
	labelStep  = "step="
	labelHolds = "holds="
)

// ReadReport returns the proofs of a JSON report of ginkgo. Specs that would not
// run are omitted.
func ReadReport(report io.Reader) ([]Proof, error) {
	var suites []types.Report
	if err := json.NewDecoder(report).Decode(&suites); err != nil {
		return nil, fmt.Errorf("decoding test report: %w", err)
	}
	var proofs []Proof
	for _, suite := range suites {
		for _, spec := range suite.SpecReports {
			if spec.LeafNodeType != types.NodeTypeIt || spec.State.Is(types.SpecStatePending|types.SpecStateSkipped) {
				continue
			}
			p, err := newProof(path.Base(suite.SuitePath), spec)
			if err != nil {
				return nil, err
			}
			proofs = append(proofs, p)
		}
	}
	return proofs, nil
}

func newProof(suite string, spec types.SpecReport) (Proof, error) {
	p := Proof{Package: suite, Name: spec.FullText(), table: strings.Join(spec.ContainerHierarchyTexts, " ")}
	for _, label := range spec.Labels() {
		if err := p.addLabel(label); err != nil {
			return Proof{}, fmt.Errorf("test %q of package %q: %w", p.Name, suite, err)
		}
	}
	return p, nil
}

// addLabel adds what a label says; labels with other prefixes are ignored.
func (p *Proof) addLabel(label string) error {
	switch {
	case strings.HasPrefix(label, labelFault):
		p.Faults = append(p.Faults, Fault(label[len(labelFault):]))
	case strings.HasPrefix(label, labelStep):
		p.Steps = append(p.Steps, Step(label[len(labelStep):]))
	case strings.HasPrefix(label, labelHolds):
		p.Holds = append(p.Holds, Promise(label[len(labelHolds):]))
	}
	return p.validate()
}

// validate returns an error if a fault, step or promise does not exist.
func (p *Proof) validate() error {
	for _, f := range p.Faults {
		if !anyMatch(faultRows, func(r faultRow) bool { return r.id == f }) {
			return fmt.Errorf("label fault=%s names no row of the matrix: use one of faultRows", f)
		}
	}
	for _, s := range p.Steps {
		if !anyMatch(stepColumns, func(c stepColumn) bool { return c.id == s }) {
			return fmt.Errorf("label step=%s names no column of the matrix: use one of stepColumns", s)
		}
	}
	for _, h := range p.Holds {
		if !anyMatch(promiseRows, func(r promiseRow) bool { return r.id == h }) {
			return fmt.Errorf("label holds=%s names no promise: use one of promiseRows", h)
		}
	}
	return nil
}

// Merge returns the proofs that have a fault or promise together with
// unlabelledProofs, sorted. testExists reports whether a package has a plain Go
// test. Merge returns an error if the test of an unlabelled proof does not exist.
func Merge(proofs []Proof, testExists func(pkg, test string) bool) ([]Proof, error) {
	var kept []Proof
	for _, p := range proofs {
		if len(p.Faults)+len(p.Holds) > 0 {
			kept = append(kept, p)
		}
	}
	for _, n := range unlabelledProofs {
		if err := n.validate(); err != nil {
			return nil, fmt.Errorf("unlabelled test %q of package %q: %w", n.Name, n.Package, err)
		}
		spec := anyMatch(proofs, func(p Proof) bool { return p.Package == n.Package && strings.HasPrefix(p.Name, n.Name) })
		if !spec && !testExists(n.Package, n.Name) {
			return nil, fmt.Errorf("package %q has no test %q: correct unlabelledProofs in named.go", n.Package, n.Name)
		}
		kept = append(kept, n)
	}
	slices.SortStableFunc(kept, func(p, q Proof) int {
		return slices.Compare(p.sortKey(), q.sortKey())
	})
	return mergeTableEntries(kept), nil
}

// mergeTableEntries merges adjacent entries of a table that prove the same.
func mergeTableEntries(proofs []Proof) []Proof {
	var merged []Proof
	for _, p := range proofs {
		if n := len(merged) - 1; n >= 0 && p.table != "" && merged[n].provesSame(p) {
			merged[n].Name += ";" + strings.TrimPrefix(p.Name, p.table)
			continue
		}
		merged = append(merged, p)
	}
	return merged
}

// provesSame reports whether both are specs of one table and prove the same.
func (p Proof) provesSame(q Proof) bool {
	return p.Package == q.Package && p.table == q.table &&
		slices.Equal(p.Faults, q.Faults) && slices.Equal(p.Steps, q.Steps) && slices.Equal(p.Holds, q.Holds)
}

// sortKey sorts proofs by package and name; the entries of a table that prove the
// same are adjacent.
func (p Proof) sortKey() []string {
	if p.table == "" {
		return []string{p.Package, "", p.Name}
	}
	return []string{p.Package, p.table, fmt.Sprint(p.Faults, p.Steps, p.Holds), p.Name}
}

func anyMatch[T any](list []T, matches func(T) bool) bool {
	for _, v := range list {
		if matches(v) {
			return true
		}
	}
	return false
}
