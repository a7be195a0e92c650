package stand_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/stand"
)

// TestStoreAgainstModel compares the store with a map under conflicts, lost replies
// and outages, and checks that a watch reports the last state of every key.
func TestStoreAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		s := stand.NewStore(time.Now)
		model := map[plat.Key]plat.Object{}
		watched := map[plat.Key]plat.Object{}
		var last, seen plat.Version
		keys := rapid.SampledFrom([]plat.Key{"a/1", "a/2", "b/1"})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			key := keys.Draw(t, "key")
			expect := model[key].Version
			if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
				expect++
			}
			faults := stand.StoreFaults{Down: rapid.IntRange(0, 5).Draw(t, "down") == 0, LostReplies: rapid.IntRange(0, 1).Draw(t, "lose")}
			s.SetFaults(faults)
			value := []byte(rapid.String().Draw(t, "value"))
			version, err := s.Put(ctx, plat.ClassClaim, key, value, expect)
			s.SetFaults(stand.StoreFaults{})
			switch {
			case faults.Down:
				wantError(t, err, plat.ErrUnavailable)
			case expect != model[key].Version:
				wantError(t, err, plat.ErrConflict)
			default:
				last++
				model[key] = plat.Object{Key: key, Version: last, Value: value}
				if faults.LostReplies > 0 {
					wantError(t, err, plat.ErrUncertain)
				} else if err != nil || version != last {
					t.Fatalf("put: version %d, %v; want %d", version, err, last)
				}
			}
			if rapid.Bool().Draw(t, "watch") {
				changes, upto, err := s.Watch(ctx, plat.ClassConfig, "", seen, 0)
				if err != nil {
					t.Fatalf("watch: %v", err)
				}
				for _, c := range changes {
					watched[c.Object.Key] = c.Object
				}
				seen = upto
				for k, o := range model {
					if watched[k].Version != o.Version || !bytes.Equal(watched[k].Value, o.Value) {
						t.Fatalf("watch missed %v: has %v", o, watched[k])
					}
				}
			}
			got, err := s.Get(ctx, plat.ClassClaim, key)
			if o, ok := model[key]; ok && (err != nil || got.Version != o.Version || !bytes.Equal(got.Value, o.Value)) {
				t.Fatalf("get: %v, %v; want %v", got, err, o)
			}
		}
	})
}

func wantError(t *rapid.T, err, want error) {
	if !errors.Is(err, want) {
		t.Fatalf("got error %v, want %v", err, want)
	}
}

var _ = Describe("Store", func() {
	var now time.Time
	var s *stand.Store
	ctx := context.Background()

	BeforeEach(func() {
		now = time.Unix(1_800_000_000, 0)
		s = stand.NewStore(func() time.Time { return now })
	})

	It("refuses calls above the rate limit without effect", func() {
		s.SetLimits(stand.Limits{Writes: 2})
		var last plat.Version
		for range 2 {
			version, err := s.Put(ctx, plat.ClassBill, "k", nil, last)
			Expect(err).NotTo(HaveOccurred())
			last = version
		}
		_, err := s.Put(ctx, plat.ClassBill, "k", nil, last)
		Expect(err).To(MatchError(plat.ErrUnavailable))
		now = now.Add(time.Second)
		_, err = s.Put(ctx, plat.ClassBill, "k", nil, last)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Counts()).To(Equal([]stand.CallCount{{Kind: stand.KindPut, Class: plat.ClassBill, Calls: 4, Refused: 1}}))
	})

	It("lists instances with a lag and drops those without recent announcements", func() {
		s.SetFaults(stand.StoreFaults{InstanceLag: stand.Delay(3 * time.Second)})
		Expect(s.Announce(ctx, plat.ClassStatus, plat.Instance{ID: "r1"})).To(Succeed())
		Expect(s.Instances(ctx, plat.ClassStatus)).To(BeEmpty())
		now = now.Add(3 * time.Second)
		Expect(s.Announce(ctx, plat.ClassStatus, plat.Instance{ID: "r1", Leaving: true})).To(Succeed())
		Expect(s.Instances(ctx, plat.ClassStatus)).To(Equal([]plat.Instance{{ID: "r1"}}))
		now = now.Add(3 * time.Second)
		Expect(s.Instances(ctx, plat.ClassStatus)).To(Equal([]plat.Instance{{ID: "r1", Leaving: true}}))
		now = now.Add(10 * time.Second)
		Expect(s.Instances(ctx, plat.ClassStatus)).To(BeEmpty())
	})

	It("wakes a waiting watch for a deletion", func() {
		version, err := s.Put(ctx, plat.ClassConfig, "config/head", []byte("1"), 0)
		Expect(err).NotTo(HaveOccurred())
		found := make(chan []plat.Change, 1)
		go func() {
			defer GinkgoRecover()
			changes, _, err := s.Watch(ctx, plat.ClassConfig, "config/", version, time.Minute)
			Expect(err).NotTo(HaveOccurred())
			found <- changes
		}()
		Expect(s.Delete(ctx, plat.ClassConfig, "config/head", version)).To(Succeed())
		Eventually(found).Should(Receive(Equal([]plat.Change{{Object: plat.Object{Key: "config/head", Value: []byte{}}, At: 2}})))
	})

	It("hides changes from a stale watch until the fault is removed", func() {
		s.SetFaults(stand.StoreFaults{StaleWatches: true})
		_, err := s.Put(ctx, plat.ClassConfig, "k", nil, 0)
		Expect(err).NotTo(HaveOccurred())
		changes, upto, err := s.Watch(ctx, plat.ClassConfig, "", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(BeEmpty())
		Expect(upto).To(BeZero())
		s.SetFaults(stand.StoreFaults{})
		changes, _, err = s.Watch(ctx, plat.ClassConfig, "", upto, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(HaveLen(1))
	})
})

var _ = Describe("Platform", func() {
	var s *stand.Store
	var server *httptest.Server

	BeforeEach(func() {
		s = stand.NewStore(time.Now)
		server = httptest.NewServer(stand.NewPlatform(s))
		DeferCleanup(server.Close)
	})

	put := func(expect, value string) (*http.Response, error) {
		request, err := http.NewRequest(http.MethodPut, server.URL+"/v1/objects/a/b", strings.NewReader(value))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("If-Version", expect)
		return http.DefaultClient.Do(request)
	}

	DescribeTable("answers conditional writes", func(faults stand.StoreFaults, limits stand.Limits, expect string, size, status int) {
		s.SetFaults(faults)
		s.SetLimits(limits)
		response, err := put(expect, strings.Repeat("x", size))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(status))
	},
		Entry("new object", stand.StoreFaults{}, stand.Limits{}, "0", 1, http.StatusOK),
		Entry("wrong version", stand.StoreFaults{}, stand.Limits{}, "7", 1, http.StatusConflict),
		Entry("missing version", stand.StoreFaults{}, stand.Limits{}, "", 1, http.StatusBadRequest),
		Entry("maximum size", stand.StoreFaults{}, stand.Limits{}, "0", plat.MaxValueBytes, http.StatusOK),
		Entry("above the maximum size", stand.StoreFaults{}, stand.Limits{}, "0", plat.MaxValueBytes+1, http.StatusRequestEntityTooLarge),
		Entry("down", stand.StoreFaults{Down: true}, stand.Limits{}, "0", 1, http.StatusServiceUnavailable),
	)

	It("closes the connection when the reply to a write is lost", func() {
		s.SetFaults(stand.StoreFaults{LostReplies: 1})
		_, err := put("0", "kept")
		Expect(err).To(HaveOccurred())
		response, err := http.Get(server.URL + "/v1/objects/a/b")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Header.Get("X-Version")).To(Equal("1"))
		Expect(response).To(HaveHTTPBody("kept"))
	})

	It("responds with status 429 above the rate limit", func() {
		s.SetLimits(stand.Limits{Reads: 1})
		for _, status := range []int{http.StatusNotFound, http.StatusTooManyRequests} {
			response, err := http.Get(server.URL + "/v1/objects/none")
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(response.StatusCode).To(Equal(status))
		}
	})

	It("replaces faults through its admin route", func() {
		request, err := http.NewRequest(http.MethodPut, server.URL+"/admin/faults", strings.NewReader(`{"slow":"20ms","lose":2}`))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(s.Faults()).To(Equal(stand.StoreFaults{CallDelay: stand.Delay(20 * time.Millisecond), LostReplies: 2}))
	})

	It("returns the results of a watch and a list", func() {
		_, err := s.Put(context.Background(), plat.ClassClaim, "a/b", []byte("v"), 0)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.Get(server.URL + "/v1/watch?prefix=a/&after=0&wait=1000")
		Expect(err).NotTo(HaveOccurred())
		Expect(response).To(HaveHTTPBody(MatchJSON(`{"changes":[{"key":"a/b","version":1,"at":1,"value":"dg=="}],"upto":1}`)))
		response, err = http.Get(server.URL + "/v1/objects?prefix=a")
		Expect(err).NotTo(HaveOccurred())
		Expect(response).To(HaveHTTPBody(MatchJSON(`{"objects":[{"key":"a/b","version":1,"value":"dg=="}]}`)))
	})
})
