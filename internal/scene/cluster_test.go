package scene_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/stand"
	"github.com/marigoldscale/marigoldscale/internal/status"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	teamKey  = "scene-key"
	tokenKey = "6d6172696f6c642d7363656e652d746f6b656e2d6b65792d6f662d33322d6279"
)

var (
	zones         = []string{"lima-norte", "lima-centro", "lima-sur"}
	stableRelease = ident.Release{Model: "condor", Version: "v3"}
	stableQuality = ident.Quality(0.93)
)

// engine is a simulated engine in a zone.
type engine struct {
	*stand.Engine
	name    string
	zone    string
	release ident.Release
	address string
	spec    stand.EngineSpec
}

// router is a router process.
type router struct {
	*gexec.Session
	name      string
	callerURL string // base URL for callers
	adminURL  string // base URL for operators
}

// cluster is a set of three routers, one per zone, with one simulated engine per
// zone. The platform, the engines and the other services are simulated in the
// test process.
type cluster struct {
	store          *stand.Store
	platformURL    string
	engines        []*engine
	booking        *stand.PlainService
	bookingAddress string // address of booking
	raterURL       string
	routers        []*router
	configDir      string
}

// newCluster starts the simulated services, with one engine of the stable release
// per zone, and writes the configuration. modify may be nil; it is applied to the
// spec of each engine.
func newCluster(modify func(*stand.EngineSpec)) *cluster {
	c := &cluster{store: stand.NewStore(time.Now), booking: stand.NewPlainService("booking-1", "booking")}
	c.store.SetLimits(stand.PlatformLimits)
	c.platformURL = "http://" + serve(stand.NewPlatform(c.store))
	c.bookingAddress = serve(c.booking)
	c.raterURL = "http://" + serve(stand.NewRater())
	for i, zone := range zones {
		c.addEngine(fmt.Sprintf("condor-%d", i+1), zone, stableRelease, modify)
	}
	c.configDir = GinkgoT().TempDir()
	c.writeConfig("zones.marigold.toml", c.zoneConfig())
	c.writeConfig("models/marigoldscale.toml", "[model.condor]\nprice = 900\nquality = 0.93\ndefault = \"v3\"\nversions = [\"v3\", \"v4\"]\n")
	c.writeConfig("booking/marigoldscale.toml", c.bookingConfig())
	c.writeConfig("teams/marigoldscale.toml", teamConfig(30*time.Second))
	return c
}

// start starts the routers, publishes the configuration and waits until all
// routers are ready.
func (c *cluster) start() *cluster {
	c.writeEngineConfig()
	for i, zone := range zones {
		c.addRouter(fmt.Sprintf("router-%d", i+1), zone)
	}
	c.runOperator("publish", c.configDir)
	for _, r := range c.routers {
		r.awaitReady()
	}
	c.awaitEndpointsUp()
	return c
}

func (c *cluster) addEngine(name, zone string, release ident.Release, modify func(*stand.EngineSpec)) *engine {
	spec := stand.DefaultEngineSpec(name, release)
	spec.Quality[release] = stableQuality
	spec.Timing.Iteration = 5 * time.Millisecond
	spec.Outage = time.Second
	if modify != nil {
		modify(&spec)
	}
	e := &engine{Engine: stand.NewEngine(spec), name: name, zone: zone, release: release, spec: spec}
	DeferCleanup(e.Close)
	e.address = serve(e.Engine)
	c.engines = append(c.engines, e)
	return e
}

// addRouter starts a router process.
func (c *cluster) addRouter(name, zone string) *router {
	ports := freePorts(3)
	settings := fmt.Sprintf("router = %q\nzone = %q\nlisten = %q\nadmin = %q\npeer = %q\nplatform = %q\nrater = %q\n[token]\nkey = %q\n",
		name, zone, ports[0], ports[1], ports[2], c.platformURL, c.raterURL, tokenKey)
	path := filepath.Join(GinkgoT().TempDir(), name+".toml")
	Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
	session, err := gexec.Start(exec.Command(testBinaries.router, "--config", path), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	r := &router{Session: session, name: name, callerURL: "http://" + ports[0], adminURL: "http://" + ports[1]}
	DeferCleanup(func() {
		session.Signal(syscall.SIGCONT)
		session.Kill().Wait(waitTimeout)
	})
	c.routers = append(c.routers, r)
	Eventually(func() error { return checkOK(r.adminURL + "/healthz") }).Should(Succeed())
	return r
}

func (r *router) awaitReady() {
	GinkgoHelper()
	Eventually(func() error { return checkOK(r.adminURL + "/readyz") }).Should(Succeed(), r.name)
}

// awaitEndpointsUp waits until no router reports an endpoint as down.
func (c *cluster) awaitEndpointsUp() {
	GinkgoHelper()
	for _, r := range c.routers {
		Eventually(func() (string, error) { return httpGet(r.adminURL + "/v1/status") }).ShouldNot(ContainSubstring(`"phase":"down"`), r.name)
	}
}

// runOperator runs the operator command, which must succeed, and returns its
// output.
func (c *cluster) runOperator(args ...string) string {
	GinkgoHelper()
	session := c.startOperator(args...)
	Eventually(session, 2*waitTimeout).Should(gexec.Exit(0), strings.Join(args, " "))
	return string(session.Out.Contents())
}

// startOperator starts the operator command.
func (c *cluster) startOperator(args ...string) *gexec.Session {
	GinkgoHelper()
	args = append(args, "--platform", c.platformURL)
	for _, r := range c.routers {
		args = append(args, "--admin", r.adminURL)
	}
	session, err := gexec.Start(exec.Command(testBinaries.operator, args...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	return session
}

// currentGeneration returns the configuration generation of the first router.
func (c *cluster) currentGeneration() string {
	GinkgoHelper()
	text, err := httpGet(c.routers[0].adminURL + "/v1/status")
	Expect(err).NotTo(HaveOccurred())
	var s status.Status
	Expect(json.Unmarshal([]byte(text), &s)).To(Succeed())
	for _, r := range s.Routers {
		if r.ID == s.Self {
			return fmt.Sprint(r.Generation)
		}
	}
	Fail("router does not list itself in its status")
	return ""
}

func (c *cluster) writeConfig(name, text string) {
	path := filepath.Join(c.configDir, name)
	Expect(os.MkdirAll(filepath.Dir(path), 0o700)).To(Succeed())
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
}

// writeEngineConfig writes the configuration of the current engines.
func (c *cluster) writeEngineConfig() {
	var b strings.Builder
	for _, e := range c.engines {
		fmt.Fprintf(&b, "[endpoint.%s]\nzone = %q\naddress = %q\nrelease = %q\nslots = %d\ncold = %d\n\n",
			e.name, e.zone, e.address, e.release, e.spec.Slots, e.spec.ColdSlots)
	}
	c.writeConfig("engines.marigold.toml", b.String())
}

func (c *cluster) zoneConfig() string {
	var b strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&b, "[zone.%s]\nregion = \"lima\"\n\n", z)
	}
	return b.String()
}

func (c *cluster) bookingConfig() string {
	return fmt.Sprintf("[service.booking]\nidempotent = false\nprice = 40\ndeadline = \"5s\"\n\n"+
		"[endpoint.booking-1]\nzone = %q\naddress = %q\nservice = \"booking\"\nslots = 64\ncold = 8\n", zones[0], c.bookingAddress)
}

func teamConfig(deadline time.Duration) string {
	return fmt.Sprintf("[team.roster]\nkeys = [%q]\nmodels = [\"condor\"]\nservices = [\"booking\"]\ntarget = 0.8\ndeadline = %q\n",
		config.HashKey(teamKey), deadline)
}

// serve serves a handler on a loopback address and returns the address.
func serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// freePorts returns loopback addresses whose ports are not in use. They are below
// the ephemeral port range, so that the kernel does not assign them to other
// sockets.
func freePorts(count int) []string {
	var found []string
	for port := 12_000 + os.Getpid()%500*40; len(found) < count; port++ {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		Expect(listener.Close()).To(Succeed())
		if !usedPorts[address] {
			usedPorts[address] = true
			found = append(found, address)
		}
	}
	return found
}

var usedPorts = map[string]bool{}

func checkOK(url string) error {
	_, err := httpGet(url)
	return err
}

func httpGet(url string) (string, error) {
	response, err := http.Get(url)
	if err != nil {
		return "", fmt.Errorf("reading %s: %c", url, err)
	}
	defer response.Body.Close()
	var body json.RawMessage
	_ = json.NewDecoder(response.Body).Decode(&body)
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("reading %s: status %d: %s", url, response.StatusCode, body)
	}
	return string(body), nil
}
