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
	siteKey      = "bench-key" // of the site's only team
	siteTokenKey = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
	siteReady    = 40 * time.Second
	siteStop     = 30 * time.Second
)

// siteZones are the zones that a site's routers and engines are spread over.
var siteZones = []ident.ZoneID{"lima-norte", "lima-centro", "lima-sur"}

// SiteSpec says what a site is made of.
type SiteSpec struct {
	Routers  int
	Engines  []stand.EngineSpec // each serves its first release, zones taken in turn
	Versions []ident.VersionID  // of the model condor
	Rollout  string             // TOML of a roll-out, empty for none
	Slots    int
	Cold     int
}

// Site is a platform, engines and routers in this process, linked over
// loopback.
type Site struct {
	spec      SiteSpec
	Store     *stand.Store
	Engines   []*stand.Engine
	Routers   []*router.Router
	Client    *http.Client
	files     []config.File
	servers   []*http.Server
	cancel    context.CancelFunc
	done      []chan error
	stops     []context.CancelFunc
	platform  string
	addresses []string // of the engines
}

// NewSite starts a site, and publishes its configuration; it must be closed.
func NewSite(spec SiteSpec) (*Site, error) {
	s := &Site{spec: spec, Store: stand.NewStore(time.Now), Client: load.NewClient(time.Minute)}
	if err := s.start(); err != nil {
		s.Close()
		return nil, fmt.Errorf("starting site of %d routers: %w", spec.Routers, err)
	}
	return s, nil
}

func (s *Site) start() error {
	address, err := s.serve(stand.NewPlatform(s.Store))
	if err != nil {
		return err
	}
	s.platform = "http://" + address
	for _, e := range s.spec.Engines {
		engine := stand.NewEngine(e)
		s.Engines = append(s.Engines, engine)
		address, err := s.serve(engine)
		if err != nil {
			return err
		}
		s.addresses = append(s.addresses, address)
	}
	s.files = []config.File{{Path: "marigoldscale.toml", Text: []byte(s.text(s.addresses))}}
	for i := range s.spec.Routers {
		if err := s.startRouter(i); err != nil {
			return err
		}
	}
	if _, err := s.Publish(context.Background()); err != nil {
		return err
	}
	return s.awaitReady()
}

// serve serves a handler on a free loopback port.
func (s *Site) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("opening port: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *Site) startRouter(i int) error {
	settings := setup.Default()
	settings.Router = ident.RouterID(fmt.Sprintf("router-%d", i))
	settings.Zone = siteZones[i%len(siteZones)]
	settings.Listen, settings.Admin, settings.Peer = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.Platform = s.platform
	settings.Token.Key = siteTokenKey
	settings.Limits.Streams = 20000
	ctx, cancel := context.WithCancel(context.Background())
	r, err := router.New(ctx, settings, zap.NewNop())
	if err != nil {
		cancel()
		return fmt.Errorf("starting router %d: %w", i, err)
	}
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	s.Routers = append(s.Routers, r)
	s.stops = append(s.stops, cancel)
	s.done = append(s.done, done)
	return nil
}

// text gives the site's configuration.
func (s *Site) text(addresses []string) string {
	var b strings.Builder
	for _, z := range siteZones {
		fmt.Fprintf(&b, "[zone.%s]\nregion = \"lima\"\n", z)
	}
	fmt.Fprintf(&b, "[model.condor]\nprice = 30000\nquality = 0.95\ndefault = %q\nversions = [", s.spec.Versions[0])
	for _, v := range s.spec.Versions {
		fmt.Fprintf(&b, "%q, ", v)
	}
	b.WriteString("]\n")
	b.WriteString(s.spec.Rollout)
	for i, address := range addresses {
		fmt.Fprintf(&b, "[endpoint.%s]\nzone = %q\naddress = %q\nrelease = %q\nslots = %d\ncold = %d\n",
			s.spec.Engines[i].Name, siteZones[i%len(siteZones)], address, s.spec.Engines[i].Releases[0].String(), s.spec.Slots, s.spec.Cold)
	}
	sum := sha256.Sum256([]byte(siteKey))
	fmt.Fprintf(&b, "[team.ledger]\nkeys = [%q]\nmodels = [\"condor\"]\ntarget = 0.9\ndeadline = \"30s\"\n", hex.EncodeToString(sum[:]))
	return b.String()
}

// Publish puts the site's files in force on the platform.
func (s *Site) Publish(ctx context.Context) (ident.Generation, error) {
	return s.change(ctx, publsh.Tree{Files: s.files})
}

// SetZone takes a zone out, or puts it back.
func (s *Site) SetZone(ctx context.Context, zone ident.ZoneID, out bool) (ident.Generation, error) {
	return s.change(ctx, publsh.Edit{Settings: []config.Setting{config.Out(zone, out)}})
}

func (s *Site) change(ctx context.Context, change publsh.Change) (ident.Generation, error) {
	publisher := publsh.NewPublisher(s.Store, time.Now, wait)
	result, err := publisher.Publish(ctx, publsh.Request{Change: change, By: "bench", Nonce: fmt.Sprint(time.Now().UnixNano())})
	if err != nil {
		return 0, fmt.Errorf("publishing: %w", err)
	}
	return result.Generation, nil
}

// Await waits until every router has the generation in force.
func (s *Site) Await(ctx context.Context, generation ident.Generation) error {
	for {
		if s.inForce(generation) {
			return nil
		}
		if err := wait(ctx, time.Millisecond); err != nil {
			return errors.WithMessagef(err, "generation %d is not in force everywhere", generation)
		}
	}
}

func (s *Site) inForce(generation ident.Generation) bool {
	for _, r := range s.Routers {
		if r.Generation() < generation {
			return false
		}
	}
	return true
}

// awaitReady waits until every router serves and every engine is warm to it.
func (s *Site) awaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), siteReady)
	defer cancel()
	for !s.ready() {
		if err := wait(ctx, 20*time.Millisecond); err != nil {
			return errors.Errorf("site is not ready in time: %s", s.lagging())
		}
	}
	return nil
}

// lagging tells what the first router that is not ready waits for.
func (s *Site) lagging() string {
	for _, r := range s.Routers {
		shown, _ := r.Status(time.Now())
		if len(shown.Routers) == s.spec.Routers && serves(shown) {
			continue
		}
		return fmt.Sprintf("%s sees %+v and %+v", r.Self().ID, shown.Routers, shown.Endpoints)
	}
	return "nothing"
}

func (s *Site) ready() bool {
	for _, r := range s.Routers {
		shown, ok := r.Status(time.Now())
		if !ok || len(shown.Routers) < s.spec.Routers || !serves(shown) {
			return false
		}
	}
	return true
}

func serves(shown status.Status) bool {
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

// EngineURL gives the URL of an engine.
func (s *Site) EngineURL(i int) string {
	return "http://" + s.addresses[i]
}

// Targets gives the callers' URLs of all routers.
func (s *Site) Targets() []string {
	urls := make([]string, 0, len(s.Routers))
	for _, r := range s.Routers {
		urls = append(urls, "http://"+r.Caller())
	}
	return urls
}

// Team gives the site's team as a load sends for it.
func (s *Site) Team(sessions int) load.Team {
	return load.Team{ID: "ledger", Key: siteKey, Weight: 1, Sessions: sessions}
}

// Close stops everything.
func (s *Site) Close() {
	for _, stop := range s.stops {
		stop()
	}
	timeout := time.After(siteStop)
	for _, done := range s.done {
		select {
		case <-done:
		case <-timeout:
			timeout = time.After(0)
		}
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, e := range s.Engines {
		e.Close()
	}
	s.Client.CloseIdleConnections()
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("waiting: %w", ctx.Err())
	case <-time.After(d):
		return nil
	}
}
