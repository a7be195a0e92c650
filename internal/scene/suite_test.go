package scene_test

import (
	"os"
	"regexp"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

const (
	// waitTimeout limits each wait for an expected event.
	waitTimeout = 10 * time.Second
	// zoneOutLimit is the time after which a zone that was taken out receives no
	// new work.
	zoneOutLimit = 5 * time.Second
)

// testBinaries are the paths of the programs under test, built once per run.
var testBinaries struct {
	router   string
	operator string
}

func TestScene(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(waitTimeout)
	RunSpecs(t, "scene")
}

var _ = BeforeSuite(func() {
	var err error
	testBinaries.router, err = gexec.Build("github.com/marigoldscale/marigoldscale/cmd/marigoldscaled")
	Expect(err).NotTo(HaveOccurred())
	testBinaries.operator, err = gexec.Build("github.com/marigoldscale/marigoldscale/cmd/marigoldscale")
	Expect(err).NotTo(HaveOccurred())
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

// Specs whose text matches the regular expression in MARIGOLD_SKIP are skipped; CI
// sets it to those listed in KNOWN-RED.txt.
var _ = BeforeEach(func() {
	skipped := os.Getenv("MARIGOLD_SKIP")
	if skipped != "" && regexp.MustCompile(skipped).MatchString(CurrentSpecReport().FullText()) {
		Skip("listed in KNOWN-RED.txt")
	}
})
