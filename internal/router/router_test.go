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
	currentRelease = ident.Release{Model: "condor", Version: "v1"}
	oldRelease     = ident.Release{Model: "condor", Version: "v0"}
)

var _ = Describe("Routers", func() {
	It("with certificates of one authority link to each other, and admit nobody without one", func() {
		w := newTestFleet(currentRelease)
		w.tls = newTestCA().issueFiles()
		first, second := w.startRouter("r1"), w.startRouter("r2")
		w.publish()
		Eventually(servingRouters(first), timeout).Should(ConsistOf(ident.RouterID("r1"), ident.RouterID("r2")))
		Eventually(servingRouters(second), timeout).Should(ConsistOf(ident.RouterID("r1"), ident.RouterID("r2")))

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
		w := newTestFleet(currentRelease)
		w.tls = newTestCA().issueFiles()
		first := w.startRouter("r1")
		w.tls = newTestCA().issueFiles()
		w.startRouter("r2")
		w.publish()
		Eventually(servingRouters(first), timeout).Should(ContainElement(ident.RouterID("r1")))
		Consistently(servingRouters(first), 3*time.Second).ShouldNot(ContainElement(ident.RouterID("r2")))
	})

	It("start while the platform is away, from a peer that their settings name",
		Label("fault=platform-down", "fault=router-replaced", "step=spread", "holds=config"), func() {
			w := newTestFleet(currentRelease)
			first, second := w.startRouter("r1"), w.startRouter("r2")
			w.publish()
			Eventually(servingRouters(first), timeout).Should(HaveLen(2))
			Eventually(servingRouters(second), timeout).Should(HaveLen(2))
			w.store.SetFaults(stand.Faults{Down: true})
			third := w.startRouter("r3", first.Self().Peer)
			Eventually(third.Generation, timeout).Should(BeEquivalentTo(1))
			Eventually(servingRouters(third), timeout).Should(ContainElement(ident.RouterID("r3")))
		})

	It("have an engine load the release that is declared, by an order with their term", func() {
		w := newTestFleet(oldRelease)
		r := w.startRouter("r1")
		w.publish()
		Eventually(func() ident.Release { return w.engine.LastOrder().Release }, timeout).Should(Equal(currentRelease))
		Expect(w.engine.LastOrder().Fence).To(BeNumerically(">", 0))
		Eventually(func() string {
			shown, _ := r.Status(time.Now())
			return shown.Endpoints[0].Phase
		}, timeout).ShouldNot(Equal("down"))
	})
})
