package load_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/load"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

func plan(targets ...string) load.Plan {
	return load.Plan{
		Targets: targets,
		Rate:    1000,
		Count:   20,
		Seed:    7,
		Teams:   []load.Team{{ID: "a", Key: "ka", Weight: 3, Sessions: 2}, {ID: "b", Key: "kb", Weight: 1}},
		Mix:     []load.Kind{load.QuickQuestion("m"), load.LongPrompt("m")},
	}
}

// TestScheduleRepeatsItself draws the arrivals of a plan twice.
func TestScheduleRepeatsItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := plan("x", "y")
		p.Seed = rapid.Uint64().Draw(t, "seed")
		p.Rate = rapid.Float64Range(0.1, 1e5).Draw(t, "rate")
		p.Count = rapid.IntRange(1, 50).Draw(t, "count")
		first, second := load.NewSchedule(p), load.NewSchedule(p)
		var last time.Duration
		for range p.Count {
			a, ok := first.Next()
			b, _ := second.Next()
			if !ok || a.At != b.At || a.Request != b.Request || string(a.Body) != string(b.Body) || a.At < last {
				t.Fatalf("arrival %d: %v at %v, then %v at %v", a.Number, a.Request, a.At, b.Request, b.At)
			}
			last = a.At
		}
		if _, ok := first.Next(); ok {
			t.Fatalf("more than %d arrivals", p.Count)
		}
	})
}

var _ = Describe("Run", func() {
	const whole = "data: {\"choices\":[{\"delta\":{\"content\":\"hi\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"

	It("sends all requests though none is answered, and counts latency from the intended time", func() {
		arrived := make(chan struct{}, 20)
		answer := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			arrived <- struct{}{}
			<-answer
			_, _ = w.Write([]byte(whole))
		}))
		DeferCleanup(server.Close)
		start := time.Now()
		done := make(chan load.Result)
		go func() {
			defer GinkgoRecover()
			result, err := load.New(load.NewClient(time.Minute), nil).Run(context.Background(), plan(server.URL))
			Expect(err).NotTo(HaveOccurred())
			done <- result
		}()
		for range 20 {
			Eventually(arrived, 10*time.Second).Should(Receive())
		}
		last := plan(server.URL)
		schedule := load.NewSchedule(last)
		var at time.Duration
		for a, ok := schedule.Next(); ok; a, ok = schedule.Next() {
			at = a.At
		}
		held := time.Since(start) - at
		close(answer)
		var result load.Result
		Eventually(done, 10*time.Second).Should(Receive(&result))
		Expect(result.All.Whole).To(Equal(20))
		Expect(result.All.First.Count).To(Equal(int64(20)))
		Expect(result.All.Total.Max).To(BeNumerically(">=", float64(held.Milliseconds())))
		Expect(result.Teams["a"].Whole + result.Teams["b"].Whole).To(Equal(20))
		Expect(result.Kinds["quick"].Whole + result.Kinds["long"].Whole).To(Equal(20))
	})

	It("drops and counts what would go beyond the limit", func() {
		answer := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			<-answer
			_, _ = w.Write([]byte(whole))
		}))
		DeferCleanup(server.Close)
		p := plan(server.URL)
		p.Limit = 5
		dropped := 0
		runner := load.New(load.NewClient(time.Minute), func(a load.Answer) {
			if a.Outcome == load.OutcomeDropped {
				dropped++ // on the one thread that draws arrivals
				if dropped == 15 {
					close(answer)
				}
			}
		})
		result, err := runner.Run(context.Background(), p)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.All.Dropped).To(Equal(15))
		Expect(result.All.Whole).To(Equal(5))
	})

	DescribeTable("tells apart how a request ended", func(status int, body string, outcome load.Outcome) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Cost-Micros", "5")
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}))
		DeferCleanup(server.Close)
		arrival, ok := load.NewSchedule(plan(server.URL)).Next()
		Expect(ok).To(BeTrue())
		answer := load.Send(context.Background(), http.DefaultClient, arrival)
		Expect(answer.Outcome).To(Equal(outcome), "%v", answer.Err)
		Expect(answer.Err == nil).To(Equal(outcome == load.OutcomeWhole))
	},
		Entry("whole", 200, whole, load.OutcomeWhole),
		Entry("no end mark", 200, strings.TrimSuffix(whole, "data: [DONE]\n\n"), load.OutcomeBroken),
		Entry("no final frame", 200, strings.Replace(whole, `"stop"`, `null`, 1), load.OutcomeBroken),
		Entry("not run", 503, `{"error":{"code":"overloaded","ran":"no"}}`, load.OutcomeRefused),
		Entry("perhaps run", 502, `{"error":{"code":"broken","ran":"unknown"}}`, load.OutcomeFailed),
		Entry("no JSON", 500, `oops`, load.OutcomeFailed),
	)

	It("reads a cost that follows the answer", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "X-Cost-Micros")
			_, _ = w.Write([]byte(whole))
			w.(http.Flusher).Flush()
			w.Header().Set("X-Cost-Micros", "12")
		}))
		DeferCleanup(server.Close)
		arrival, ok := load.NewSchedule(plan(server.URL)).Next()
		Expect(ok).To(BeTrue())
		answer := load.Send(context.Background(), http.DefaultClient, arrival)
		Expect(answer.Outcome).To(Equal(load.OutcomeWhole), "%v", answer.Err)
		Expect(answer.Cost).To(Equal(ident.Micros(12)))
	})

	DescribeTable("refuses a plan that cannot be run", func(change func(*load.Plan), message string) {
		p := plan("http://127.0.0.1:1")
		change(&p)
		Expect(p.Check()).To(MatchError(ContainSubstring(message)))
	},
		Entry("no target", func(p *load.Plan) { p.Targets = nil }, "targets"),
		Entry("no rate", func(p *load.Plan) { p.Rate = 0 }, "rate"),
		Entry("no end", func(p *load.Plan) { p.Count = 0 }, "end"),
		Entry("too many", func(p *load.Plan) { p.Count = 1 << 30 }, "count"),
		Entry("no weight", func(p *load.Plan) { p.Mix[0].Weight = 0 }, "weight"),
	)
})
