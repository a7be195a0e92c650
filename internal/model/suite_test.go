package model_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// walkSeed and walks fix the random histories.
const (
	walkSeed = "20261203"
	walks    = "3000"
)

func TestModel(t *testing.T) {
	RegisterFailHandler(Fail)
	for name, value := range map[string]string{"rapid.seed": walkSeed, "rapid.checks": walks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RunSpecs(t, "model")
}
