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
	zones   = []string{"lima-norte", "lima-centro", "lima-sur"}
	stable  = ident.Release{Model: "condor", Version: "v3"}
	quality = ident.Quality(0.93)
)

// engine is an engine stand-in in a zone.
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
	name   string
	caller string // base URL for callers
	admin  string // base URL for operators
}

// world is a fleet of three routers in three zones, each zone with an engine,
// around stand-ins that run within the test.
type world struct {
	store    *stand.Store
	platform string
	engines  []*engine
	booking  *stand.Plain
	plain    string // address of booking
	rater    string
	routers  []*router
	tree     string
}

// newWorld starts the stand-ins, an engine of the release in each zone. The
// change, if any, is applied to the spec of each.
func newWorld(change func(*stand.EngineSpec)) *world {
	w := &world{store: stand.NewStore(time.Now), booking: stand.NewPlain("booking-1", "booking")}
	w.store.SetLimits(stand.PlatformLimits)
	w.platform = "http://" + serve(stand.NewPlatform(w.store))
	w.plain = serve(w.booking)
	w.rater = "http://" + serve(stand.NewRater())
	for i, zone := range zones {
		w.addEngine(fmt.Sprintf("condor-%d", i+1), zone, stable, change)
	}
	w.tree = GinkgoT().TempDir()
	w.write("zones.marigold.toml", w.zoneText())
	w.write("models/marigoldscale.toml", "[model.condor]\nprice = 900\nquality = 0.93\ndefault = \"v3\"\nversions = [\"v3\", \"v4\"]\n")
	w.write("booking/marigoldscale.toml", w.bookingText())
	w.write("teams/marigoldscale.toml", teamText(30*time.Second))
	return w
}

// start runs the routers and publishes the tree.
func (w *world) start() *world {
	w.writeEngines()
	for i, zone := range zones {
		w.addRouter(fmt.Sprintf("router-%d", i+1), zone)
	}
	w.operate("publish", w.tree)
	for _, r := range w.routers {
		r.awaitReady()
	}
	w.awaitWarm()
	return w
}

func (w *world) addEngine(name, zone string, release ident.Release, change func(*stand.EngineSpec)) *engine {
	spec := stand.DefaultEngine(name, release)
	spec.Quality[release] = quality
	spec.Pace.Base = 5 * time.Millisecond
	spec.Outage = time.Second
	if change != nil {
		change(&spec)
	}
	e := &engine{Engine: stand.NewEngine(spec), name: name, zone: zone, release: release, spec: spec}
	DeferCleanup(e.Close)
	e.address = serve(e.Engine)
	w.engines = append(w.engines, e)
	return e
}

// addRouter runs one more router process.
func (w *world) addRouter(name, zone string) *router {
	ports := freePorts(3)
	settings := fmt.Sprintf("router = %q\nzone = %q\nlisten = %q\nadmin = %q\npeer = %q\nplatform = %q\nrater = %q\n[token]\nkey = %q\n",
		name, zone, ports[0], ports[1], ports[2], w.platform, w.rater, tokenKey)
	path := filepath.Join(GinkgoT().TempDir(), name+".toml")
	Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
	session, err := gexec.Start(exec.Command(binaries.router, "--config", path), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	r := &router{Session: session, name: name, caller: "http://" + ports[0], admin: "http://" + ports[1]}
	DeferCleanup(func() {
		session.Signal(syscall.SIGCONT)
		session.Kill().Wait(patience)
	})
	w.routers = append(w.routers, r)
	Eventually(func() error { return get(r.admin + "/healthz") }).Should(Succeed())
	return r
}

func (r *router) awaitReady() {
	GinkgoHelper()
	Eventually(func() error { return get(r.admin + "/readyz") }).Should(Succeed(), r.name)
}

// awaitWarm waits until every router has heard from every endpoint that
// answers.
func (w *world) awaitWarm() {
	GinkgoHelper()
	for _, r := range w.routers {
		Eventually(func() (string, error) { return read(r.admin + "/v1/status") }).ShouldNot(ContainSubstring(`"phase":"down"`), r.name)
	}
}

// operate runs the operators' command line, which must succeed.
func (w *world) operate(args ...string) string {
	GinkgoHelper()
	session := w.operator(args...)
	Eventually(session, 2*patience).Should(gexec.Exit(0), strings.Join(args, " "))
	return string(session.Out.Contents())
}

// operator starts the operators' command line.
func (w *world) operator(args ...string) *gexec.Session {
	GinkgoHelper()
	args = append(args, "--platform", w.platform)
	for _, r := range w.routers {
		args = append(args, "--admin", r.admin)
	}
	session, err := gexec.Start(exec.Command(binaries.operator, args...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	return session
}

// generation gives the generation in force on the first router.
func (w *world) generation() string {
	GinkgoHelper()
	text, err := read(w.routers[0].admin + "/v1/status")
	Expect(err).NotTo(HaveOccurred())
	var s status.Status
	Expect(json.Unmarshal([]byte(text), &s)).To(Succeed())
	for _, r := range s.Routers {
		if r.ID == s.Self {
			return fmt.Sprint(r.Generation)
		}
	}
	Fail("router is not in its own status")
	return ""
}

func (w *world) write(name, text string) {
	path := filepath.Join(w.tree, name)
	Expect(os.MkdirAll(filepath.Dir(path), 0o700)).To(Succeed())
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
}

// writeEngines declares the engines that there are.
func (w *world) writeEngines() {
	var b strings.Builder
	for _, e := range w.engines {
		fmt.Fprintf(&b, "[endpoint.%s]\nzone = %q\naddress = %q\nrelease = %q\nslots = %d\ncold = %d\n\n",
			e.name, e.zone, e.address, e.release, e.spec.Slots, e.spec.Cold)
	}
	w.write("engines.marigold.toml", b.String())
}

func (w *world) zoneText() string {
	var b strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&b, "[zone.%s]\nregion = \"lima\"\n\n", z)
	}
	return b.String()
}

func (w *world) bookingText() string {
	return fmt.Sprintf("[service.booking]\nidempotent = false\nprice = 40\ndeadline = \"5s\"\n\n"+
		"[endpoint.booking-1]\nzone = %q\naddress = %q\nservice = \"booking\"\nslots = 64\ncold = 8\n", zones[0], w.plain)
}

func teamText(deadline time.Duration) string {
	return fmt.Sprintf("[team.roster]\nkeys = [%q]\nmodels = [\"condor\"]\nservices = [\"booking\"]\ntarget = 0.8\ndeadline = %q\n",
		config.HashKey(teamKey), deadline)
}

// serve gives a handler an address on loopback.
func serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// freePorts gives loopback addresses that were free a moment ago. They lie
// below the ports that the kernel gives out by itself.
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

func get(url string) error {
	_, err := read(url)
	return err
}

func read(url string) (string, error) {
	response, err := http.Get(url)
	if err != nil {
		return "", fmt.Errorf("reading %s: %w", url, err)
	}
	defer response.Body.Close()
	var body json.RawMessage
	_ = json.NewDecoder(response.Body).Decode(&body)
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("reading %s: status %d: %s", url, response.StatusCode, body)
	}
	return string(body), nil
}
