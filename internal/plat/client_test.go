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

var plenty = plat.Rate{Calls: 1e6, Burst: 1e6}

func client(base string, registry metrics.Registry) *plat.Client {
	retry := plat.Retry{Attempts: 3, Pause: time.Millisecond, Timeout: 100 * time.Millisecond}
	return plat.NewClient(base, &http.Client{}, plat.NewBudget(plenty, plenty, time.Now), retry, registry)
}

// serve answers every call with answer and counts the calls.
func serve(answer http.HandlerFunc) (*plat.Client, *atomic.Int64, metrics.Registry) {
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		answer(w, r)
	}))
	DeferCleanup(s.Close)
	registry := metrics.NewRegistry()
	return client(s.URL, registry), &calls, registry
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func hangUp(_ http.ResponseWriter, r *http.Request) {
	_, err := io.ReadAll(r.Body)
	Expect(err).NotTo(HaveOccurred())
	panic(http.ErrAbortHandler)
}

// silent answers nothing. It reads the body, as the server notices that the
// client has gone only after that.
func silent(_ http.ResponseWriter, r *http.Request) {
	_, err := io.ReadAll(r.Body)
	Expect(err).NotTo(HaveOccurred())
	<-r.Context().Done()
}

var _ = Describe("Client", func() {
	ctx := context.Background()

	DescribeTable("names what became of a write, and makes it once",
		func(answer http.HandlerFunc, want error) {
			c, calls, _ := serve(answer)
			_, err := c.Put(ctx, plat.ClassBill, "a/b", []byte("v"), 1)
			Expect(err).To(MatchError(want))
			Expect(c.Delete(ctx, plat.ClassBill, "a/b", 1)).To(MatchError(want))
			Expect(calls.Load()).To(BeEquivalentTo(2))
		},
		Entry("answer lost", http.HandlerFunc(hangUp), plat.ErrUncertain),
		Entry("timeout", http.HandlerFunc(silent), plat.ErrUncertain),
		Entry("unknown failure", status(500), plat.ErrUncertain),
		Entry("down", status(503), plat.ErrUnavailable),
		Entry("over the rate", status(429), plat.ErrUnavailable),
		Entry("conflict", status(409), plat.ErrConflict),
	)

	It("tells a refused connection from a lost answer", func() {
		s := httptest.NewServer(http.NotFoundHandler())
		s.Close()
		_, err := client(s.URL, metrics.NewRegistry()).Put(ctx, plat.ClassClaim, "a", nil, 0)
		Expect(err).To(MatchError(plat.ErrUnavailable))
		Expect(err).NotTo(MatchError(plat.ErrUncertain))
	})

	It("tries a read again while the platform is away, a bounded number of times", func() {
		c, calls, registry := serve(status(503))
		_, err := c.Get(ctx, plat.ClassConfig, "a")
		Expect(err).To(MatchError(plat.ErrUnavailable))
		Expect(calls.Load()).To(BeEquivalentTo(3))
		Expect(registry.Get("platform.config.calls").(metrics.Counter).Count()).To(BeEquivalentTo(3))
		Expect(registry.Get("platform.config.retries").(metrics.Counter).Count()).To(BeEquivalentTo(2))
	})

	It("does not try again for an object that does not exist", func() {
		c, calls, _ := serve(status(404))
		_, err := c.Get(ctx, plat.ClassConfig, "a")
		Expect(err).To(MatchError(plat.ErrAbsent))
		Expect(calls.Load()).To(BeEquivalentTo(1))
	})

	It("speaks the protocol", func() {
		c, _, _ := serve(func(w http.ResponseWriter, r *http.Request) {
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
		changes, upto, err := c.Watch(ctx, plat.ClassClaim, "a/", 8, 50*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(upto).To(Equal(plat.Version(9)))
		Expect(changes).To(Equal([]plat.Change{{Object: plat.Object{Key: "a/b"}, At: 9}}))
	})

	It("refuses a value that is too long without a call", func() {
		c, calls, _ := serve(status(200))
		_, err := c.Put(ctx, plat.ClassClaim, "a", make([]byte, plat.MaxValue+1), 0)
		Expect(err).To(HaveOccurred())
		Expect(calls.Load()).To(BeZero())
	})
})

var _ = Describe("Budget", func() {
	It("refuses at once what can't be had before ctx ends", func() {
		hour := plat.Rate{Calls: 1.0 / 3600, Burst: 1}
		b := plat.NewBudget(hour, plenty, time.Now)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		Expect(b.Read(ctx, plat.ClassClaim)).To(Succeed())
		answer := make(chan error, 1)
		go func() { answer <- b.Read(ctx, plat.ClassClaim) }()
		Eventually(answer).Should(Receive(MatchError(plat.ErrUnavailable)))
	})

	It("keeps a share of the calls from each less urgent class", func() {
		now := time.Unix(0, 0)
		b := plat.NewBucket(now, plat.Rate{Calls: 1, Burst: 100})
		var had []int
		for _, class := range []plat.Class{plat.ClassStatus, plat.ClassBill, plat.ClassConfig, plat.ClassClaim} {
			n := 0
			for b.Take(now, class) == 0 {
				n++
			}
			had = append(had, n)
		}
		Expect(had).To(Equal([]int{50, 25, 15, 10}))
	})

	It("never exceeds its rate, nor lets status wait less than claims", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			rate := plat.Rate{Calls: rapid.Float64Range(1, 300).Draw(t, "rate"), Burst: rapid.Float64Range(4, 100).Draw(t, "burst")}
			start := time.Unix(0, 0)
			now := start
			b := plat.NewBucket(now, rate)
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
				if most := rate.Burst + rate.Calls*now.Sub(start).Seconds() + 1e-6; float64(taken) > most {
					t.Fatalf("%d calls taken, at most %f are allowed", taken, most)
				}
			}
		})
	})
})
