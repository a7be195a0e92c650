package load_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// defaultSeed makes the property tests deterministic; -rapid.seed overrides it.
const defaultSeed = "20261203"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", defaultSeed); err != nil {
		panic(err)
	}
	flag.Parse()
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}
