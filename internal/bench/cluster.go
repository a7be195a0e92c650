package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/load"
	"github.com/marigoldscale/marigoldscale/internal/publsh"
	"github.com/marigoldscale/marigoldscale/internal/router"
	"github.com/marigoldscale/marigoldscale/internal/setup"
	"github.com/marigoldscale/marigoldscale/internal/stand"
	"github.com/marigoldscale/marigoldscale/internal/status"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	clusterTeamKey      = "bench-key" // of the only team
	clusterTokenKey     = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
	clusterReadyTimeout = 40 * time.Second
	clusterStopTimeout  = 30 * time.Second
)

// clusterZones are the zones that routers and engines are assigned to in turn.
var clusterZones = []ident.ZoneID{"lima-norte", "lima-centro", "lima-sur"}

// ClusterSpec describes a cluster.
type ClusterSpec struct {
	Routers  int
	Engines  []stand.EngineSpec // configured with their first release, in the zones in turn
	Versions []ident.VersionID  // of the model condor
	Rollout  string             // TOML of a roll-out, empty for none
	Slots    int
	Cold     int
}

// Cluster runs a simulated platform, simulated engines and routers in this process,
// connected over loopback.
type Cluster struct {
	spec            ClusterSpec
	Store           *stand.Store
	Engines         []*stand.Engine
	Routers         []*router.Router
	Client          *http.Client
	files           []config.File
	servers         []*http.Server
	cancel          context.CancelFunc
	routersDone     []chan error
	routerStops     []context.CancelFunc
	platformURL     string
	engineAddresses []string
}

// NewCluster starts a cluster, publishes its configuration and waits until it is
// ready. The caller must close it.
func NewCluster(spec ClusterSpec) (*Cluster, error) {
	c := &Cluster{spec: spec, Store: stand.NewStore(time.Now), Client: load.NewClient(time.Minute)}
	if err := c.start(); err != nil {
		c.Close()
		return nil, fmt.Errorf("starting cluster of %d routers: %w", spec.Routers, err)
	}
	return c, nil
}

func (c *Cluster) start() error {
	address, err := c.serve(stand.NewPlatform(c.Store))
	if err != nil {
		return err
	}
	c.platformURL = "http://" + address
	for _, e := range c.spec.Engines {
		engine := stand.NewEngine(e)
		c.Engines = append(c.Engines, engine)
		address, err := c.serve(engine)
		if err != nil {
			return err
		}
		c.engineAddresses = append(c.engineAddresses, address)
	}
	c.files = []config.File{{Path: "marigoldscale.toml", Text: []byte(c.configText(c.engineAddresses))}}
	for i := range c.spec.Routers {
		if err := c.startRouter(i); err != nil {
			return err
		}
	}
	if _, err := c.Publish(context.Background()); err != nil {
		return err
	}
	return c.awaitReady()
}

// serve serves a handler on a free loopback port and returns its address.
func (c *Cluster) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("opening loopback port: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (c *Cluster) startRouter(i int) error {
	settings := setup.Default()
	settings.Router = ident.RouterID(fmt.Sprintf("router-%d", i))
	settings.Zone = clusterZones[i%len(clusterZones)]
	settings.Listen, settings.Admin, settings.Peer = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.Platform = c.platformURL
	settings.Token.Key = clusterTokenKey
	settings.Limits.Streams = 20000
	ctx, cancel := context.WithCancel(context.Background())
	r, err := router.New(ctx, settings, zap.NewNop())
	if err != nil {
		cancel()
		return fmt.Errorf("starting router %d: %w", i, err)
	}
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	c.Routers = append(c.Routers, r)
	c.routerStops = append(c.routerStops, cancel)
	c.routersDone = append(c.routersDone, done)
	return nil
}

// configText returns the configuration of the cluster as TOML.
func (c *Cluster) configText(addresses []string) string {
	var b strings.Builder
	for _, z := range clusterZones {
		fmt.Fprintf(&b, "[zone.%s]\nregion = \"lima\"\n", z)
	}
	fmt.Fprintf(&b, "[model.condor]\nprice = 30000\nquality = 0.95\ndefault = %q\nversions = [", c.spec.Versions[0])
	for _, v := range c.spec.Versions {
		fmt.Fprintf(&b, "%q, ", v)
	}
	b.WriteString("]\n")
	b.WriteString(c.spec.Rollout)
	for i, address := range addresses {
		fmt.Fprintf(&b, "[endpoint.%s]\nzone = %q\naddress = %q\nrelease = %q\nslots = %d\ncold = %d\n",
			c.spec.Engines[i].Name, clusterZones[i%len(clusterZones)], address, c.spec.Engines[i].Releases[0].String(), c.spec.Slots, c.spec.Cold)
	}
	sum := sha256.Sum256([]byte(clusterTeamKey))
	fmt.Fprintf(&b, "[team.ledger]\nkeys = [%q]\nmodels = [\"condor\"]\ntarget = 0.9\ndeadline = \"30s\"\n", hex.EncodeToString(sum[:]))
	return b.String()
}

// Publish publishes the configuration files and returns their generation.
func (c *Cluster) Publish(ctx context.Context) (ident.Generation, error) {
	return c.publishChange(ctx, publsh.Tree{Files: c.files})
}

// SetZone takes a zone out of service, or puts it back in, and returns the new
// generation.
func (c *Cluster) SetZone(ctx context.Context, zone ident.ZoneID, out bool) (ident.Generation, error) {
	return c.publishChange(ctx, publsh.Edit{Settings: []config.Setting{config.SetZoneOut(zone, out)}})
}

func (c *Cluster) publishChange(ctx context.Context, change publsh.Change) (ident.Generation, error) {
	publisher := publsh.NewPublisher(c.Store, time.Now, sleep)
	result, err := publisher.Publish(ctx, publsh.Request{Change: change, Operator: "bench", Nonce: fmt.Sprint(time.Now().UnixNano())})
	if err != nil {
		return 0, fmt.Errorf("publishing: %w", err)
	}
	return result.Generation, nil
}

// Await waits until the generation, or a later one, is in force on every router.
func (c *Cluster) Await(ctx context.Context, generation ident.Generation) error {
	for {
		if c.inForce(generation) {
			return nil
		}
		if err := sleep(ctx, time.Millisecond); err != nil {
			return errors.WithMessagef(err, "generation %d is not in force everywhere", generation)
		}
	}
}

func (c *Cluster) inForce(generation ident.Generation) bool {
	for _, r := range c.Routers {
		if r.Generation() < generation {
			return false
		}
	}
	return true
}

// awaitReady waits until every router serves and sees all engines as warm.
func (c *Cluster) awaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), clusterReadyTimeout)
	defer cancel()
	for !c.ready() {
		if err := sleep(ctx, 20*time.Millisecond); err != nil {
			return errors.Errorf("cluster is not ready within %v: %s", clusterReadyTimeout, c.describeNotReady())
		}
	}
	return nil
}

// describeNotReady returns what the first router that is not ready sees.
func (c *Cluster) describeNotReady() string {
	for _, r := range c.Routers {
		shown, _ := r.Status(time.Now())
		if len(shown.Routers) == c.spec.Routers && allReady(shown) {
			continue
		}
		return fmt.Sprintf("%s sees %+v and %+v", r.Self().ID, shown.Routers, shown.Endpoints)
	}
	return "nothing"
}

func (c *Cluster) ready() bool {
	for _, r := range c.Routers {
		shown, ok := r.Status(time.Now())
		if !ok || len(shown.Routers) < c.spec.Routers || !allReady(shown) {
			return false
		}
	}
	return true
}

func allReady(shown status.Status) bool {
	for _, r := range shown.Routers {
		if !r.Serving {
			return false
		}
	}
	for _, e := range shown.Endpoints {
		if e.Phase != "warm" {
			return false
		}
	}
	return true
}

// EngineURL returns the URL of an engine.
func (c *Cluster) EngineURL(i int) string {
	return "http://" + c.engineAddresses[i]
}

// Targets returns the caller URLs of all routers.
func (c *Cluster) Targets() []string {
	urls := make([]string, 0, len(c.Routers))
	for _, r := range c.Routers {
		urls = append(urls, "http://"+r.CallerAddress())
	}
	return urls
}

// Team returns the only team, for use in load plans.
func (c *Cluster) Team(sessions int) load.Team {
	return load.Team{ID: "ledger", Key: clusterTeamKey, Weight: 1, Sessions: sessions}
}

// Close stops the routers and then the simulated services.
func (c *Cluster) Close() {
	for _, stop := range c.routerStops {
		stop()
	}
	timeout := time.After(clusterStopTimeout)
	for _, done := range c.routersDone {
		select {
		case <-done:
		case <-timeout:
			timeout = time.After(0)
		}
	}
	for _, server := range c.servers {
		_ = server.Close()
	}
	for _, e := range c.Engines {
		e.Close()
	}
	c.Client.CloseIdleConnections()
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("waiting: %w", ctx.Err())
	case <-time.After(d):
		return nil
	}
}
