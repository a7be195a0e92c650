package copies_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	_ "pgregory.net/rapid" // its flags
)

const seed = "20261203" // of the property test

func TestCopies(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "copies, property seed "+seed)
}
