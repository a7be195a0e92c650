package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// serveOncePerConnection answers the first request on each connection and closes the
// connection after reading the second, so that a client that reuses a connection sees
// it break. It counts the requests that were read completely.
func serveOncePerConnection(listener net.Listener, requests *atomic.Int64) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for n := 0; ; n++ {
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				requests.Add(1)
				if n > 0 {
					return
				}
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			}
		}()
	}
}

func discardFrame(engine.Frame) error { return nil }

var _ = Describe("The endpoint client", func() {
	var (
		client *engine.Client
		ctx    = context.Background()
	)
	BeforeEach(func() { client = engine.NewClient(&http.Client{Transport: &http.Transport{}}) })

	newAttempt := func(address string) engine.Attempt {
		return engine.Attempt{
			Address: address, ID: "r1.0", RequestID: "q1", Body: []byte(`{"model":"condor@1"}`),
			Path: "new", IdempotencyKey: "k", Deadline: time.Now().Add(time.Minute), ResumeFrom: 3, Priority: 2, TraceParent: "00-1-2-01",
		}
	}
	serve := func(handler http.HandlerFunc) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // otherwise the server does not notice that the client has disconnected
			handler(w, r)
		}))
		DeferCleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}

	It("never retries a request", Label("fault=endpoint-cut", "fault=endpoint-oneway", "fault=endpoint-crashed", "step=dispatch", "holds=once"), func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		var requests atomic.Int64
		go serveOncePerConnection(listener, &requests)
		attempt := newAttempt(listener.Addr().String())
		for n := range int64(10) {
			_, err = client.Call(ctx, attempt)
			Expect(err).NotTo(HaveOccurred())
			_, err = client.Call(ctx, attempt)
			Expect(err).To(MatchError(engine.ErrConnectionBroken))
			Expect(err).NotTo(MatchError(engine.ErrNotSent))
			Expect(requests.Load()).To(Equal(2*n + 2))
		}
	})

	// Guards against a client that reads until its memory is used up.
	DescribeTable("gives up a stream whose frame has no end", func(piece string) {
		var written atomic.Int64
		address := serve(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			for text := strings.Repeat(piece, 1<<14/len(piece)); r.Context().Err() == nil; {
				n, err := io.WriteString(w, text)
				written.Add(int64(n))
				if err != nil {
					return
				}
			}
		})
		ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		Expect(client.Stream(ctx, newAttempt(address), discardFrame)).To(MatchError(engine.ErrConnectionBroken))
		Expect(ctx.Err()).NotTo(HaveOccurred())
		Expect(written.Load()).To(BeNumerically("<", 32<<20))
	},
		Entry("a line without end", "x"),
		Entry("lines without end", "data: x\n"),
		Entry("comments without end", ": x\n"),
	)

	DescribeTable("returns ErrNotSent only if nothing was sent", func(send func(a engine.Attempt) error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		Expect(send(newAttempt(address))).To(MatchError(engine.ErrNotSent))

		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		unresponsive := serve(func(_ http.ResponseWriter, r *http.Request) {
			cancel() // the request has arrived
			<-r.Context().Done()
		})
		_, err = client.Call(ctx, newAttempt(unresponsive))
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(engine.ErrNotSent))
	},
		Entry("call", Label("fault=endpoint-cut", "fault=endpoint-slow", "step=dispatch", "holds=refusal"), func(a engine.Attempt) error { _, err := client.Call(ctx, a); return err }),
		Entry("stream", Label("fault=endpoint-cut", "step=dispatch", "holds=refusal"), func(a engine.Attempt) error { return client.Stream(ctx, a, discardFrame) }),
	)

	DescribeTable("treats a response as a refusal only if the endpoint reports that it did not run the request",
		func(status int, body string, want error, callStatus int) {
			address := serve(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				fmt.Fprint(w, body)
			})
			Expect(client.Stream(ctx, newAttempt(address), discardFrame)).To(MatchError(want))
			answer, err := client.Call(ctx, newAttempt(address))
			if callStatus == 0 {
				Expect(err).To(MatchError(want))
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Status).To(Equal(callStatus))
			Expect(string(answer.Body)).To(Equal(body))
		},
		Entry("overloaded", Label("fault=endpoint-lies", "step=dispatch", "holds=refusal"), 503, `{"error":{"code":"overloaded","ran":"no"}}`, engine.ErrOverloaded, 0),
		Entry("rejected", 400, `{"error":{"code":"rejected","ran":"no"}}`, engine.ErrRejected, 0),
		Entry("leaving", Label("step=stop", "fault=list-lags", "holds=leaving"), 410, `{"error":{"code":"leaving","ran":"no"}}`, engine.ErrLeaving, 0),
		Entry("another reason", 507, `{"error":{"code":"memory","ran":"no"}}`, engine.ErrNotRun, 0),
		Entry("overloaded, but may have run", Label("fault=endpoint-lies", "step=dispatch", "holds=refusal", "holds=once"), 503, `{"error":{"code":"overloaded","ran":"unknown"}}`, engine.ErrConnectionBroken, 503),
		Entry("503 without an error code", Label("holds=refusal", "holds=once"), 503, `busy`, engine.ErrConnectionBroken, 503),
		Entry("a service's own 409", 409, `{"error":"taken"}`, engine.ErrConnectionBroken, 409),
		Entry("a service's own 500", 500, `{}`, engine.ErrConnectionBroken, 500),
	)

	It("sends the headers of the attempt", func() {
		received := make(chan http.Header, 1)
		address := serve(func(w http.ResponseWriter, r *http.Request) {
			received <- r.Header
			fmt.Fprint(w, `{}`)
		})
		_, err := client.Call(ctx, newAttempt(address))
		Expect(err).NotTo(HaveOccurred())
		header := <-received
		for name, value := range map[string]string{
			"X-Request-Id": "q1", "X-Attempt-Id": "r1.0", "X-Priority": "2", "X-Resume": "3",
			"Traceparent": "00-1-2-01", "Idempotency-Key": "k", "Content-Type": "application/json",
		} {
			Expect(header.Get(name)).To(Equal(value), name)
		}
	})

	frame := func(n int, rest string) string {
		return fmt.Sprintf("data: {\"id\":\"q1\",\"attempt\":\"r1.0\",\"sequence\":%d,\"choices\":[{\"delta\":{\"content\":\"t%d \"}%s}]}\n\n", n, n, rest)
	}
	final := frame(1, `,"finish_reason":"stop"`) + "data: [DONE]\n\n"

	DescribeTable("emits frames as they arrive, and detects an incomplete stream",
		func(sent string, cut bool, frames int, want error) {
			address := serve(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				fmt.Fprint(w, sent)
				_ = http.NewResponseController(w).Flush()
				if cut {
					panic(http.ErrAbortHandler)
				}
			})
			var received []engine.Frame
			err := client.Stream(ctx, newAttempt(address), func(f engine.Frame) error {
				received = append(received, f)
				return nil
			})
			Expect(received).To(HaveLen(frames))
			if want == nil {
				Expect(err).NotTo(HaveOccurred())
				Expect(received[frames-1].Final).To(BeTrue())
				return
			}
			Expect(err).To(MatchError(want))
		},
		Entry("complete", frame(0, "")+final, true, 2, nil),
		Entry("complete, with comments and duplicate frames", Label("fault=frames-doubled", "step=middle"), ": hi\n\n"+frame(0, "")+frame(0, "")+final, true, 3, nil),
		Entry("cut after a frame", Label("fault=endpoint-crashed", "fault=endpoint-cut", "step=middle", "holds=answer"), frame(0, ""), true, 1, engine.ErrConnectionBroken),
		Entry("cut before the first frame", Label("fault=endpoint-crashed", "fault=endpoint-cut", "step=first", "holds=answer"), "", true, 0, engine.ErrConnectionBroken),
		Entry("cut within the final frame", Label("fault=endpoint-crashed", "fault=endpoint-cut", "step=final", "holds=answer"), frame(0, "")+frame(1, "")[:30], true, 1, engine.ErrConnectionBroken),
		Entry("ended without its end marker", Label("fault=endpoint-lies", "step=final", "holds=answer"), frame(0, "")+frame(1, ""), false, 2, engine.ErrConnectionBroken),
		Entry("not JSON", Label("fault=endpoint-lies", "step=middle"), frame(0, "")+"data: {oops\n\n", true, 1, engine.ErrConnectionBroken),
	)

	It("cancels the attempt on the endpoint when its context ends", Label("fault=caller-bad", "step=middle"), func() {
		cancelled := make(chan struct{})
		address := serve(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, frame(0, ""))
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			close(cancelled)
		})
		ctx, cancel := context.WithCancel(ctx)
		err := client.Stream(ctx, newAttempt(address), func(engine.Frame) error {
			cancel()
			return nil
		})
		Expect(err).To(MatchError(context.Canceled))
		Expect(err).NotTo(MatchError(engine.ErrConnectionBroken), "a cancelled attempt must not count as a broken connection")
		Eventually(cancelled).Should(BeClosed())
	})

	It("returns ErrFenced for a command with an outdated term", Label("fault=lease-lapsed", "step=handover"), func() {
		address := serve(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) })
		Expect(client.SendCommand(ctx, address, engine.Command{Kind: "load", Release: ident.Release{Model: "m", Version: "1"}})).To(MatchError(engine.ErrFenced))
	})
})
