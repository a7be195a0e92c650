package plat_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/stand"
)

var _ = Describe("Client of the platform simulator", func() {
	const key plat.Key = "config/a b/ñ"
	var (
		store  *stand.Store
		server *httptest.Server
		client *plat.Client
		calls  atomic.Int64
		ctx    = context.Background()
	)

	BeforeEach(func() {
		store = stand.NewStore(time.Now)
		platform := stand.NewPlatform(store)
		calls.Store(0)
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			platform.ServeHTTP(w, r)
		}))
		DeferCleanup(func() { server.Close() })
		rate := plat.Rate{PerSecond: 10000, Burst: 1000}
		retry := plat.RetryPolicy{Attempts: 3, Backoff: time.Millisecond, Timeout: 200 * time.Millisecond, WatchGrace: time.Second}
		client = plat.NewClient(server.URL, server.Client(), plat.NewBudget(rate, rate, time.Now), retry, metrics.NewRegistry())
	})

	put := func(value string, expect plat.Version) (plat.Version, error) {
		return client.Put(ctx, plat.ClassConfig, key, []byte(value), expect)
	}
	get := func() (plat.Object, error) { return client.Get(ctx, plat.ClassConfig, key) }

	It("writes, reads, lists, watches and deletes", func() {
		_, err := get()
		Expect(err).To(MatchError(plat.ErrNotFound))
		first, err := put("one", 0)
		Expect(err).NotTo(HaveOccurred())
		second, err := put("two", first)
		Expect(err).NotTo(HaveOccurred())
		Expect(get()).To(Equal(plat.Object{Key: key, Version: second, Value: []byte("two")}))
		Expect(client.List(ctx, plat.ClassConfig, "config/")).To(ConsistOf(HaveField("Key", key)))
		changes, watched, err := client.Watch(ctx, plat.ClassConfig, "config/", first, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(ConsistOf(HaveField("Object.Value", []byte("two"))))
		Expect(watched).To(BeNumerically(">=", second))
		Expect(client.Delete(ctx, plat.ClassConfig, key, first)).To(MatchError(plat.ErrConflict))
		Expect(client.Delete(ctx, plat.ClassConfig, key, second)).To(Succeed())
		_, err = get()
		Expect(err).To(MatchError(plat.ErrNotFound))
	})

	It("accepts one of two concurrent writes", Label("fault=operators-race", "step=publish", "holds=config"), func() {
		version, err := put("one", 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = put("left", version)
		Expect(err).NotTo(HaveOccurred())
		_, err = put("right", version)
		Expect(err).To(MatchError(plat.ErrConflict))
		Expect(get()).To(HaveField("Value", []byte("left")))
	})

	It("lists an announced instance, and marks it as leaving once announced so", Label("holds=leaving"), func() {
		instance := plat.Instance{ID: "r1", Zone: "lima-sur", Address: "127.0.0.1:9200"}
		Expect(client.Announce(ctx, plat.ClassStatus, instance)).To(Succeed())
		Expect(client.Instances(ctx, plat.ClassStatus)).To(ConsistOf(instance))
		instance.Leaving = true
		Expect(client.Announce(ctx, plat.ClassStatus, instance)).To(Succeed())
		Expect(client.Instances(ctx, plat.ClassStatus)).To(ConsistOf(instance))
	})

	It("reports an unknown outcome for a write whose reply is lost, and does not retry it", Label("fault=platform-lost", "fault=platform-oneway", "step=publish", "step=claim", "step=handover"), func() {
		store.SetFaults(stand.StoreFaults{LostReplies: 1})
		_, err := put("one", 0)
		Expect(err).To(MatchError(plat.ErrUncertain))
		Expect(calls.Load()).To(BeEquivalentTo(1))
		Expect(get()).To(HaveField("Value", []byte("one")))
		object, _ := get()
		store.SetFaults(stand.StoreFaults{LostReplies: 1})
		Expect(client.Delete(ctx, plat.ClassConfig, key, object.Version)).To(MatchError(plat.ErrUncertain))
		store.SetFaults(stand.StoreFaults{LostReplies: 1})
		Expect(client.Announce(ctx, plat.ClassStatus, plat.Instance{ID: "r1"})).To(MatchError(plat.ErrUncertain))
	})

	It("reports that a write had no effect while the platform is down, and retries reads", Label("fault=platform-down", "step=publish", "step=claim"), func() {
		store.SetFaults(stand.StoreFaults{Down: true})
		_, err := put("one", 0)
		Expect(err).To(MatchError(plat.ErrUnavailable))
		Expect(calls.Load()).To(BeEquivalentTo(1))
		_, err = get()
		Expect(err).To(MatchError(plat.ErrUnavailable))
		Expect(calls.Load()).To(BeEquivalentTo(4))
		store.SetFaults(stand.StoreFaults{})
		_, err = get()
		Expect(err).To(MatchError(plat.ErrNotFound))
	})

	It("reports an unknown outcome for a write that times out", Label("fault=platform-slow", "step=publish", "step=claim"), func() {
		store.SetFaults(stand.StoreFaults{CallDelay: stand.Delay(time.Second)})
		_, err := put("one", 0)
		Expect(err).To(MatchError(plat.ErrUncertain))
	})

	It("reports that a write had no effect if the connection is refused", Label("fault=platform-cut", "step=publish", "step=claim"), func() {
		server.Close()
		_, err := put("one", 0)
		Expect(err).To(MatchError(plat.ErrUnavailable))
		Expect(err).NotTo(MatchError(plat.ErrUncertain))
	})
})
