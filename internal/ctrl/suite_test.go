package ctrl_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	_ "pgregory.net/rapid" // its flags
)

func TestCtrl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ctrl")
}

// TestMain fixes the seed and the length of the random tests unless given.
func TestMain(m *testing.M) {
	flag.Parse()
	setDefaultFlag("rapid.seed", "20261203")
	setDefaultFlag("rapid.checks", "60")
	os.Exit(m.Run())
}

func setDefaultFlag(name, value string) {
	if f := flag.Lookup(name); f.Value.String() == f.DefValue {
		_ = flag.Set(name, value)
	}
}
