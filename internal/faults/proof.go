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

// Proof is a test with what it proves: each of its faults at each of its
// steps, and promises.
type Proof struct {
	Package string
	Name    string
	Faults  []Fault
	Steps   []Step
	Holds   []Promise

	table  string // the name without its last part, for specs of a table
	number int    // on the page
}

// The labels of tests, as in "fault=poison", "step=choose" and "holds=once".
const (
	labelFault = "fault="
	labelStep  = "step="
	labelHolds = "holds="
)

// Read collects the specs of one suite's JSON report. Specs that would not run
// are left out.
func Read(report io.Reader) ([]Proof, error) {
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
		if err := p.add(label); err != nil {
			return Proof{}, fmt.Errorf("test %q of package %q: %w", p.Name, suite, err)
		}
	}
	return p, nil
}

// add takes in one label; labels of other kinds are passed over.
func (p *Proof) add(label string) error {
	switch {
	case strings.HasPrefix(label, labelFault):
		p.Faults = append(p.Faults, Fault(label[len(labelFault):]))
	case strings.HasPrefix(label, labelStep):
		p.Steps = append(p.Steps, Step(label[len(labelStep):]))
	case strings.HasPrefix(label, labelHolds):
		p.Holds = append(p.Holds, Promise(label[len(labelHolds):]))
	}
	return p.check()
}

// check refuses words that are no row or column.
func (p *Proof) check() error {
	for _, f := range p.Faults {
		if !known(faultRows, func(r faultRow) bool { return r.id == f }) {
			return fmt.Errorf("label fault=%s names no row of the matrix; see faultRows", f)
		}
	}
	for _, s := range p.Steps {
		if !known(stepColumns, func(c stepColumn) bool { return c.id == s }) {
			return fmt.Errorf("label step=%s names no column of the matrix; see stepColumns", s)
		}
	}
	for _, h := range p.Holds {
		if !known(promiseRows, func(r promiseRow) bool { return r.id == h }) {
			return fmt.Errorf("label holds=%s names no promise; see promiseRows", h)
		}
	}
	return nil
}

// Join adds what the table of named tests says to the proofs, and leaves out
// tests that prove nothing. found tells whether a package has a plain Go test.
func Join(proofs []Proof, found func(pkg, test string) bool) ([]Proof, error) {
	var kept []Proof
	for _, p := range proofs {
		if len(p.Faults)+len(p.Holds) > 0 {
			kept = append(kept, p)
		}
	}
	for _, n := range named {
		if err := n.check(); err != nil {
			return nil, fmt.Errorf("named test %q of package %q: %w", n.Name, n.Package, err)
		}
		spec := known(proofs, func(p Proof) bool { return p.Package == n.Package && strings.HasPrefix(p.Name, n.Name) })
		if !spec && !found(n.Package, n.Name) {
			return nil, fmt.Errorf("package %q has no test %q: mend the table in named.go", n.Package, n.Name)
		}
		kept = append(kept, n)
	}
	slices.SortStableFunc(kept, func(p, q Proof) int {
		return slices.Compare(p.order(), q.order())
	})
	return fold(kept), nil
}

// fold makes one proof of those entries of a table that prove the same.
func fold(proofs []Proof) []Proof {
	var folded []Proof
	for _, p := range proofs {
		if n := len(folded) - 1; n >= 0 && p.table != "" && folded[n].same(p) {
			folded[n].Name += ";" + strings.TrimPrefix(p.Name, p.table)
			continue
		}
		folded = append(folded, p)
	}
	return folded
}

// same tells whether two specs of one table prove the same.
func (p Proof) same(q Proof) bool {
	return p.Package == q.Package && p.table == q.table &&
		slices.Equal(p.Faults, q.Faults) && slices.Equal(p.Steps, q.Steps) && slices.Equal(p.Holds, q.Holds)
}

// order sorts proofs by package and name, and puts those entries of a table
// together that prove the same.
func (p Proof) order() []string {
	if p.table == "" {
		return []string{p.Package, "", p.Name}
	}
	return []string{p.Package, p.table, fmt.Sprint(p.Faults, p.Steps, p.Holds), p.Name}
}

func known[T any](list []T, is func(T) bool) bool {
	for _, v := range list {
		if is(v) {
			return true
		}
	}
	return false
}
