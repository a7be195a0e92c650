package casc_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/casc"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

func TestCasc(t *testing.T) {
	RegisterFailHandler(Fail)
	// A fixed seed makes the property tests deterministic.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		Expect(flag.Set(name, value)).To(Succeed())
	}
	RunSpecs(t, "casc, rapid seed 1")
}

var start = time.Unix(1000, 0).UTC()

func config() *fleet.Config {
	return &fleet.Config{Models: map[ident.ModelID]*fleet.Model{
		"small":  {ID: "small", Price: 100, Quality: 0.6},
		"medium": {ID: "medium", Price: 400, Quality: 0.75},
		"large":  {ID: "large", Price: 1000, Quality: 0.9},
		"other":  {ID: "other", Price: 1, Quality: 1},
	}}
}

func request() casc.Request {
	return casc.Request{
		Team:     &fleet.Team{ID: "t", TargetQuality: 0.85, CheaperModels: []ident.ModelID{"small", "medium"}},
		Class:    "c",
		Wanted:   "large",
		Seed:     1,
		Deadline: start.Add(time.Minute),
		Rater:    casc.Rater{Available: true, Timeout: time.Second},
		Usable:   func(ident.ModelID) bool { return true },
		Latency:  func(ident.ModelID) time.Duration { return 10 * time.Second },
	}
}
