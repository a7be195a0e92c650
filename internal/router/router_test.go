package router_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/peers"
	"github.com/marigoldscale/marigoldscale/internal/stand"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var (
	declared = ident.Release{Model: "condor", Version: "v1"}
	old      = ident.Release{Model: "condor", Version: "v0"}
)

var _ = Describe("Routers", func() {
	It("with certificates of one authority link to each other, and admit nobody without one", func() {
		w := newWorld(declared)
		w.tls = newAuthority().issue()
		first, second := w.start("r1"), w.start("r2")
		w.publish()
		Eventually(serving(first), patience).Should(ConsistOf(ident.RouterID("r1"), ident.RouterID("r2")))
		Eventually(serving(second), patience).Should(ConsistOf(ident.RouterID("r1"), ident.RouterID("r2")))

		config, err := peers.TLS(peers.TLSFiles(w.tls))
		Expect(err).NotTo(HaveOccurred())
		nobody := config.Clone()
		nobody.Certificates = nil
		stranger := &http.Client{Transport: &http.Transport{TLSClientConfig: nobody}}
		defer stranger.CloseIdleConnections()
		_, err = stranger.Get("https://" + first.Self().Admin + "/healthz")
		Expect(err).To(MatchError(ContainSubstring("certificate required")))
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
		defer client.CloseIdleConnections()
		response, err := client.Get("https://" + first.Self().Admin + "/healthz")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	})

	It("with a certificate of another authority stay apart", func() {
		w := newWorld(declared)
		w.tls = newAuthority().issue()
		first := w.start("r1")
		w.tls = newAuthority().issue()
		w.start("r2")
		w.publish()
		Eventually(serving(first), patience).Should(ContainElement(ident.RouterID("r1")))
		Consistently(serving(first), 3*time.Second).ShouldNot(ContainElement(ident.RouterID("r2")))
	})

	It("start while the platform is away, from a peer that their settings name",
		Label("fault=platform-down", "fault=router-replaced", "step=spread", "holds=config"), func() {
			w := newWorld(declared)
			first, second := w.start("r1"), w.start("r2")
			w.publish()
			Eventually(serving(first), patience).Should(HaveLen(2))
			Eventually(serving(second), patience).Should(HaveLen(2))
			w.store.SetFaults(stand.StoreFaults{Down: true})
			third := w.start("r3", first.Self().Peer)
			Eventually(third.Generation, patience).Should(BeEquivalentTo(1))
			Eventually(serving(third), patience).Should(ContainElement(ident.RouterID("r3")))
		})

	It("have an engine load the release that is declared, by an order with their term", func() {
		w := newWorld(old)
		r := w.start("r1")
		w.publish()
		Eventually(func() ident.Release { return w.engine.LastOrder().Release }, patience).Should(Equal(declared))
		Expect(w.engine.LastOrder().Fence).To(BeNumerically(">", 0))
		Eventually(func() string {
			shown, _ := r.Status(time.Now())
			return shown.Endpoints[0].Phase
		}, patience).ShouldNot(Equal("down"))
	})
})
