package scene_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/load"
	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/internal/stand"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var loadClient = load.NewClient(time.Minute)

// chatArrival returns a chat request of the only team.
func chatArrival(r *router, request, text string, tokens int) load.Arrival {
	body := fmt.Sprintf(`{"model":"condor","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, text)
	return load.Arrival{
		Target:  r.callerURL,
		Team:    load.Team{ID: "roster", Key: teamKey},
		Request: ident.RequestID(request),
		Body:    []byte(body),
	}
}

// sendChat sends a chat request and waits for its response.
func sendChat(r *router, request, text string, tokens int) load.Response {
	return load.Send(context.Background(), loadClient, chatArrival(r, request, text, tokens))
}

// sendChatAsync sends a chat request and returns a channel for its response.
func sendChatAsync(r *router, request, text string, tokens int) <-chan load.Response {
	responses := make(chan load.Response, 1)
	go func() { responses <- sendChat(r, request, text, tokens) }()
	return responses
}

// expectComplete checks that a response is complete and has exactly the text that
// its release generates.
func expectComplete(response load.Response) {
	GinkgoHelper()
	Expect(response.Outcome).To(Equal(load.OutcomeComplete), "%s: %v", response.Arrival.Request, response.Err)
	release, err := ident.ParseRelease(response.Release)
	Expect(err).NotTo(HaveOccurred())
	prompt, err := stand.ParsePromptFor(response.Arrival.Body, release)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Text).To(Equal(prompt.Answer(stableQuality)), "%s", response.Arrival.Request)
}

// awaitResponse waits for the response of a request sent with sendChatAsync.
func awaitResponse(responses <-chan load.Response) load.Response {
	GinkgoHelper()
	var response load.Response
	Eventually(responses, 3*waitTimeout).Should(Receive(&response))
	return response
}

// awaitStreamingEngine waits until a request streams on an engine, and returns the
// engine.
func (c *cluster) awaitStreamingEngine(request string) *engine {
	GinkgoHelper()
	var found *engine
	Eventually(func() *engine {
		for _, e := range c.engines {
			for _, run := range e.Record().Runs {
				if string(run.Request) == request && run.Outcome == stand.OutcomeRunning && run.Frames >= 3 {
					found = e
				}
			}
		}
		return found
	}).ShouldNot(BeNil(), "request %s is not streaming on any engine", request)
	return found
}

// bookingResponse is the response to a booking.
type bookingResponse struct {
	Status int
	Ran    string // X-Ran
	Code   string
	Body   string
	Err    error
}

type bookingErrorBody struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// sendBooking sends a booking with an idempotency key.
func sendBooking(r *router, key string) bookingResponse {
	request, err := http.NewRequest(http.MethodPost, r.callerURL+"/v1/services/booking/puppies/luna", strings.NewReader(`{"puppy":"Luna"}`))
	if err != nil {
		return bookingResponse{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+teamKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header["idempotency-key"] = []string{key} // non-canonical spelling, so that net/http does not retry the request
	response, err := loadClient.Do(request)
	if err != nil {
		return bookingResponse{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	var parsed bookingErrorBody
	_ = json.Unmarshal(body, &parsed)
	return bookingResponse{Status: response.StatusCode, Ran: response.Header.Get("X-Ran"), Code: parsed.Error.Code, Body: string(body), Err: err}
}

func sendBookingAsync(r *router, key string) <-chan bookingResponse {
	responses := make(chan bookingResponse, 1)
	go func() { responses <- sendBooking(r, key) }()
	return responses
}

// retryBookingUntilOK repeats a booking until it returns status 200.
func retryBookingUntilOK(r *router, key string) bookingResponse {
	GinkgoHelper()
	var last bookingResponse
	Eventually(func() int {
		last = sendBooking(r, key)
		return last.Status
	}, 2*waitTimeout, 200*time.Millisecond).Should(Equal(http.StatusOK), "last response: %+v", &last)
	return last
}

// readBills returns all bills in the journal by request.
func (c *cluster) readBills() map[ident.RequestKey][]shard.Bill {
	GinkgoHelper()
	var all []shard.Bill
	Expect(json.Unmarshal([]byte(c.runOperator("bills", "--each", "--json")), &all)).To(Succeed())
	found := map[ident.RequestKey][]shard.Bill{}
	for _, b := range all {
		found[b.Key] = append(found[b.Key], b)
	}
	return found
}

// expectBilledOnce waits until each response has exactly one bill, with the cost
// that was reported to its caller.
func (c *cluster) expectBilledOnce(responses ...load.Response) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		bills := c.readBills()
		for _, a := range responses {
			found := bills[ident.RequestKey{Team: "roster", Request: a.Arrival.Request}]
			g.Expect(found).To(HaveLen(1), "bills of %s", a.Arrival.Request)
			g.Expect(found[0].Cost).To(Equal(a.Cost), "cost of %s", a.Arrival.Request)
		}
	}).Should(Succeed())
}

// expectBookedOnce checks that each booking with one of the keys was executed once,
// and no booking twice.
func (c *cluster) expectBookedOnce(keys ...string) {
	GinkgoHelper()
	executions := c.booking.Record().Keys
	for _, k := range keys {
		Expect(executions).To(HaveKeyWithValue(k, 1))
	}
	for k, n := range executions {
		Expect(n).To(Equal(1), "executions of %s", k)
	}
}

// expectNoOverload checks that no engine crashed from overload in cold start, and
// that none exceeded its cold limit.
func (c *cluster) expectNoOverload() {
	GinkgoHelper()
	for _, e := range c.engines {
		record := e.Record()
		Expect(record.ColdCrashes).To(BeZero(), "falls of %s", e.name)
		Expect(record.ColdPeak).To(BeNumerically("<=", e.spec.ColdSlots), "peak of %s", e.name)
	}
}

// startCancellableChat sends a request with a long response, and returns the function
// that cancels it.
func startCancellableChat(r *router, request string) func() {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go load.Send(ctx, loadClient, chatArrival(r, request, "long history", 2000))
	return cancel
}

func sendArrival(arrival load.Arrival) load.Response {
	return load.Send(context.Background(), loadClient, arrival)
}

// completeRuns counts the complete runs of a request on all engines.
func (c *cluster) completeRuns(request ident.RequestID) int {
	runs := 0
	for _, e := range c.engines {
		for _, run := range e.Record().Runs {
			if run.Request == request && run.Outcome == stand.OutcomeComplete {
				runs++
			}
		}
	}
	return runs
}
