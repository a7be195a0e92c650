package plat_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

var unlimitedRate = plat.Rate{PerSecond: 1e6, Burst: 1e6}

func newTestClient(base string, registry metrics.Registry) *plat.Client {
	retry := plat.RetryPolicy{Attempts: 3, Backoff: time.Millisecond, Timeout: 100 * time.Millisecond}
	return plat.NewClient(base, &http.Client{}, plat.NewBudget(unlimitedRate, unlimitedRate, time.Now), retry, registry)
}

// newServedClient returns a client of a server that handles every call with
// handler, and the number of calls made.
func newServedClient(handler http.HandlerFunc) (*plat.Client, *atomic.Int64, metrics.Registry) {
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		handler(w, r)
	}))
	DeferCleanup(s.Close)
	registry := metrics.NewRegistry()
	return newTestClient(s.URL, registry), &calls, registry
}

func respondStatus(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func dropConnection(_ http.ResponseWriter, r *http.Request) {
	_, err := io.ReadAll(r.Body)
	Expect(err).NotTo(HaveOccurred())
	panic(http.ErrAbortHandler)
}

// neverRespond holds the call until the client disconnects. It reads the body
// first, because the server detects a disconnect only after that.
func neverRespond(_ http.ResponseWriter, r *http.Request) {
	_, err := io.ReadAll(r.Body)
	Expect(err).NotTo(HaveOccurred())
	<-r.Context().Done()
}

var _ = Describe("Client", func() {
	ctx := context.Background()

	DescribeTable("classifies the outcome of a write and does not retry it",
		func(handler http.HandlerFunc, want error) {
			c, calls, _ := newServedClient(handler)
			_, err := c.Put(ctx, plat.ClassBill, "a/b", []byte("v"), 1)
			Expect(err).To(MatchError(want))
			Expect(c.Delete(ctx, plat.ClassBill, "a/b", 1)).To(MatchError(want))
			Expect(calls.Load()).To(BeEquivalentTo(2))
		},
		Entry("reply lost", http.HandlerFunc(dropConnection), plat.ErrUncertain),
		Entry("timeout", http.HandlerFunc(neverRespond), plat.ErrUncertain),
		Entry("unexpected status", respondStatus(500), plat.ErrUncertain),
		Entry("unavailable", respondStatus(503), plat.ErrUnavailable),
		Entry("rate limited", respondStatus(429), plat.ErrUnavailable),
		Entry("conflict", respondStatus(409), plat.ErrConflict),
	)

	It("distinguishes a refused connection from a lost reply", func() {
		s := httptest.NewServer(http.NotFoundHandler())
		s.Close()
		_, err := newTestClient(s.URL, metrics.NewRegistry()).Put(ctx, plat.ClassClaim, "a", nil, 0)
		Expect(err).To(MatchError(plat.ErrUnavailable))
		Expect(err).NotTo(MatchError(plat.ErrUncertain))
	})

	It("retries a read a bounded number of times while the platform is unavailable", func() {
		c, calls, registry := newServedClient(respondStatus(503))
		_, err := c.Get(ctx, plat.ClassConfig, "a")
		Expect(err).To(MatchError(plat.ErrUnavailable))
		Expect(calls.Load()).To(BeEquivalentTo(3))
		Expect(registry.Get("platform.config.calls").(metrics.Counter).Count()).To(BeEquivalentTo(3))
		Expect(registry.Get("platform.config.retries").(metrics.Counter).Count()).To(BeEquivalentTo(2))
	})

	It("does not retry a read of an object that does not exist", func() {
		c, calls, _ := newServedClient(respondStatus(404))
		_, err := c.Get(ctx, plat.ClassConfig, "a")
		Expect(err).To(MatchError(plat.ErrNotFound))
		Expect(calls.Load()).To(BeEquivalentTo(1))
	})

	It("encodes calls and decodes replies as the protocol defines", func() {
		c, _, _ := newServedClient(func(w http.ResponseWriter, r *http.Request) {
			switch r.Method + r.URL.RequestURI() {
			case "PUT/v1/objects/a/b%20c":
				Expect(r.Header.Get("If-Version")).To(Equal("7"))
				w.Header().Set("X-Version", "8")
			case "GET/v1/objects?prefix=a%2F":
				fmt.Fprint(w, `{"objects":[{"key":"a/b","version":8,"value":"dg=="}]}`)
			case "GET/v1/watch?prefix=a%2F&after=8&wait=50":
				fmt.Fprint(w, `{"changes":[{"key":"a/b","version":0,"at":9}],"upto":9}`)
			default:
				w.WriteHeader(http.StatusTeapot)
			}
		})
		Expect(c.Put(ctx, plat.ClassClaim, "a/b c", []byte("v"), 7)).To(Equal(plat.Version(8)))
		Expect(c.List(ctx, plat.ClassClaim, "a/")).To(Equal([]plat.Object{{Key: "a/b", Version: 8, Value: []byte("v")}}))
		changes, version, err := c.Watch(ctx, plat.ClassClaim, "a/", 8, 50*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(Equal(plat.Version(9)))
		Expect(changes).To(Equal([]plat.Change{{Object: plat.Object{Key: "a/b"}, At: 9}}))
	})

	It("rejects a value over the size limit without a call", func() {
		c, calls, _ := newServedClient(respondStatus(200))
		_, err := c.Put(ctx, plat.ClassClaim, "a", make([]byte, plat.MaxValueBytes+1), 0)
		Expect(err).To(HaveOccurred())
		Expect(calls.Load()).To(BeZero())
	})
})

var _ = Describe("Budget", func() {
	It("fails at once if no call is available before the deadline", func() {
		onePerHour := plat.Rate{PerSecond: 1.0 / 3600, Burst: 1}
		b := plat.NewBudget(onePerHour, unlimitedRate, time.Now)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		Expect(b.AcquireRead(ctx, plat.ClassClaim)).To(Succeed())
		result := make(chan error, 1)
		go func() { result <- b.AcquireRead(ctx, plat.ClassClaim) }()
		Eventually(result).Should(Receive(MatchError(plat.ErrUnavailable)))
	})

	It("reserves a fraction of the burst for each more urgent class", func() {
		now := time.Unix(0, 0)
		b := plat.NewTokenBucket(now, plat.Rate{PerSecond: 1, Burst: 100})
		var taken []int
		for _, class := range []plat.Class{plat.ClassStatus, plat.ClassBill, plat.ClassConfig, plat.ClassClaim} {
			n := 0
			for b.Take(now, class) == 0 {
				n++
			}
			taken = append(taken, n)
		}
		Expect(taken).To(Equal([]int{50, 25, 15, 10}))
	})

	It("never exceeds its rate, and never makes claims wait longer than status", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			rate := plat.Rate{PerSecond: rapid.Float64Range(1, 300).Draw(t, "rate"), Burst: rapid.Float64Range(4, 100).Draw(t, "burst")}
			start := time.Unix(0, 0)
			now := start
			b := plat.NewTokenBucket(now, rate)
			taken := 0
			for range rapid.IntRange(1, 300).Draw(t, "calls") {
				now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
				class := plat.Class(rapid.IntRange(0, 3).Draw(t, "class"))
				wait := b.Take(now, class)
				if wait == 0 {
					taken++
				} else if class == plat.ClassClaim {
					if s := b.Take(now, plat.ClassStatus); s < wait {
						t.Fatalf("status waits %v, claims wait %v", s, wait)
					}
				}
				if most := rate.Burst + rate.PerSecond*now.Sub(start).Seconds() + 1e-6; float64(taken) > most {
					t.Fatalf("%d calls taken, at most %f are allowed", taken, most)
				}
			}
		})
	})
})
