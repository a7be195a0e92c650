package gossip_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var start = time.Unix(1000, 0).UTC()

func TestGossip(t *testing.T) {
	RegisterFailHandler(Fail)
	// A fixed seed makes the property tests reproducible.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		Expect(flag.Set(name, value)).To(Succeed())
	}
	RunSpecs(t, "gossip, rapid seed 1")
}
