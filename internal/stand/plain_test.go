package stand_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/stand"
)

var _ = Describe("PlainService", func() {
	var plain *stand.PlainService
	var server *httptest.Server

	BeforeEach(func() {
		plain = stand.NewPlainService("p1", "booking")
		server = httptest.NewServer(plain)
		DeferCleanup(server.Close)
	})

	call := func() (*http.Response, error) {
		request, err := http.NewRequest(http.MethodPost, server.URL+"/call/puppies/book", strings.NewReader(`{"puppy":"Luna"}`))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Idempotency-Key", "k1")
		return http.DefaultClient.Do(request)
	}

	It("executes every call and records executions by key", func() {
		for range 2 {
			response, err := call()
			Expect(err).NotTo(HaveOccurred())
			Expect(response).To(HaveHTTPBody(ContainSubstring(`{"puppy":"Luna"}`)))
		}
		Expect(plain.Record().Keys).To(Equal(map[string]int{"k1": 2}))
		Expect(plain.Record().Runs[0].Path).To(Equal("puppies/book"))
	})

	It("executes a call whose reply is lost", func() {
		plain.SetFaults(stand.PlainFaults{LostReplies: 1})
		_, err := call()
		Expect(err).To(HaveOccurred())
		Expect(plain.Record().Keys).To(HaveKeyWithValue("k1", 1))
	})

	DescribeTable("does not execute refused calls", func(faults stand.PlainFaults) {
		plain.SetFaults(faults)
		response, err := call()
		if err == nil {
			Expect(response).To(HaveHTTPBody(ContainSubstring(`"ran":"no"`)))
		}
		Expect(plain.Record().Runs).To(BeEmpty())
	},
		Entry("down", stand.PlainFaults{Down: true}),
		Entry("overloaded", stand.PlainFaults{Refuse: true}),
		Entry("leaving", stand.PlainFaults{Leaving: true}),
	)
})

var _ = Describe("Rater", func() {
	var rater *stand.Rater
	var server *httptest.Server

	BeforeEach(func() {
		rater = stand.NewRater()
		server = httptest.NewServer(rater)
		DeferCleanup(server.Close)
	})

	rate := func(answer string) (*http.Response, error) {
		body := `{"request":"r1","team":"t","class":"c","release":"big@1","prompt":"p","answer":"` + answer + `"}`
		return http.Post(server.URL+"/rate", "application/json", strings.NewReader(body))
	}

	DescribeTable("reads the quality mark of an answer", func(answer, quality string) {
		response, err := rate(answer)
		Expect(err).NotTo(HaveOccurred())
		Expect(response).To(HaveHTTPBody(MatchJSON(`{"quality":` + quality + `}`)))
	},
		Entry("marked", "hello "+stand.QualityMark(0.83), "0.83"),
		Entry("truncated before the mark", "hello", "0"),
		Entry("empty", "", "0"),
	)

	It("delays and fails ratings as its faults require", func() {
		rater.SetFaults(stand.RaterFaults{RatingTime: stand.Delay(30 * time.Millisecond)})
		start := time.Now()
		_, err := rate("x")
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(start)).To(BeNumerically(">=", 30*time.Millisecond))
		rater.SetFaults(stand.RaterFaults{Down: true})
		_, err = rate("x")
		Expect(err).To(HaveOccurred())
	})
})
