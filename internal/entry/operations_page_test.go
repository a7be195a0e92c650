package entry_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestOperationsPage guards against log events and metrics of pass-through
// routes that docs/OPERATIONS.md does not describe.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	event := regexp.MustCompile(`(?:log|c|s)\.(?:log|warn|Info|Warn)\("([a-z ,]+)"`)
	metric := regexp.MustCompile(`metrics\.(?:Count|Gauge|Observe)\("([a-z_]+)"`)
	for _, dir := range []string{".", "../relay", "../syncer", "../daemon"} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, found := range append(event.FindAllStringSubmatch(string(text), -1), metric.FindAllStringSubmatch(string(text), -1)...) {
				if !strings.Contains(string(page), "`"+found[1]+"`") {
					t.Errorf("%s: %q is not in docs/OPERATIONS.md", file, found[1])
				}
			}
		}
	}
}
