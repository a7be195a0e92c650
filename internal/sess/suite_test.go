package sess_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSess(t *testing.T) {
	RegisterFailHandler(Fail)
	// A fixed seed makes the property-based tests deterministic.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		Expect(flag.Set(name, value)).To(Succeed())
	}
	RunSpecs(t, "sess, rapid seed 1")
}
