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
	// patience bounds each wait for something that should come soon.
	patience = 10 * time.Second
	// zoneLimit is the time after which a zone that is out gets nothing new.
	zoneLimit = 5 * time.Second
)

// binaries are the programs under test, built once.
var binaries struct {
	router   string
	operator string
}

func TestScene(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(patience)
	RunSpecs(t, "scene")
}

var _ = BeforeSuite(func() {
	var err error
	binaries.router, err = gexec.Build("github.com/marigoldscale/marigoldscale/cmd/marigoldscaled")
	Expect(err).NotTo(HaveOccurred())
	binaries.operator, err = gexec.Build("github.com/marigoldscale/marigoldscale/cmd/marigoldscale")
	Expect(err).NotTo(HaveOccurred())
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

// Scenes listed in KNOWN-RED.txt are passed over when CI names them.
var _ = BeforeEach(func() {
	known := os.Getenv("MARIGOLD_SKIP")
	if known != "" && regexp.MustCompile(known).MatchString(CurrentSpecReport().FullText()) {
		Skip("known red")
	}
})
