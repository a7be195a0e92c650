package stand_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/packages/ssestream"

	"github.com/marigoldscale/marigoldscale/internal/stand"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

type frame struct {
	Attempt  string `json:"attempt"`
	Sequence int    `json:"sequence"`
	Choices  []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
}

var _ = Describe("Engine", func() {
	release := ident.Release{Model: "big", Version: "1"}
	var spec stand.EngineSpec
	var engine *stand.Engine
	var server *httptest.Server

	BeforeEach(func() {
		spec = stand.DefaultEngineSpec("e1", release)
		spec.Timing.Iteration = time.Millisecond
		spec.Timing.PerRequest = 0
		spec.Outage = 50 * time.Millisecond
	})

	JustBeforeEach(func() {
		engine = stand.NewEngine(spec)
		server = httptest.NewServer(engine)
		DeferCleanup(func() {
			engine.Close()
			server.Close()
		})
	})

	body := func(content string, tokens int) string {
		return fmt.Sprintf(`{"model":"big@1","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, content)
	}
	post := func(ctx context.Context, body string, headers ...string) (*http.Response, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("X-Attempt-Id", "a1")
		for i := 0; i < len(headers); i += 2 {
			request.Header.Set(headers[i], headers[i+1])
		}
		return http.DefaultClient.Do(request)
	}
	read := func(response *http.Response) (frames []frame, done bool) {
		defer response.Body.Close()
		events := ssestream.NewDecoder(response)
		for events.Next() {
			data := strings.TrimSpace(string(events.Event().Data))
			if data == "[DONE]" {
				return frames, true
			}
			var f frame
			Expect(json.Unmarshal([]byte(data), &f)).To(Succeed())
			frames = append(frames, f)
		}
		return frames, false
	}
	text := func(frames []frame) string {
		var b strings.Builder
		for _, f := range frames {
			b.WriteString(f.Choices[0].Delta.Content)
		}
		return b.String()
	}
	begin := func(ctx context.Context, content string) *http.Response {
		response, err := post(ctx, body(content, 100_000))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		return response
	}

	It("streams the same complete answer each time, and the rest of it after a resume", func() {
		prompt, err := stand.ParsePrompt([]byte(body("hello difficulty=0.25", 9)))
		Expect(err).NotTo(HaveOccurred())
		response, err := post(context.Background(), body("hello difficulty=0.25", 9))
		Expect(err).NotTo(HaveOccurred())
		whole, done := read(response)
		Expect(done).To(BeTrue())
		Expect(text(whole)).To(Equal(prompt.Answer(0.9)))
		Expect(stand.ParseQualityMark(text(whole))).To(Equal(ident.Quality(0.95)))
		for resume := range 10 {
			response, err := post(context.Background(), body("hello difficulty=0.25", 9), "X-Resume", fmt.Sprint(resume))
			Expect(err).NotTo(HaveOccurred())
			rest, done := read(response)
			Expect(done).To(BeTrue())
			Expect(rest).To(Equal(whole[resume:]), "resumed after %d", resume)
		}
	})

	It("cancels a run whose connection is closed", func() {
		ctx, cancel := context.WithCancel(context.Background())
		response := begin(ctx, "long")
		cancel()
		Expect(response.Body.Close()).To(Succeed())
		Eventually(func() []stand.EngineRun { return engine.Record().Runs }).Should(ConsistOf(HaveField("Outcome", stand.OutcomeCancelled)))
		Eventually(func() (stand.LoadReport, error) { return engine.LoadReport(time.Now()) }).Should(HaveField("Running", 0))
	})

	Context("in cold start", func() {
		BeforeEach(func() {
			spec.ColdSlots = 2
			spec.WarmTime = time.Hour
		})

		It("crashes on a request beyond its cold slots and restarts cold", func() {
			boot := engine.Record().Boot
			first := begin(context.Background(), "first")
			second := begin(context.Background(), "second")
			_, err := post(context.Background(), body("third", 1))
			Expect(err).To(HaveOccurred())
			for _, r := range []*http.Response{first, second} {
				_, done := read(r)
				Expect(done).To(BeFalse())
			}
			record := engine.Record()
			Expect(record.ColdCrashes).To(Equal(1))
			Expect(record.ColdPeak).To(Equal(3))
			Expect(record.Boot).NotTo(Equal(boot))
			Eventually(func() (stand.LoadReport, error) { return engine.LoadReport(time.Now()) }).Should(HaveField("Warm", false))
		})
	})

	It("interrupts all runs when a prompt crashes it", func() {
		engine.SetFaults(stand.EngineFaults{CrashText: "venom"})
		other := begin(context.Background(), "innocent")
		_, err := post(context.Background(), body("some venom", 1))
		Expect(err).To(HaveOccurred())
		_, done := read(other)
		Expect(done).To(BeFalse())
		Expect(engine.Record().Crashes).To(Equal(1))
		Expect(engine.Record().ColdCrashes).To(BeZero())
	})

	It("sends every frame while it duplicates, reorders and inserts frames", func() {
		engine.SetFaults(stand.EngineFaults{DuplicateShare: 0.5, ReorderShare: 0.34, ForeignShare: 0.25})
		response, err := post(context.Background(), body("frames", 12))
		Expect(err).NotTo(HaveOccurred())
		frames, done := read(response)
		Expect(done).To(BeTrue())
		seen := map[int]int{}
		foreign, reordered, previous := 0, 0, -1
		for _, f := range frames {
			if f.Attempt != "a1" {
				foreign++
				continue
			}
			seen[f.Sequence]++
			if f.Sequence < previous {
				reordered++
			}
			previous = f.Sequence
		}
		Expect(seen).To(HaveLen(13))
		Expect(seen).To(ContainElement(BeNumerically(">", 1)))
		Expect(foreign).To(Equal(3))
		Expect(reordered).To(BeNumerically(">", 0))
	})

	DescribeTable("injects faults only into matching runs", func(faults stand.EngineFaults, status int, whole bool) {
		faults.Match = "team-a"
		engine.SetFaults(faults)
		response, err := post(context.Background(), body("from team-a", 8))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(status))
		frames, done := read(response)
		Expect(done && text(frames) != "").To(Equal(whole))
		response, err = post(context.Background(), body("from team-b", 8))
		Expect(err).NotTo(HaveOccurred())
		frames, done = read(response)
		Expect(done).To(BeTrue())
		Expect(frames).To(HaveLen(9))
	},
		Entry("errors", stand.EngineFaults{ErrorShare: 1}, http.StatusInternalServerError, false),
		Entry("empty answers", stand.EngineFaults{EmptyShare: 1}, http.StatusOK, false),
		Entry("closed stream", stand.EngineFaults{CutAfter: 3}, http.StatusOK, false),
		Entry("low quality", stand.EngineFaults{QualityLoss: 0.5}, http.StatusOK, true),
	)

	It("closes only streams that resume nothing with FreshOnly", func() {
		engine.SetFaults(stand.EngineFaults{CutAfter: 3, FreshOnly: true})
		response, err := post(context.Background(), body("x", 8))
		Expect(err).NotTo(HaveOccurred())
		first, done := read(response)
		Expect(done).To(BeFalse())
		Expect(first).To(HaveLen(3))
		response, err = post(context.Background(), body("x", 8), "X-Resume", "3")
		Expect(err).NotTo(HaveOccurred())
		rest, done := read(response)
		Expect(done).To(BeTrue())
		Expect(rest).To(HaveLen(6))
	})

	DescribeTable("answers refused requests with ran no", func(faults stand.EngineFaults, body string, status int, code string) {
		engine.SetFaults(faults)
		response, err := post(context.Background(), body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(status))
		Expect(response).To(HaveHTTPBody(And(ContainSubstring(`"code":"`+code+`"`), ContainSubstring(`"ran":"no"`))))
		Expect(engine.Record().Runs).To(BeEmpty())
	},
		Entry("overloaded", stand.EngineFaults{Refuse: true}, body("x", 1), http.StatusServiceUnavailable, "overloaded"),
		Entry("leaving", stand.EngineFaults{Leaving: true}, body("x", 1), http.StatusGone, "leaving"),
		Entry("release that is not loaded", stand.EngineFaults{}, strings.Replace(body("x", 1), "big@1", "big@2", 1), http.StatusGone, "absent"),
		Entry("invalid body", stand.EngineFaults{}, `{"model":`, http.StatusBadRequest, "rejected"),
	)

	It("skips the prefill of a cached prefix and publishes cache events late and with losses", func() {
		long := strings.Repeat("history ", 4000)
		first := time.Now()
		response, err := post(context.Background(), body(long, 1))
		Expect(err).NotTo(HaveOccurred())
		read(response)
		uncached := time.Since(first)
		second := time.Now()
		response, err = post(context.Background(), body(long+"and more", 1))
		Expect(err).NotTo(HaveOccurred())
		read(response)
		Expect(time.Since(second)).To(BeNumerically("<", uncached/2))
		early, err := engine.Cache(first, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(early.Events).To(BeEmpty())
		late, err := engine.Cache(time.Now().Add(time.Second), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(late.Events)).To(BeNumerically("<", late.Upto))
	})

	DescribeTable("checks or ignores the fencing token of orders", func(fenced bool) {
		spec.ChecksFence = fenced
		e := stand.NewEngine(spec)
		DeferCleanup(e.Close)
		next := ident.Release{Model: "big", Version: "2"}
		Expect(e.Order(time.Now(), stand.Order{Kind: stand.OrderLoad, Release: next, Fence: 5})).To(Succeed())
		err := e.Order(time.Now(), stand.Order{Kind: stand.OrderUnload, Release: next, Fence: 4})
		Expect(err == nil).To(Equal(!fenced))
		Expect(e.LastOrder().Fence == 5).To(Equal(fenced))
		load, err := e.LoadReport(time.Now())
		Expect(err).NotTo(HaveOccurred())
		Expect(load.Release == next).To(Equal(fenced))
	},
		Entry("checked", true),
		Entry("ignored", false),
	)
})
