// Gen generates docs/FAULTS.md from the JSON reports of the test suites, or checks
// that the page is up to date. scripts/faults creates the reports and runs it.
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
	reports := flag.String("reports", "", "directory of the reports, one `DIR`/*.json per suite")
	page := flag.String("page", "docs/FAULTS.md", "page to write")
	check := flag.Bool("check", false, "only check that the page is up to date")
	flag.Parse()
	if err := run(*reports, *page, *check); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(reports, page string, check bool) error {
	proofs, err := readReports(reports)
	if err != nil {
		return err
	}
	proofs, err = faults.Merge(proofs, declaresTest)
	if err != nil {
		return fmt.Errorf("merging proofs: %w", err)
	}
	text := faults.RenderPage(proofs)
	if !check {
		if err := os.WriteFile(page, []byte(text), 0o644); err != nil {
			return fmt.Errorf("writing fault matrix: %w", err)
		}
		return nil
	}
	current, err := os.ReadFile(page)
	if err != nil {
		return fmt.Errorf("reading fault matrix: %w", err)
	}
	if string(current) != text {
		return fmt.Errorf("%s is out of date: run scripts/faults", page)
	}
	return nil
}

func readReports(reports string) ([]faults.Proof, error) {
	paths, err := filepath.Glob(filepath.Join(reports, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("listing reports: %w", err)
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("directory %q has no reports: run scripts/faults", reports)
	}
	var proofs []faults.Proof
	for _, path := range paths {
		suite, err := readReport(path)
		if err != nil {
			return nil, fmt.Errorf("report %q: %w", path, err)
		}
		proofs = append(proofs, suite...)
	}
	return proofs, nil
}

func readReport(path string) ([]faults.Proof, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("opening: %w", err)
	}
	defer file.Close()
	return faults.ReadReport(file)
}

// declaresTest reports whether a package declares a plain Go test.
func declaresTest(pkg, test string) bool {
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
