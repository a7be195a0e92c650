package flow_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFlow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "flow")
}

// TestMain sets the seed and the number of checks of the property tests unless
// flags set them.
func TestMain(m *testing.M) {
	flag.Parse()
	setDefaultFlag("rapid.seed", "20261203")
	setDefaultFlag("rapid.checks", "5000")
	os.Exit(m.Run())
}

func setDefaultFlag(name, value string) {
	if f := flag.Lookup(name); f.Value.String() == f.DefValue {
		_ = flag.Set(name, value)
	}
}
