package router_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/publsh"
	"github.com/marigoldscale/marigoldscale/internal/router"
	"github.com/marigoldscale/marigoldscale/internal/setup"
	"github.com/marigoldscale/marigoldscale/internal/stand"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const patience = 15 * time.Second

// world is a platform, an engine and routers in the test's own process.
type world struct {
	store    *stand.Store
	platform *httptest.Server
	engine   *stand.Engine
	address  string // of the engine
	tls      setup.TLS
}

func newWorld(serves ident.Release) *world {
	store := stand.NewStore(time.Now)
	spec := stand.DefaultEngineSpec("e1", serves)
	spec.ChecksFence = true
	engine := stand.NewEngine(spec)
	server := httptest.NewServer(engine)
	w := &world{
		store:    store,
		platform: httptest.NewServer(stand.NewPlatform(store)),
		engine:   engine,
		address:  server.Listener.Addr().String(),
	}
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
		engine.Close()
		w.platform.CloseClientConnections()
		w.platform.Close()
	})
	return w
}

func (w *world) publish() {
	text := fmt.Sprintf(`
[zone.a]
region = "lima"
[model.condor]
price = 1
quality = 0.9
default = "v1"
versions = ["v1"]
[endpoint.e1]
zone = "a"
address = %q
release = "condor@v1"
slots = 8
fenced = true
`, w.address)
	publisher := publsh.NewPublisher(w.store, time.Now, func(context.Context, time.Duration) error { return nil })
	_, err := publisher.Publish(context.Background(), publsh.Request{
		Change: publsh.Tree{Files: []config.File{{Path: "marigoldscale.toml", Text: []byte(text)}}},
		By:     "test", Nonce: "test",
	})
	Expect(err).NotTo(HaveOccurred())
}

// start runs a router until the spec ends.
func (w *world) start(id ident.RouterID, peers ...string) *router.Router {
	settings := setup.Default()
	settings.Router, settings.Zone = id, "a"
	settings.Listen, settings.Admin, settings.Peer = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.Platform = w.platform.URL
	settings.Peers = peers
	settings.TLS = w.tls
	settings.Token.Key = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
	ctx, stop := context.WithCancel(context.Background())
	r, err := router.New(ctx, settings, zap.NewNop())
	Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	DeferCleanup(func() {
		stop()
		Eventually(done, 2*patience).Should(Receive(BeNil()))
	})
	return r
}

// serving gives the routers that r sees serving.
func serving(r *router.Router) func() []ident.RouterID {
	return func() []ident.RouterID {
		shown, _ := r.Status(time.Now())
		var ids []ident.RouterID
		for _, known := range shown.Routers {
			if known.Serving {
				ids = append(ids, known.ID)
			}
		}
		return ids
	}
}

// authority signs certificates for the tests.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	dir  string
}

func newAuthority() *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	a := &authority{key: key, cert: cert, dir: GinkgoT().TempDir()}
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

// issue gives the files of a certificate for a router on loopback.
func (a *authority) issue() setup.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	private, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	return setup.TLS{
		Cert: a.write("router.pem", "CERTIFICATE", der),
		Key:  a.write("router.key", "EC PRIVATE KEY", private),
		CA:   filepath.Join(a.dir, "ca.pem"),
	}
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	Expect(os.WriteFile(path, text, 0o600)).To(Succeed())
	return path
}
