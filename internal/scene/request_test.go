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

var client = load.NewClient(time.Minute)

// question is a chat request of the scenes' one team.
func question(r *router, request, text string, tokens int) load.Arrival {
	body := fmt.Sprintf(`{"model":"condor","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, text)
	return load.Arrival{
		Target:  r.caller,
		Team:    load.Team{ID: "roster", Key: teamKey},
		Request: ident.RequestID(request),
		Body:    []byte(body),
	}
}

// ask sends a question and waits for its answer.
func ask(r *router, request, text string, tokens int) load.Response {
	return load.Send(context.Background(), client, question(r, request, text, tokens))
}

// askLater sends a question and gives its answer when it comes.
func askLater(r *router, request, text string, tokens int) <-chan load.Response {
	answers := make(chan load.Response, 1)
	go func() { answers <- ask(r, request, text, tokens) }()
	return answers
}

// expectWhole checks that an answer is, word for word, what its release says.
func expectWhole(answer load.Response) {
	GinkgoHelper()
	Expect(answer.Outcome).To(Equal(load.OutcomeComplete), "%s: %v", answer.Arrival.Request, answer.Err)
	release, err := ident.ParseRelease(answer.Release)
	Expect(err).NotTo(HaveOccurred())
	prompt, err := stand.PromptFor(answer.Arrival.Body, release)
	Expect(err).NotTo(HaveOccurred())
	Expect(answer.Text).To(Equal(prompt.Answer(quality)), "%s", answer.Arrival.Request)
}

// receive waits for an answer that was asked for earlier.
func receive(answers <-chan load.Response) load.Response {
	GinkgoHelper()
	var answer load.Response
	Eventually(answers, 3*patience).Should(Receive(&answer))
	return answer
}

// runningEngine waits until a request streams on an engine, and gives it.
func (w *world) runningEngine(request string) *engine {
	GinkgoHelper()
	var found *engine
	Eventually(func() *engine {
		for _, e := range w.engines {
			for _, run := range e.Record().Runs {
				if string(run.Request) == request && run.Outcome == stand.OutcomeRunning && run.Frames >= 3 {
					found = e
				}
			}
		}
		return found
	}).ShouldNot(BeNil(), "request %s does not stream", request)
	return found
}

// reply is the answer to a booking.
type reply struct {
	Status int
	Ran    string // X-Ran
	Code   string
	Body   string
	Err    error
}

type replyBody struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// book asks for a booking under a key.
func book(r *router, key string) reply {
	request, err := http.NewRequest(http.MethodPost, r.caller+"/v1/services/booking/puppies/luna", strings.NewReader(`{"puppy":"Luna"}`))
	if err != nil {
		return reply{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+teamKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header["idempotency-key"] = []string{key} // spelt so that net/http does not repeat it
	response, err := client.Do(request)
	if err != nil {
		return reply{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	var parsed replyBody
	_ = json.Unmarshal(body, &parsed)
	return reply{Status: response.StatusCode, Ran: response.Header.Get("X-Ran"), Code: parsed.Error.Code, Body: string(body), Err: err}
}

func bookLater(r *router, key string) <-chan reply {
	replies := make(chan reply, 1)
	go func() { replies <- book(r, key) }()
	return replies
}

// settledBooking repeats a booking until its outcome is told.
func settledBooking(r *router, key string) reply {
	GinkgoHelper()
	var last reply
	Eventually(func() int {
		last = book(r, key)
		return last.Status
	}, 2*patience, 200*time.Millisecond).Should(Equal(http.StatusOK), "last reply: %+v", &last)
	return last
}

// bills reads every bill in the journal.
func (w *world) bills() map[ident.RequestKey][]shard.Bill {
	GinkgoHelper()
	var all []shard.Bill
	Expect(json.Unmarshal([]byte(w.operate("bills", "--each", "--json")), &all)).To(Succeed())
	found := map[ident.RequestKey][]shard.Bill{}
	for _, b := range all {
		found[b.Key] = append(found[b.Key], b)
	}
	return found
}

// expectBilledOnce waits until each whole answer has its one bill, of the cost
// that its caller was told.
func (w *world) expectBilledOnce(answers ...load.Response) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		bills := w.bills()
		for _, a := range answers {
			found := bills[ident.RequestKey{Team: "roster", Request: a.Arrival.Request}]
			g.Expect(found).To(HaveLen(1), "bills of %s", a.Arrival.Request)
			g.Expect(found[0].Cost).To(Equal(a.Cost), "cost of %s", a.Arrival.Request)
		}
	}).Should(Succeed())
}

// expectBookedOnce checks that no booking was executed twice.
func (w *world) expectBookedOnce(keys ...string) {
	GinkgoHelper()
	executions := w.booking.Record().Keys
	for _, k := range keys {
		Expect(executions).To(HaveKeyWithValue(k, 1))
	}
	for k, n := range executions {
		Expect(n).To(Equal(1), "executions of %s", k)
	}
}

// expectNoFall checks that no engine got more than it could bear when cold.
func (w *world) expectNoFall() {
	GinkgoHelper()
	for _, e := range w.engines {
		record := e.Record()
		Expect(record.Falls).To(BeZero(), "falls of %s", e.name)
		Expect(record.Peak).To(BeNumerically("<=", e.spec.Cold), "peak of %s", e.name)
	}
}

// leaver sends a long question, and gives the function by which its caller goes
// away.
func leaver(r *router, request string) func() {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go load.Send(ctx, client, question(r, request, "long history", 2000))
	return cancel
}

func sent(arrival load.Arrival) load.Response {
	return load.Send(context.Background(), client, arrival)
}

// wholeRuns counts the whole runs of a request on all engines.
func (w *world) wholeRuns(request ident.RequestID) int {
	runs := 0
	for _, e := range w.engines {
		for _, run := range e.Record().Runs {
			if run.Request == request && run.Outcome == stand.OutcomeWhole {
				runs++
			}
		}
	}
	return runs
}
