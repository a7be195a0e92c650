package model_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Seed and number of the random histories.
const (
	walkSeed  = "20261203"
	walkCount = "3000"
)

func TestModel(t *testing.T) {
	RegisterFailHandler(Fail)
	for name, value := range map[string]string{"rapid.seed": walkSeed, "rapid.checks": walkCount, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RunSpecs(t, "model")
}
