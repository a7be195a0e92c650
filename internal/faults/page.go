package faults

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	unproved     = "unproved"
	introduction = `# The fault matrix

Written by ` + "`scripts/faults`" + ` from the labels of the tests; CI fails if it is not
current. A number names a test of the list below that causes the fault at the
step and checks what must hold; a letter says why the fault cannot occur there;
` + "`unproved`" + ` says that no test does so yet.
`
)

// RenderPage returns the matrix as Markdown. The output is deterministic.
func RenderPage(proofs []Proof) string {
	proofs = numberProofs(proofs)
	var b strings.Builder
	b.WriteString(introduction)
	fmt.Fprintf(&b, "\n%s\n", summary(proofs))
	writeMatrix(&b, "A request", proofs, false)
	writeMatrix(&b, "A change", proofs, true)
	writePromises(&b, proofs)
	writeReasons(&b)
	writeTests(&b, proofs)
	return b.String()
}

func summary(proofs []Proof) string {
	var proved, impossible, unprovedCells int
	for _, f := range faultRows {
		for _, s := range stepColumns {
			switch {
			case len(provingTests(proofs, f.id, s.id)) > 0:
				proved++
			case findReason(f.id, s.id) > 0:
				impossible++
			default:
				unprovedCells++
			}
		}
	}
	return fmt.Sprintf("Of %d cells, %d are proved, %d cannot occur and %d are unproved.",
		proved+impossible+unprovedCells, proved, impossible, unprovedCells)
}

func writeMatrix(b *strings.Builder, title string, proofs []Proof, change bool) {
	fmt.Fprintf(b, "\n## %s\n\n| fault |", title)
	rule := "|---|"
	for _, s := range stepColumns {
		if s.isChange == change {
			fmt.Fprintf(b, " %s |", s.title)
			rule += "---|"
		}
	}
	fmt.Fprintf(b, "\n%s\n", rule)
	for _, f := range faultRows {
		fmt.Fprintf(b, "| %s |", f.title)
		for _, s := range stepColumns {
			if s.isChange == change {
				fmt.Fprintf(b, " %s |", cell(proofs, f.id, s.id))
			}
		}
		b.WriteString("\n")
	}
}

func cell(proofs []Proof, f Fault, s Step) string {
	if tests := provingTests(proofs, f, s); len(tests) > 0 {
		return strings.Join(tests, ", ")
	}
	if n := findReason(f, s); n > 0 {
		return reasonLabel(n)
	}
	return unproved
}

// provingTests returns the numbers of the tests that prove a cell.
func provingTests(proofs []Proof, f Fault, s Step) []string {
	var numbers []string
	for _, p := range proofs {
		if contains(p.Faults, f) && contains(p.Steps, s) {
			numbers = appendUnique(numbers, strconv.Itoa(p.number))
		}
	}
	return numbers
}

// reasonLabel returns the label of the n-th reason, from 1: a to z, then aa, ab
// and so on.
func reasonLabel(n int) string {
	const letters = 26
	if n <= letters {
		return string(rune('a' + n - 1))
	}
	return reasonLabel((n-1)/letters) + reasonLabel((n-1)%letters+1)
}

func writePromises(b *strings.Builder, proofs []Proof) {
	b.WriteString("\n## What must always hold\n\n| promise | tests |\n|---|---|\n")
	for _, p := range promiseRows {
		tests := unproved
		var numbers []string
		for _, proof := range proofs {
			if contains(proof.Holds, p.id) {
				numbers = appendUnique(numbers, strconv.Itoa(proof.number))
			}
		}
		if len(numbers) > 0 {
			tests = strings.Join(numbers, ", ")
		}
		fmt.Fprintf(b, "| %s | %s |\n", p.title, tests)
	}
}

func writeReasons(b *strings.Builder) {
	b.WriteString("\n## Why a fault cannot occur\n\n")
	for i, r := range impossibilities {
		fmt.Fprintf(b, "- %s: %s\n", reasonLabel(i+1), r.text)
	}
}

// writeTests lists the tests, one line per package.
func writeTests(b *strings.Builder, proofs []Proof) {
	b.WriteString("\n## The tests\n")
	last, pkg := 0, ""
	for _, p := range proofs {
		if p.Package != pkg {
			pkg = p.Package
			fmt.Fprintf(b, "\n- `internal/%s`:", pkg)
		}
		if p.number > last {
			fmt.Fprintf(b, " **%d** %s.", p.number, strings.TrimRight(p.Name, "."))
		}
		last = p.number
	}
	b.WriteString("\n")
}

// numberProofs returns the proofs with the numbers of their tests. Proofs by the
// same test must be adjacent.
func numberProofs(proofs []Proof) []Proof {
	list := append([]Proof(nil), proofs...)
	for i := range list {
		list[i].number = 1
		if i == 0 {
			continue
		}
		previous := list[i-1]
		list[i].number = previous.number
		if previous.Package != list[i].Package || previous.Name != list[i].Name {
			list[i].number++
		}
	}
	return list
}

func appendUnique(list []string, s string) []string {
	if contains(list, s) {
		return list
	}
	return append(list, s)
}
