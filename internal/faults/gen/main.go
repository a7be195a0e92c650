// Gen writes docs/FAULTS.md from the JSON reports of the test suites, or checks
// that it is current; scripts/faults makes the reports and runs it.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"

	"github.com/marigoldscale/marigoldscale/internal/faults"
)

func main() {
	reports := flag.String("reports", "", "directory of the reports, one `DIR`/*.json a suite")
	page := flag.String("page", "docs/FAULTS.md", "the page to write")
	check := flag.Bool("check", false, "only check that the page is current")
	flag.Parse()
	if err := run(*reports, *page, *check); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(reports, page string, check bool) error {
	proofs, err := read(reports)
	if err != nil {
		return err
	}
	proofs, err = faults.Join(proofs, hasTest)
	if err != nil {
		return fmt.Errorf("joining tests: %w", err)
	}
	text := faults.Page(proofs)
	if !check {
		if err := os.WriteFile(page, []byte(text), 0o644); err != nil {
			return fmt.Errorf("writing the matrix: %w", err)
		}
		return nil
	}
	current, err := os.ReadFile(page)
	if err != nil {
		return fmt.Errorf("reading the matrix: %w", err)
	}
	if string(current) != text {
		return fmt.Errorf("%s is not current: run scripts/faults", page)
	}
	return nil
}

func read(reports string) ([]faults.Proof, error) {
	paths, err := filepath.Glob(filepath.Join(reports, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("listing reports: %w", err)
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("directory %q holds no report: run scripts/faults", reports)
	}
	var proofs []faults.Proof
	for _, path := range paths {
		some, err := readOne(path)
		if err != nil {
			return nil, fmt.Errorf("report %s: %w", path, err)
		}
		proofs = append(proofs, some...)
	}
	return proofs, nil
}

func readOne(path string) ([]faults.Proof, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("opening: %w", err)
	}
	defer file.Close()
	return faults.Read(file)
}

// hasTest tells whether a package declares a plain Go test.
func hasTest(pkg, test string) bool {
	paths, _ := filepath.Glob(filepath.Join("internal", pkg, "*_test.go"))
	declared := regexp.MustCompile(`(?m)^func ` + regexp.QuoteMeta(test) + `\(`)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err == nil && declared.Match(text) {
			return true
		}
	}
	return false
}
