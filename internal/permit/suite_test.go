package permit_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	_ "pgregory.net/rapid" // its flags
)

const seed = "20261203" // of the property tests

func TestPermit(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true", "rapid.checks": "8000"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "permit, property seed "+seed)
}
